// Package cluster runs the whole system on loopback: three members of the control plane and two routers as processes,
// stand-in hosts, platform and operator in this one, and sessions of all three kinds, through a change of configuration
// and the crash of a primary. What clients were told is judged against what the hosts kept.
package cluster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/simulation/tierfleet"
)

// Options of a run.
type Options struct {
	For      time.Duration
	Sessions int // at each router, of all kinds
	Seed     uint64
	Say      func(format string, args ...any) // progress; may be nil
}

// Row is what was answered, for one kind of route and statement.
type Row struct {
	Kind, Statement             string
	Answered, Promised, InDoubt int
	Failed                      int
}

// Result is what came of a run.
type Result struct {
	Rows     []Row
	From     map[string]int // reads by the host that ran them, "primary" or "replica" behind it
	Versions int            // of the configuration, taken and read back
	Leads    int            // promotions
	Gap      time.Duration  // from the crash of the primary to the first write answered after it
	Kept     int            // writes acknowledged
	Broken   []string
	PeakKB   map[string]int // resident memory of each program, the most of its processes
}

type system struct {
	Options
	dir     string
	net     string
	members []*tierfleet.Process
	routers []*tierfleet.Process
	work    *database.RealTimeScheduler
	hosts   *database.Server
	judge   *checker.Checker
	began   time.Time

	mu     sync.Mutex // of what follows; the judge is under the work's lock
	result Result
	rows   map[[2]string]*Row
	crash  time.Time
	ids    map[string]checker.Reader // statements that are out
}

const settings = `Node = %q
Role = %q
Ip = %q
Zone = "z"
PortRange = [%d,%d]
SeedPeers = [%s]
Bootstrap = true
CountsLoss = %v
DataDir = %q
BeatMs = 1200
[Listen]
%s
[FaultBudget]
Machines = 1
[Bounds]
GraceS = 4
DrainMs = 5000
[Provider]
Address = %q
`

// Run plays once, in a folder of its own.
func Run(ctx context.Context, dir string, t Options) (*Result, error) {
	if t.Say == nil {
		t.Say = func(string, ...any) {}
	}
	s := &system{Options: t, dir: dir, work: database.NewRealTimeScheduler(t.Seed), rows: map[[2]string]*Row{}, ids: map[string]checker.Reader{}, began: time.Now()}
	s.net = fmt.Sprintf("127.%d.%d", 10+t.Seed%200, 1+t.Seed/200%250)
	s.result.From, s.result.PeakKB = map[string]int{}, map[string]int{}
	ctx, end := context.WithCancel(ctx)
	defer func() {
		for _, p := range append(s.routers, s.members...) {
			p.Stop()
		}
		end()
		s.work.Stop()
		if s.hosts != nil {
			s.hosts.Wait()
		}
	}()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	if err := s.configure(ctx, 0, 1); err != nil {
		return nil, err
	}
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	t.Say("all is up; %d sessions at each of two routers for %v", t.Sessions, t.For)
	return s.play(ctx)
}

func (s *system) address(kind, i, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.net, kind*10+i, port)
}

// Ports are alike on all machines, which have addresses of their own.
const (
	link      = 17440
	front     = 18784
	readiness = 18785
	control   = 18782
	dbPort    = 18080
	provider  = 18783
)

func (s *system) start(ctx context.Context) error {
	var seeds, calls, hosts []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", s.address(1, i, control)))
		calls = append(calls, s.address(1, i, control))
		hosts = append(hosts, s.address(3, i, dbPort))
	}
	s.Say("building ferrypitch-proxy and ferrypitch-control")
	binaries := map[string]string{}
	for _, program := range []string{"ferrypitch-proxy", "ferrypitch-control"} {
		binary, err := tierfleet.Build(s.dir, program)
		if err != nil {
			return err
		}
		binaries[program] = binary
	}
	var err error
	if s.hosts, err = database.Serve(ctx, s.work, database.ServerConfig{
		Service: "db", Hosts: hosts, Platform: s.address(4, 0, provider), ControlPlane: calls,
	}); err != nil {
		return err
	}
	s.judge = &checker.Checker{Bounds: map[string]int64{"bounded": 1000 * database.Ms, "owned": 1500 * database.Ms}, Own: map[string]bool{"owned": true},
		Group: s.hosts.Group, Violate: s.broke}
	s.work.Lock()
	s.hosts.Read = s.read
	s.hosts.Note = func(format string, args ...any) { s.Say("host "+format, args...) }
	s.work.Unlock()
	for i := range 5 {
		program, kind, n, listen, data := "ferrypitch-control", 1, i, fmt.Sprintf("Control = %q", s.address(1, i, control)), filepath.Join(s.dir, fmt.Sprint("disk", i))
		if i >= 3 {
			program, kind, n, data = "ferrypitch-proxy", 2, i-3, ""
			listen = fmt.Sprintf("Front = %q\nReadiness = %q", s.address(2, n, front), s.address(2, n, readiness))
		}
		ip, _, _ := strings.Cut(s.address(kind, n, 1), ":")
		text := fmt.Sprintf(settings, fmt.Sprint(program, n), program, ip, link, link+9, strings.Join(seeds, ","), program == "ferrypitch-control", data, listen,
			s.address(4, 0, provider))
		file := filepath.Join(s.dir, fmt.Sprint(program, n, ".toml"))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		p, err := tierfleet.StartWith([]string{"FERRYPITCH_NODE_FILE=" + file}, binaries[program], filepath.Join(s.dir, fmt.Sprint(program, n, ".log")), "run")
		if err != nil {
			return err
		}
		if program == "ferrypitch-control" {
			s.members = append(s.members, p)
		} else {
			s.routers = append(s.routers, p)
		}
	}
	return nil
}

