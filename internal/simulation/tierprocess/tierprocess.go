// Package tierprocess runs forwarders and planners, or as many routers that are
// alone, as processes under load and faults, and says what came of it by the
// stand-in hosts' own record.
package tierprocess

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/fake/postgres"
	"ferrypitch/internal/simulation/program"
	"ferrypitch/internal/simulation/tierfleet"
	"ferrypitch/internal/simulation/workload"
)

// Terms of a run. Planners 0: routers that are alone.
type Terms struct {
	Dir, Binary          string
	Forwarders, Planners int
	Sets, Members        int
	Rate                 float64
	For                  time.Duration
	Clients              int                      // at each forwarder
	Faults               bool                     // planners, forwarders and hosts are killed in turn
	Changes              int                      // of a set's primary, in equal parts of the time
	Blind                time.Duration            // at the half of the time all planners are gone for so long
	Trace                *tierfleet.TraceSettings // of the routers' files; nil: nothing is captured
	Seed                 uint64
}

// Outcome is what came of a run.
type Outcome struct {
	Terms
	Tally                                                  *workload.Tally `json:"-"`
	Truth                                                  postgres.Stats
	Sent, Answered, Throttled, Failed, Lost, Extra, Unsent int
	Broken                                                 int
	Doubled                                                int     // acknowledged writes that ran more than once
	Median, P99                                            float64 // milliseconds, from when a command was due
	Behind                                                 float64 // milliseconds, the load's own lateness at its worst
	ListLines                                              int
	ProbesPerSecond                                        float64
	Follow                                                 []float64 // milliseconds from each election to half and to 99 % of forwarders' first write there
	ForwarderCPU, PlannerCPU                               float64   // seconds, of one, mean
	ForwarderRSS, PlannerRSS                               int       // kB, of one, largest
}

type run struct {
	Terms
	fleet      *tierfleet.Fleet
	forwarders []*program.Process
	planners   []*program.Process
	routers    []string

	mu      sync.Mutex
	until   time.Time            // all planners are gone
	elected map[string]time.Time // by the new primary's name, while it is followed
	follows map[string]map[string]time.Duration
	done    [][]time.Duration
}

// Run runs it.
func Run(ctx context.Context, t Terms) (o *Outcome, err error) {
	r := &run{Terms: t, elected: map[string]time.Time{}, follows: map[string]map[string]time.Duration{}}
	if r.fleet, err = tierfleet.New(t.Dir, t.Sets, t.Members, t.Forwarders, t.Planners); err != nil {
		return nil, err
	}
	r.fleet.Trace = t.Trace
	defer r.fleet.Stop()
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	before, began := r.fleet.Hosts.Seen(), time.Now()
	side, stop := context.WithCancel(ctx)
	var faults errgroup.Group
	if t.Faults {
		faults.Go(func() error { return r.faults(side) })
	}
	faults.Go(func() error { return r.changes(side) })
	faults.Go(func() error { return r.blind(side) })
	var sets []int64
	for s := range t.Sets {
		sets = append(sets, int64(s+1))
	}
	tally := workload.Run(ctx, workload.Terms{Routers: r.routers, Sets: sets, Clients: t.Clients, Rate: t.Rate, For: t.For, Writes: 0.15,
		Sessions: 4, Timeout: time.Second, Seed: t.Seed, OnAnswer: r.seen}, r.killed)
	took := time.Since(began)
	stop()
	if err := faults.Wait(); err != nil {
		return nil, err
	}
	return r.outcome(tally, before, took), nil
}

