// Package tool is what is done with trace files: reading by window, cutting,
// anonymising, merging by time, summing up. Its functions take events one after
// the other and hold no more than what they sum up.
package tool

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
)

// Source is a trace that is read, a file or a pipe.
type Source struct {
	Header format.Header
	Spans  []format.Span // nil: read from the beginning
	Faults []format.CorruptBlockError
	Broken error // where it breaks off; what is before was read
	Lost   uint64
	Blocks int // read

	path   string
	reader *format.Reader
	file   *os.File
	size   int64
}

// Open opens a file, or standard input as "-".
func Open(path string) (*Source, error) {
	if path == "-" {
		r, err := format.NewReader(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("standard input: %w", err)
		}
		return &Source{Header: r.Header, path: path, reader: r}, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	s, err := open(path, f)
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func open(path string, f *os.File) (*Source, error) {
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	r, err := format.NewReader(f)
	if err != nil {
		return nil, err
	}
	s := &Source{Header: r.Header, path: path, reader: r, file: f, size: info.Size()}
	if info.Mode().IsRegular() {
		if s.Spans, err = format.ReadIndex(f, info.Size()); err != nil && !errors.Is(err, format.ErrTruncated) && !errors.Is(err, format.ErrCorrupt) {
			return nil, err
		}
	}
	return s, nil
}

// Close closes it.
func (s *Source) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// Window is a span of time in tenths; Last 0 has no end.
type Window struct{ First, Last int64 }

func (w Window) contains(at int64) bool { return at >= w.First && (w.Last == 0 || at <= w.Last) }

func (w Window) overlaps(s format.Span) bool {
	return s.Last >= w.First && (w.Last == 0 || s.First <= w.Last)
}

// Each gives the events of a window to do, in the file's order. With an index, blocks that don't meet the window are
// not read. Spoilt blocks are noted and passed over; a file that breaks off ends there, which is noted.
func (s *Source) Each(w Window, progress func(done, of int64), do func(e format.Event) error) error {
	if s.Spans != nil {
		for i, span := range s.Spans {
			s.Lost += span.Lost
			if !w.overlaps(span) {
				continue
			}
			events, err := format.ReadBlock(s.file, s.Header.Schema, span)
			if err := s.handleBlock(events, err, w, do); err != nil {
				return err
			}
			if progress != nil {
				progress(int64(i+1), int64(len(s.Spans)))
			}
		}
		return nil
	}
	for {
		span, events, err := s.reader.Next()
		if err == io.EOF {
			return nil
		}
		if errors.Is(err, format.ErrTruncated) {
			s.Broken = err
			return nil
		}
		s.Lost += span.Lost
		if err := s.handleBlock(events, err, w, do); err != nil {
			return err
		}
		if progress != nil {
			progress(s.reader.Offset(), s.size)
		}
	}
}

func (s *Source) handleBlock(events []format.Event, err error, w Window, do func(format.Event) error) error {
	var f *format.CorruptBlockError
	if errors.As(err, &f) {
		s.Faults = append(s.Faults, *f)
		return nil
	}
	if err != nil {
		return err
	}
	s.Blocks++
	for _, e := range events {
		if w.contains(e.At) {
			if err := do(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// Output writes a trace, from its header to its index.
type Output struct {
	out    io.Writer
	block  *format.Block
	offset int64
	index  []format.Span
	buffer []byte
	Events int64
}

// outputBlockBytes is what tools gather before they write.
const outputBlockBytes = 256 << 10

// NewOutput writes the header.
func NewOutput(out io.Writer, h format.Header) (*Output, error) {
	o := &Output{out: out, block: format.NewBlock(h.Schema)}
	head, err := format.AppendHeader(nil, h)
	if err != nil {
		return nil, err
	}
	return o, o.write(head)
}

func (o *Output) write(b []byte) error {
	n, err := o.out.Write(b)
	o.offset += int64(n)
	return err
}

// Add adds an event.
func (o *Output) Add(e format.Event) error {
	o.block.Add(e.At, e.Kind, e.Ints, e.Texts)
	if o.Events++; o.block.Full(outputBlockBytes) {
		return o.flush()
	}
	return nil
}

func (o *Output) flush() error {
	if o.block.Len() == 0 {
		return nil
	}
	b, span, err := o.block.Append(o.buffer[:0], o.offset)
	if err != nil {
		return err
	}
	o.buffer = b
	o.block.Reset()
	o.index = append(o.index, span)
	return o.write(b)
}

// Close writes what is left and the index.
func (o *Output) Close() error {
	if err := o.flush(); err != nil {
		return err
	}
	tail, err := format.AppendIndex(nil, o.index, o.offset)
	if err != nil {
		return err
	}
	return o.write(tail)
}

// Filter picks commands by what their take says, and all that is of them. The zero value picks everything.
type Filter struct {
	Sessions map[string]bool
	Sets     map[int64]bool
	Groups   map[int64]bool

	schema   format.Schema
	commands map[int64]bool
}

// Begin says of which schema the events are.
func (f *Filter) Begin(s format.Schema) { f.schema, f.commands = s, map[int64]bool{} }

// MatchesAll says that nothing is left out.
func (f *Filter) MatchesAll() bool { return len(f.Sessions)+len(f.Sets)+len(f.Groups) == 0 }

// Has says whether an event is picked. Those that are of no command are, for a reader needs them.
func (f *Filter) Has(e format.Event) bool {
	k := f.schema[e.Kind]
	at := k.Find("command", format.Int)
	if at < 0 || f.MatchesAll() {
		return true
	}
	number := e.Ints[at]
	if k.Name == "take" {
		picked := len(f.Sessions) == 0 || f.Sessions[textOf(k, e, "session")]
		picked = picked && (len(f.Sets) == 0 || f.Sets[numberOf(k, e, "set")]) && (len(f.Groups) == 0 || f.Groups[numberOf(k, e, "group")])
		if picked {
			f.commands[number] = true
		}
	}
	return f.commands[number]
}

func textOf(k format.Kind, e format.Event, name string) string {
	if i := k.Find(name, format.Text); i >= 0 {
		return e.Texts[i]
	}
	return ""
}

func numberOf(k format.Kind, e format.Event, name string) int64 {
	if i := k.Find(name, format.Int); i >= 0 {
		return e.Ints[i]
	}
	return 0
}

// Anonymizer replaces what a schema's marks name, by a key.
type Anonymizer struct {
	key         [32]byte
	textPrivacy [][]format.Privacy // of texts, by kind
	pseudonyms  map[string]string
}

// NewAnonymous makes pseudonyms under a key: the same under the same key, whichever file or router they are of.
func NewAnonymous(key [32]byte) *Anonymizer {
	return &Anonymizer{key: key, pseudonyms: map[string]string{}}
}

// Header replaces what a header tells.
func (a *Anonymizer) Header(h format.Header) (format.Header, error) {
	a.textPrivacy = nil
	for _, k := range h.Schema {
		var marks []format.Privacy
		for _, c := range k.Columns {
			if c.Type == format.Text {
				marks = append(marks, c.Mark)
			}
		}
		a.textPrivacy = append(a.textPrivacy, marks)
	}
	h.Router = a.pseudonym(format.Topology, h.Router)
	more := map[string][]byte{}
	if groups, ok := h.More["groups"]; ok { // names of command groups are the deployment's, not a person's
		more["groups"] = groups
	}
	if text, ok := h.More["deployment"]; ok {
		d, err := record.ReadDeployment(text)
		if err != nil {
			return h, err
		}
		d.Zone = a.pseudonym(format.Topology, d.Zone)
		if more["deployment"], err = record.Deployment(d); err != nil {
			return h, err
		}
	}
	h.More = more // what this program doesn't know goes
	sum := blake3.Sum256(append([]byte("ferrypitch trace key "), a.key[:]...))
	h.Key = sum[:4]
	return h, nil
}

// Event replaces what an event tells.
func (a *Anonymizer) Event(e format.Event) format.Event {
	if len(e.Texts) == 0 {
		return e
	}
	texts := make([]string, len(e.Texts))
	for i, t := range e.Texts {
		texts[i] = a.pseudonym(a.textPrivacy[e.Kind][i], t)
	}
	e.Texts = texts
	return e
}

func (a *Anonymizer) pseudonym(m format.Privacy, text string) string {
	switch {
	case m == format.Plain || text == "":
		return text
	case m != format.Identity && m != format.Topology:
		return ""
	}
	if known, ok := a.pseudonyms[text]; ok && m == format.Topology {
		return known
	}
	h, err := blake3.NewKeyed(a.key[:])
	if err != nil {
		panic(err) // the size is in its type
	}
	h.Write([]byte{byte(m)})
	h.WriteString(text)
	word := hex.EncodeToString(h.Sum(nil)[:10])
	if m == format.Topology && len(a.pseudonyms) < 1<<16 {
		a.pseudonyms[text] = word
	}
	return word
}

// Groups are the names of command groups that a header has, by number.
func Groups(h format.Header) (names []string) {
	if cbor.Unmarshal(h.More["groups"], &names) != nil {
		return nil
	}
	return names
}

// JSONNumber is a number of an event as JSON has it: floats by their bits.
func JSONNumber(name string, v int64) any {
	if name == "size" {
		return math.Float64frombits(uint64(v))
	}
	return v
}

// Object is an event with its names.
func Object(s format.Schema, e format.Event) map[string]any {
	k := s[e.Kind]
	o := map[string]any{"at": e.At, "kind": k.Name}
	i, t := 0, 0
	for _, c := range k.Columns {
		if c.Type == format.Int {
			o[c.Name] = JSONNumber(c.Name, e.Ints[i])
			i++
		} else {
			o[c.Name] = e.Texts[t]
			t++
		}
	}
	return o
}