func (s *system) now() int64 { return int64(time.Since(s.began)/(100*time.Microsecond)) + 1 }

func (s *system) broke(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.result.Broken) < 20 {
		s.result.Broken = append(s.result.Broken, fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

// read is called as a host runs a read, under the work's lock.
func (s *system) read(h *database.Host, _ *database.Conn, id string) {
	s.mu.Lock()
	who, known := s.ids[id]
	role := "replica"
	if h.Leader {
		role = "primary"
	}
	s.result.From[h.ID+" "+role]++
	s.mu.Unlock()
	if !known {
		s.broke("UNASKED: %s runs %s", h.ID, id)
		return
	}
	s.judge.CheckRead(h, who)
}

func plan(generation int) []byte {
	route := func(name, host, kind string, deadline, target, stale int) string {
		return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":"/","Kind":%q,"DeadlineMs":%d,"TargetMs":%d,"Priority":1,"Service":"db","MaxTries":2,"StalenessMs":%d}`,
			name, host, kind, deadline+generation, target, stale)
	}
	return fmt.Appendf(nil, `{"Generation":%d,"Routes":[%s,%s,%s],"Services":[{"Name":"db","MaxConns":60,"SyncReplicas":1}],"Limits":{"TxnIdleMs":3000}}`, generation,
		route("a", "leader", "leader", 1000, 200, 0), route("b", "bounded", "bounded_staleness", 2000, 400, 1000), route("c", "owned", "owned", 1000, 200, 1500))
}

// configure is the operator: it sends a version until it is taken, to one member after another, and reads it back.
func (s *system) configure(ctx context.Context, base, generation int) error {
	client, body := http.Client{Timeout: 2 * time.Second}, plan(generation)
	var last error
	for i := range 100 {
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address(1, i%3, control)+"/Config.Replace", bytes.NewReader(body))
		r.Header.Set("X-Base-Version", fmt.Sprint(base))
		a, err := client.Do(r)
		if last = err; err == nil {
			text, _ := io.ReadAll(a.Body)
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return s.readBack(ctx, i, body)
			}
			last = fmt.Errorf("version %d: %d %s", generation, a.StatusCode, text)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return last
}

func (s *system) readBack(ctx context.Context, i int, body []byte) error {
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address(1, (i+1)%3, control)+"/Config.Read", nil)
	a, err := (&http.Client{Timeout: 2 * time.Second}).Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	if err == nil && !bytes.Equal(got, body) {
		s.broke("CONFIG: what is read back is not what was acknowledged: %.80q", got)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Versions++
	return err
}

// ready waits until both routers say that they are.
func (s *system) ready(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	for i := range 2 {
		for try := 0; ; try++ {
			a, err := client.Get("http://" + s.address(2, i, readiness) + "/readiness")
			if err == nil {
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					break
				}
			}
			if try > 100 {
				return fmt.Errorf("router %d is not ready after 10 s", i)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

// play sends sessions through a change of configuration and the crash of the primary.
func (s *system) play(ctx context.Context) (*Result, error) {
	sending, stop := context.WithTimeout(ctx, s.For)
	defer stop()
	var clients sync.WaitGroup
	for r := range 2 {
		for i := range s.Sessions {
			clients.Go(func() { s.client(sending, r, i) })
		}
	}
	var failed error
	for _, step := range []struct {
		at float64
		do func()
	}{{0.25, func() { failed = s.configure(ctx, 1, 2) }}, {0.5, s.kill}} {
		select {
		case <-sending.Done():
		case <-time.After(time.Until(s.startOf(step.at))):
			step.do()
		}
	}
	clients.Wait()
	if failed != nil {
		return nil, failed
	}
	time.Sleep(300 * time.Millisecond) // what is acknowledged is applied
	for program, all := range map[string][]*tierfleet.Process{"ferrypitch-proxy": s.routers, "ferrypitch-control": s.members} {
		for _, p := range all {
			_, kb := p.Use()
			s.result.PeakKB[program] = max(s.result.PeakKB[program], kb)
		}
	}
	s.work.Lock()
	s.judge.CheckFinalLog()
	s.result.Kept, s.result.Leads = s.judge.AcknowledgedWrites(), s.hosts.Promotions
	s.work.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range kinds {
		for _, statement := range statements {
			if row := s.rows[[2]string{kind, statement}]; row != nil {
				s.result.Rows = append(s.result.Rows, *row)
			}
		}
	}
	return &s.result, nil
}

func (s *system) startOf(part float64) time.Time {
	return time.Now().Add(time.Duration(part * float64(s.For) / 2))
}

func (s *system) kill() {
	s.work.Lock()
	defer s.work.Unlock()
	if l := s.hosts.Lead(); l != nil {
		l.Crash(false, int64(s.For/4/(100*time.Microsecond)))
		s.mu.Lock()
		s.crash = time.Now()
		s.mu.Unlock()
	}
}
