package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ferrypitch/internal/simulation/tierfleet"
)

// testTimeout limits the wait for an expected event. No test passes because it expires.
const testTimeout = 20 * time.Second

var binary string // path of the program under test

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ferrypitch")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ferrypitch")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// testSystem is the program under test, with fake hosts and a fake discovery service.
type testSystem struct {
	t              *testing.T
	hosts          []*fakeHost
	config         string
	path           string // of the configuration file
	env            []string
	listen         string
	cmd            *exec.Cmd
	logLines       chan string
	listLines      chan string // host lists for discovery to send
	movedListLines chan string // host lists for discovery at another address to send

	discovery       string
	watchVersions   chan string // versions after which the watches request changes
	watchEnded      chan bool   // receives a value when a client closes its watch
	discoverySilent bool        // discovery accepts watches but sends nothing
}

// startSystem starts the hosts a (the primary), b, c..., the discovery service and the program, whose configuration change can edit.
func startSystem(t *testing.T, hosts int, change func(map[string]any)) *testSystem {
	return startPreparedSystem(t, hosts, change, func(*testSystem) {})
}

// startPreparedSystem is like startSystem, but calls prepare before the program starts and can probe the hosts.
func startPreparedSystem(t *testing.T, hosts int, change func(map[string]any), prepare func(*testSystem)) *testSystem {
	s := &testSystem{t: t, listLines: make(chan string), watchVersions: make(chan string, 99), watchEnded: make(chan bool, 99)}
	for i := range hosts {
		s.hosts = append(s.hosts, s.startHost(string(rune('a'+i))))
	}
	s.hosts[0].primary = true
	discovery := listen(t)
	s.discovery = discovery.Addr().String()
	s.env = []string{"GW_DISCOVERY=" + s.discovery}
	go s.serveDiscovery(discovery, s.listLines)
	var entries []string
	for i := range s.hosts {
		entries = append(entries, s.listEntry(i, "up"))
	}
	s.config = configuration(discovery.Addr().String(), strings.Join(entries, ","))
	if change != nil {
		var c map[string]any
		unmarshal(t, []byte(s.config), &c)
		change(c)
		b, _ := json.Marshal(c)
		s.config = string(b)
	}
	prepare(s)
	s.start()
	return s
}

