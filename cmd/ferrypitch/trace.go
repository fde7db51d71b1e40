package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/replay"
	"ferrypitch/internal/router/trace/tool"
)

func traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Read, cut, merge, anonymise, sum up and replay trace files"}
	c.AddCommand(traceInfo(), traceCat(), traceCut(), traceMerge(), traceAnonymise(), traceSummary(), traceDiff(), traceRepair(), traceReplay())
	return c
}

// progress shows how far long work is, on a terminal alone.
func progress(what string) func(done, of int64) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	last := time.Time{}
	return func(done, of int64) {
		if time.Since(last) > 200*time.Millisecond || done == of {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "\r%s %d of %d", what, done, of)
			if done == of {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
}

// tell says what of a file could not be read. It is an error to have read less than all.
func tell(path string, s *tool.Source) error {
	var all []error
	for _, f := range s.Faults {
		all = append(all, fmt.Errorf("%s: a block was passed over: %w", path, &f))
	}
	if s.Broken != nil {
		all = append(all, fmt.Errorf("%s: read up to its break: %w", path, s.Broken))
	}
	for _, err := range all {
		fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	}
	if len(all) > 0 {
		return status(failed)
	}
	return nil
}

// each opens a file and gives what of it a window has.
func each(path string, w tool.Window, begin func(*tool.Source) error, do func(format.Event) error) error {
	s, err := tool.Open(path)
	if err != nil {
		return fail(err)
	}
	defer s.Close()
	if err := begin(s); err != nil {
		return err
	}
	if err := s.Each(w, progress(path), do); err != nil {
		return fail(err)
	}
	return tell(path, s)
}

// fail is an end with status 1: the files, not the words of the call, are at fault.
func fail(err error) error {
	fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	return status(failed)
}

// moments reads a moment as RFC 3339 has it, or as tenths of a millisecond.
func moment(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("%q: neither a moment as 2026-12-01T20:15:00Z nor tenths of a millisecond", text)
	}
	return at.UnixNano() / int64(clock.Tenth), nil
}

func shown(at int64) string {
	return time.Unix(0, at*int64(clock.Tenth)).UTC().Format("2006-01-02T15:04:05.0000Z")
}

// picking are the flags that pick events.
type picking struct {
	from, to         string
	sessions, groups []string
	sets             []int64
}

func (p *picking) flags(c *cobra.Command) {
	c.Flags().StringVar(&p.from, "from", "", "the first moment, RFC 3339 or tenths of a millisecond")
	c.Flags().StringVar(&p.to, "to", "", "the last moment")
	c.Flags().StringSliceVar(&p.sessions, "session", nil, "only commands of these sessions")
	c.Flags().StringSliceVar(&p.groups, "group", nil, "only commands of these groups, by name or number")
	c.Flags().Int64SliceVar(&p.sets, "set", nil, "only commands of these replica sets")
}

func (p *picking) window() (w tool.Window, err error) {
	if w.First, err = moment(p.from); err == nil {
		w.Last, err = moment(p.to)
	}
	return w, err
}

func (p *picking) filter(h format.Header) (*tool.Filter, error) {
	f := &tool.Filter{Sessions: map[string]bool{}, Sets: map[int64]bool{}, Groups: map[int64]bool{}}
	for _, s := range p.sessions {
		f.Sessions[s] = true
	}
	for _, s := range p.sets {
		f.Sets[s] = true
	}
	names := tool.Groups(h)
	for _, g := range p.groups {
		n := int64(slices.Index(names, g))
		if n < 0 {
			var err error
			if n, err = strconv.ParseInt(g, 10, 64); err != nil {
				return nil, fmt.Errorf("--group %s: the file has %s", g, strings.Join(names, ", "))
			}
		}
		f.Groups[n] = true
	}
	f.Begin(h.Schema)
	return f, nil
}