func (r *run) start(ctx context.Context) error {
	for i := range r.Planners {
		path, err := r.fleet.PlannerFile(i)
		if err != nil {
			return err
		}
		p, err := program.Start(program.Config{Binary: r.Binary, Args: []string{"plan", path}, Log: filepath.Join(r.Dir, fmt.Sprintf("p%d.log", i))})
		if err != nil {
			return err
		}
		r.planners = append(r.planners, p)
	}
	for i := range r.Forwarders {
		address, err := tierfleet.Free()
		if err != nil {
			return err
		}
		command, file := "forward", r.fleet.ForwarderFile
		if r.Planners == 0 {
			command, file = "serve", r.fleet.RouterFile
		}
		path, err := file(i, address)
		if err != nil {
			return err
		}
		p, err := program.Start(program.Config{Binary: r.Binary, Args: []string{command, path}, Log: filepath.Join(r.Dir, fmt.Sprintf("f%d.log", i))})
		if err != nil {
			return err
		}
		r.forwarders, r.routers = append(r.forwarders, p), append(r.routers, address)
	}
	up, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	for _, a := range r.routers {
		if err := tierfleet.Ready(up, a); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) stop() {
	var all sync.WaitGroup
	for _, p := range append(append([]*program.Process{}, r.planners...), r.forwarders...) {
		all.Go(p.Stop)
	}
	all.Wait()
}

func (r *run) killed(router string) bool {
	i := slices.Index(r.routers, router)
	return r.forwarders[i].RecentlyKilled()
}

// seen notes the first write that each router had answered by a new primary.
func (r *run) seen(router, host, group string, at time.Time) {
	if group != "order" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if since, ok := r.elected[host]; ok && at.After(since) {
		if _, had := r.follows[host][router]; !had {
			r.follows[host][router] = at.Sub(since)
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// faults kills planners, forwarders and hosts in turn, one at a time, and starts them again.
func (r *run) faults(ctx context.Context) error {
	chance := rand.New(rand.NewPCG(r.Seed, 11))
	hosts := r.fleet.Hosts.Hosts()
	for n := 0; ; n++ {
		if !wait(ctx, 500*time.Millisecond) {
			return nil
		}
		switch n % 4 {
		case 0, 2:
			if len(r.planners) > 0 && !r.gone() {
				p := r.planners[(n/2)%len(r.planners)]
				p.Kill()
				if wait(ctx, 700*time.Millisecond); r.gone() {
					continue
				}
				if err := p.Restart(); err != nil {
					return err
				}
			}
		case 1:
			p := r.forwarders[chance.IntN(len(r.forwarders))]
			p.Kill()
			if err := p.Restart(); err != nil {
				return err
			}
		case 3:
			h := hosts[chance.IntN(len(hosts))]
			if r.fleet.Hosts.Primary(h.Set) == h {
				continue
			}
			if n%8 == 3 && !r.gone() { // a drain that nobody can tell binds nobody
				r.fleet.Announce(h, tierfleet.StateDraining)
				wait(ctx, 2*time.Second)
				r.fleet.Announce(h, tierfleet.StateUp)
				continue
			}
			h.Kill()
			wait(ctx, time.Second)
			if err := h.Restart(); err != nil {
				return err
			}
			r.fleet.Announce(h, tierfleet.StateUp)
		}
	}
}

// changes kills a primary and promotes another, so many times.
func (r *run) changes(ctx context.Context) error {
	for n := range r.Changes {
		if !wait(ctx, r.For/time.Duration(r.Changes+1)) {
			return nil
		}
		old := r.fleet.Hosts.Primary(int64(n%r.Sets + 1))
		old.Kill()
		wait(ctx, 400*time.Millisecond)
		for _, h := range r.fleet.Hosts.Hosts() {
			if h.Set == old.Set && h != old {
				r.mu.Lock()
				r.elected[h.Name], r.follows[h.Name] = time.Now(), map[string]time.Duration{}
				r.mu.Unlock()
				h.Promote()
				wait(ctx, 3*time.Second)
				r.mu.Lock()
				var times []time.Duration
				for _, d := range r.follows[h.Name] {
					times = append(times, d)
				}
				delete(r.elected, h.Name)
				r.done = append(r.done, times)
				r.mu.Unlock()
				break
			}
		}
		if err := old.Restart(); err != nil {
			return err
		}
		r.fleet.Announce(old, tierfleet.StateUp)
	}
	return nil
}

// blind ends all planners for some time.
func (r *run) blind(ctx context.Context) error {
	if r.Blind == 0 || !wait(ctx, (r.For-r.Blind)/2) {
		return nil
	}
	r.mu.Lock()
	r.until = time.Now().Add(r.Blind)
	r.mu.Unlock()
	for _, p := range r.planners {
		p.Kill()
	}
	wait(ctx, r.Blind)
	for _, p := range r.planners {
		if err := p.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// gone says that all planners are to be gone now.
func (r *run) gone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until)
}

func (r *run) outcome(t *workload.Tally, before postgres.Stats, took time.Duration) *Outcome {
	truth := r.fleet.Hosts.Seen()
	o := &Outcome{Terms: r.Terms, Tally: t, Truth: truth, Sent: t.Sent, Answered: t.Answered, Throttled: t.Throttled, Failed: t.Failed,
		Lost: t.Lost, Extra: t.Extra, Unsent: t.Unsent, Broken: truth.Broken() + t.Lost + t.Extra,
		Median: float64(t.Latency.ValueAtQuantile(50)) / 1000, P99: float64(t.Latency.ValueAtQuantile(99)) / 1000,
		Behind: float64(t.Behind.Microseconds()) / 1000, ListLines: r.fleet.Discovery.LinesWritten(),
		ProbesPerSecond: float64(truth.Probes-before.Probes) / took.Seconds()}
	for _, id := range t.Acked {
		if r.fleet.Hosts.Executions(id) != 1 {
			o.Doubled++
		}
	}
	o.Broken += o.Doubled
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, times := range r.done {
		slices.Sort(times)
		if n := len(times); n > 0 {
			o.Follow = append(o.Follow, float64(times[n/2].Microseconds())/1000, float64(times[n*99/100].Microseconds())/1000)
		}
	}
	use := func(all []*program.Process) (cpu float64, resident int) {
		for _, p := range all {
			usage := p.Usage()
			cpu, resident = cpu+usage.CPU.Seconds()/float64(len(all)), max(resident, usage.ResidentKB)
		}
		return cpu, resident
	}
	o.ForwarderCPU, o.ForwarderRSS = use(r.forwarders)
	o.PlannerCPU, o.PlannerRSS = use(r.planners)
	return o
}