// listen listens on a free port.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// configuration returns a configuration file with three command groups: list and own, which read, and order, which writes.
func configuration(discovery, targets string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
	"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[%s]},
	"settings":{"tick":5,"bounds":{"send_cap":8,"probes":true,"retry_after":true,"max_retry_after":1000,
	"conn_idle":30000,"connect_timeout":250},"prices":{},
	"rules":{"fall":1500,"cold":16000,"cold_from":0.25,"overload_factor":4},
	"telemetry":{"how":"answers","fields":["x0","x1"]},
	"family_info":{"stamps":true,"guards":"none","session_marks":"brought","class_bound":[500,0,0],
	"class_read":["lag_bound","causal","mutate"]},
	"classes":[{"name":"list","effect":"idempotent","give_up":800,"promise":300,"worth":1},
	{"name":"own","effect":"idempotent","give_up":800,"promise":300,"worth":1},
	{"name":"order","effect":"at_most_once","give_up":3000,"promise":500,"worth":3,"late_share":0.7}]}}`,
		discovery, targets)
}

// object returns the object at a path of a decoded configuration.
func object(c map[string]any, path ...string) map[string]any {
	for _, p := range path {
		c = c[p].(map[string]any)
	}
	return c
}

func (s *testSystem) start() {
	s.path = filepath.Join(s.t.TempDir(), "config.json")
	writeFile(s.t, s.path, s.config)
	s.cmd = exec.Command(binary)
	s.cmd.Env = append(s.env, "GW_CONFIG="+s.path)
	out, err := s.cmd.StderrPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(s.stop)
	lines := make(chan string, 1000)
	s.logLines = lines
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			lines <- in.Text()
		}
		close(lines)
	}()
	var started struct{ Listen string }
	line := s.awaitLog(`"msg":"started"`)
	unmarshal(s.t, []byte(line), &started)
	s.listen = started.Listen
}

func (s *testSystem) stop() {
	killProcess(s.cmd)
	for _, h := range s.hosts {
		h.listener.Close()
		h.closeAll()
	}
}

// awaitLog waits for a log line that contains part, and returns it.
func (s *testSystem) awaitLog(part string) string {
	for {
		select {
		case line, ok := <-s.logLines:
			if strings.Contains(line, part) {
				return line
			}
			if !ok {
				s.t.Fatalf("the program ended without logging %s", part)
			}
		case <-time.After(testTimeout):
			s.t.Fatalf("the program does not log %s", part)
		}
	}
}

// counters requests the program's counters and returns them and the log line that contains them.
func (s *testSystem) counters() (got map[string]float64, line string) {
	s.signal(syscall.SIGUSR1)
	_, line, _ = strings.Cut(s.awaitLog(`"msg":"counts"`), "{")
	_ = json.Unmarshal([]byte("{"+line), &got) // fields that are not numbers are skipped
	return got, line
}

// awaitCounters sends commands until the counters meet a condition.
func (s *testSystem) awaitCounters(condition func(map[string]float64) bool) {
	for got, line := s.counters(); !condition(got); got, line = s.counters() {
		if got["taken"] > 5000 {
			s.t.Fatal(line)
		}
		_, _, _ = s.connect().query(readCommand("list", "800", ""))
	}
}

// replaceInConfig replaces a part of the program's configuration file atomically.
func (s *testSystem) replaceInConfig(old, replacement string) {
	s.config = strings.Replace(s.config, old, replacement, 1)
	writeFile(s.t, s.path+".new", s.config)
	if err := os.Rename(s.path+".new", s.path); err != nil {
		s.t.Fatal(err)
	}
}

// runRejected runs the program with an environment in which it must fail to start, and returns its output and exit status.
func runRejected(env []string) (string, int) {
	cmd := exec.Command(binary)
	cmd.Env = env
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// runBinary runs a sub-command until it exits, and returns its output and exit status.
func runBinary(args ...string) (out string, status int) {
	var b bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = &b, &b
	_ = cmd.Run() // reported by the exit status
	return b.String(), cmd.ProcessState.ExitCode()
}

// startBinary starts a sub-command and stops it at the end of the test.
func startBinary(t *testing.T, args ...string) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Stderr = &logWriter{t: t}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		signalProcess(t, cmd, syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v: %v", args, err)
		}
	})
}

// logWriter writes to the log of a test.
type logWriter struct{ t *testing.T }

func (l *logWriter) Write(b []byte) (int, error) { l.t.Logf("%s", b); return len(b), nil }

// writeExample writes the repository's example configuration with free addresses, a key and the given change, and returns its path.
func writeExample(t *testing.T, change func(all map[string]any)) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		t.Fatal(err)
	}
	for _, setAddress := range []func(string){
		func(address string) { all["listen"] = address }, func(address string) { all["plan"].(map[string]any)["listen"] = address },
		func(address string) { all["discovery"] = address },
	} {
		address, err := tierfleet.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		setAddress(address)
	}
	if change != nil {
		change(all)
	}
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "example.key"), strings.Repeat("0f", 32))
	text, _ = json.Marshal(all)
	path := filepath.Join(dir, "example.json")
	writeFile(t, path, string(text))
	return path
}

// statements returns the statements that all hosts received, in order of hosts.
func (s *testSystem) statements() (all []string) {
	for _, h := range s.hosts {
		h.mu.Lock()
		all = append(all, h.queries...)
		h.mu.Unlock()
	}
	return all
}

// signal sends a signal to the program.
func (s *testSystem) signal(signal os.Signal) {
	s.t.Helper()
	signalProcess(s.t, s.cmd, signal)
}

func signalProcess(t *testing.T, cmd *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(signal); err != nil {
		t.Errorf("%v: %v", signal, err)
	}
}

// killProcess kills a process if it is still running, and waits until it has exited.
func killProcess(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait() // its error reports the kill
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func unmarshal(t *testing.T, text []byte, value any) {
	t.Helper()
	if err := json.Unmarshal(text, value); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
}

// discard reads from a connection until the peer closes it.
func discard(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