func traceInfo() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "info FILE...", Short: "What files hold", Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
		var bad error
		for _, path := range args {
			type about struct {
				File, Router, Build string
				Life                string
				First, Last         string
				Events, Lost        int64
				Blocks              int
				Indexed             bool
				Sampled             float64
				Kinds               map[string]int64
			}
			a := about{File: path, Kinds: map[string]int64{}}
			first, last := int64(0), int64(0)
			var src *tool.Source
			err := each(path, tool.Window{First: -1 << 62}, func(s *tool.Source) error { src = s; return nil }, func(e format.Event) error {
				if a.Events++; a.Events == 1 {
					first, last = e.At, e.At
				}
				first, last = min(first, e.At), max(last, e.At)
				a.Kinds[src.Header.Schema[e.Kind].Name]++
				return nil
			})
			if src == nil {
				return err
			}
			bad = errors.Join(bad, err)
			h := src.Header
			a.Router, a.Build, a.Life, a.Indexed = h.Router, h.Build, strconv.FormatUint(h.Life, 16), src.Spans != nil
			a.Lost, a.Blocks, a.Sampled, a.First, a.Last = int64(src.Lost), src.Blocks, float64(h.Part)/1000, shown(first), shown(last)
			if asJSON {
				if err := json.NewEncoder(c.OutOrStdout()).Encode(a); err != nil {
					return err
				}
				continue
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: router %s, life %s, build %s\n  %s to %s, %d events in %d blocks, %d lost in capture, indexed %v, part of sessions %.3f\n",
				path, a.Router, a.Life, a.Build, a.First, a.Last, a.Events, a.Blocks, a.Lost, a.Indexed, a.Sampled)
			for _, k := range h.Schema {
				if n := a.Kinds[k.Name]; n > 0 {
					fmt.Fprintf(c.OutOrStdout(), "  %-10s %d\n", k.Name, n)
				}
			}
		}
		if bad != nil {
			return status(failed)
		}
		return nil
	}}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

func traceCat() *cobra.Command {
	var p picking
	var asJSON bool
	c := &cobra.Command{Use: "cat FILE", Short: "Print events; - is standard input", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		w, err := p.window()
		if err != nil {
			return err
		}
		var f *tool.Filter
		var h format.Header
		enc := json.NewEncoder(c.OutOrStdout())
		return each(args[0], w, func(s *tool.Source) error {
			h = s.Header
			var err error
			f, err = p.filter(h)
			return err
		}, func(e format.Event) error {
			if !f.Has(e) {
				return nil
			}
			if asJSON {
				return enc.Encode(tool.Object(h.Schema, e))
			}
			k := h.Schema[e.Kind]
			words := []string{shown(e.At), k.Name}
			o := tool.Object(h.Schema, e)
			for _, col := range k.Columns {
				words = append(words, fmt.Sprintf("%s=%v", col.Name, o[col.Name]))
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), strings.Join(words, " "))
			return err
		})
	}}
	p.flags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "an object of JSON a line")
	return c
}

// writing makes a file that is there whole or not at all; "-" is standard output.
func writing(path string, do func(out io.Writer) error) error {
	if path == "-" {
		return do(os.Stdout)
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".trace-*")
	if err != nil {
		return fail(err)
	}
	defer os.Remove(f.Name())
	err = do(f)
	if err == nil {
		err = f.Sync()
	}
	if bad := f.Close(); err == nil {
		err = bad
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	var end status
	if err != nil && !errors.As(err, &end) {
		return fail(err)
	}
	return err
}

// rewrite writes what change leaves of a file, with what header makes of its head.
func rewrite(in, out string, w tool.Window, header func(format.Header) (format.Header, error), change func(format.Event) (format.Event, bool)) error {
	return writing(out, func(to io.Writer) error {
		var o *tool.Output
		spoilt := each(in, w, func(s *tool.Source) error {
			h, err := header(s.Header)
			if err == nil {
				o, err = tool.NewOutput(to, h)
			}
			return err
		}, func(e format.Event) error {
			if e, keep := change(e); keep {
				return o.Add(e)
			}
			return nil
		})
		var end status
		if spoilt != nil && (o == nil || !errors.As(spoilt, &end)) {
			return spoilt
		}
		if err := o.Close(); err != nil {
			return err
		}
		return nil // what could not be read has been said
	})
}

func traceCut() *cobra.Command {
	var p picking
	c := &cobra.Command{Use: "cut FILE OUT", Short: "Write a window, sessions, sets or groups of a file", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			w, err := p.window()
			if err != nil {
				return err
			}
			var f *tool.Filter
			return rewrite(args[0], args[1], w, func(h format.Header) (format.Header, error) {
				h.Part = 0 // a part of a life can't be replayed
				var err error
				f, err = p.filter(h)
				return h, err
			}, func(e format.Event) (format.Event, bool) { return e, f.Has(e) })
		}}
	p.flags(c)
	return c
}

func traceRepair() *cobra.Command {
	return &cobra.Command{Use: "repair FILE OUT", Short: "Write what can be read of a file, with its index", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return rewrite(args[0], args[1], tool.Window{First: -1 << 62}, func(h format.Header) (format.Header, error) { return h, nil },
				func(e format.Event) (format.Event, bool) { return e, true })
		}}
}

func traceAnonymise() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "anonymise FILE OUT", Short: "Replace who and where by pseudonyms under a key, and drop free text", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			key, err := setup.ReadKey(path)
			if err != nil {
				return err
			}
			a := tool.NewAnonymous(key)
			return rewrite(args[0], args[1], tool.Window{First: -1 << 62}, a.Header,
				func(e format.Event) (format.Event, bool) { return a.Event(e), true })
		}}
	c.Flags().StringVar(&path, "key", "", "a key file, as ferrypitch key writes it")
	c.MarkFlagRequired("key")
	return c
}

func traceMerge() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "merge FILE... --out OUT", Short: "Put several routers' files in the order of the first one's clock", Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var delays []*tool.Delays
			var feeds []tool.Feed
			var headers []format.Header
			for _, path := range args {
				var d *tool.Delays
				err := each(path, tool.Window{First: -1 << 62}, func(s *tool.Source) error {
					d = tool.NewDelays(s.Header.Schema)
					headers = append(headers, s.Header)
					f, err := s.Feed()
					feeds = append(feeds, f)
					return err
				}, func(e format.Event) error { d.Add(e); return nil })
				if err != nil {
					return err
				}
				delays = append(delays, d)
			}
			skews := []tool.Skew{{Router: headers[0].Router}}
			for i := 1; i < len(args); i++ {
				s, err := tool.Estimate(headers[i].Router, delays[0], delays[i])
				if err != nil {
					return fail(fmt.Errorf("%s: %w", args[i], err))
				}
				fmt.Fprintf(os.Stderr, "%s: router %s is %.1f ms ahead and drifts by %.1f ppm, within %.1f ms, by %d windows\n", args[i], s.Router,
					s.Offset/10, s.Drift*1e6, s.Bound/10, s.Seen)
				skews = append(skews, s)
			}
			return writing(out, func(to io.Writer) error {
				h := headers[0]
				h.Part, h.Schema = 0, tool.Merged(h.Schema)
				o, err := tool.NewOutput(to, h)
				if err != nil {
					return err
				}
				named := len(h.Schema) - 1
				for i, s := range skews {
					if err := o.Add(format.Event{At: h.Began, Kind: named, Ints: []int64{int64(i)}, Texts: []string{s.Router}}); err != nil {
						return err
					}
				}
				if err := tool.Merge(feeds, skews, o.Add); err != nil {
					return err
				}
				return o.Close()
			})
		}}
	c.Flags().StringVar(&out, "out", "", "the file to write; - is standard output")
	c.MarkFlagRequired("out")
	return c
}

func summarise(path string, p *picking) ([]tool.Line, error) {
	w, err := p.window()
	if err != nil {
		return nil, err
	}
	var sum *tool.Summary
	var f *tool.Filter
	err = each(path, w, func(s *tool.Source) error {
		sum = tool.NewSummary(s.Header)
		var err error
		f, err = p.filter(s.Header)
		return err
	}, func(e format.Event) error {
		if f.Has(e) {
			sum.Add(e)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return sum.Lines(), nil
}

func traceSummary() *cobra.Command {
	var p picking
	var asJSON bool
	c := &cobra.Command{Use: "summary FILE", Short: "Service by command group and set", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		lines, err := summarise(args[0], &p)
		if err != nil {
			return err
		}
		if asJSON {
			enc := json.NewEncoder(c.OutOrStdout())
			enc.SetIndent("", "  ")
			return enc.Encode(lines)
		}
		t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "group\tset\ttaken\tanswered\tthrottled\tfailed\topen\tmedian ms\t99 % ms\tdispatches\treplicas\twaited ms\t")
		for _, l := range lines {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\t\n", l.Group, l.Set, l.Taken, l.Answered, l.Throttled,
				l.Failed, l.Open, l.Median, l.P99, l.Dispatches, l.Replicas, l.Waited)
		}
		return t.Flush()
	}}
	p.flags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

func traceDiff() *cobra.Command {
	var asJSON bool
	var p picking
	c := &cobra.Command{Use: "diff FILE FILE", Short: "Two files' summaries side by side", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		a, err := summarise(args[0], &p)
		if err != nil {
			return err
		}
		b, err := summarise(args[1], &p)
		if err != nil {
			return err
		}
		all := tool.Diff(a, b)
		if asJSON {
			return json.NewEncoder(c.OutOrStdout()).Encode(all)
		}
		t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "group\tset\ttaken\tanswered\tthrottled\tmedian ms\t99 % ms\tdispatches\t")
		for _, d := range all {
			fmt.Fprintf(t, "%s\t%d\t%d → %d\t%.3f → %.3f\t%.3f → %.3f\t%.1f → %.1f\t%.1f → %.1f\t%.2f → %.2f\t\n", d.Group, d.Set, d.Taken[0], d.Taken[1],
				d.Answered[0], d.Answered[1], d.Throttled[0], d.Throttled[1], d.Median[0], d.Median[1], d.P99[0], d.P99[1], d.Dispatches[0], d.Dispatches[1])
		}
		return t.Flush()
	}}
	p.flags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

func traceReplay() *cobra.Command {
	var most int
	c := &cobra.Command{Use: "replay FILE...", Short: "Drive the module with a life's files, and say where its decisions part",
		Long: "Files are those of one router's life, in order from its start. With the module that wrote them nothing parts.",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			var again *replay.Replay
			life, whole := uint64(0), true
			for _, path := range args {
				var src *tool.Source
				err := each(path, tool.Window{First: -1 << 62}, func(s *tool.Source) (err error) {
					src, whole = s, s.Spans != nil
					if again == nil {
						life = s.Header.Life
						again, err = replay.New(s.Header, most)
					} else if s.Header.Life != life {
						err = fmt.Errorf("%s is of another life", path)
					}
					return err
				}, func(e format.Event) error {
					if err := again.Lost(src.Lost); err != nil {
						return err
					}
					return again.Event(e)
				})
				if err != nil {
					return err
				}
			}
			again.End(whole)
			for _, d := range again.Differences {
				fmt.Fprintln(c.OutOrStdout(), d)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d calls, %d asked for, %d apart\n", again.Calls, again.Asked, again.Apart)
			if again.Apart > 0 {
				return status(failed)
			}
			return nil
		}}
	c.Flags().IntVar(&most, "most", 20, "differences that are printed")
	return c
}
