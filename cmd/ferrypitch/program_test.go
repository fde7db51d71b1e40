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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ferrypitch/internal/router/protocol"
)

// testTimeout is how long a test waits for what must come about. Nothing is proved by waiting.
const testTimeout = 20 * time.Second

func TestACalmWriteAndRead(t *testing.T) {
	s := startSystem(t, 3, nil)
	c := s.connect()
	if code, value, _ := c.query(writeCommand("order", "3000")); code != "" || value != "from a" {
		t.Errorf("write: %s %q", code, value)
	}
	if code, value, _ := c.query(readCommand("list", "800", "")); code != "" || !strings.HasPrefix(value, "from ") {
		t.Errorf("read: %s %q", code, value)
	}
	for _, got := range s.statements() {
		want := writeCommand("order", "")
		if strings.Contains(got, "SELECT") {
			want = readCommand("list", "", "")
		}
		before, rest, _ := strings.Cut(got, ",d=")
		wait, after, _ := strings.Cut(rest, ",")
		if ms, err := strconv.Atoi(wait); err != nil || ms < 1 || ms > 3000 || before+",d=,"+after != want {
			t.Errorf("sent on as %s", got)
		}
	}
}

func TestAValueOfSixtyFourKiBGoesBothWaysAndACancelRequestIsClosed(t *testing.T) {
	s := startSystem(t, 1, nil)
	big := strings.Repeat("v", 1<<16)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) { b.sendRow(big, "leader") })
	long := strings.Replace(writeCommand("order", "3000"), `\x9f03`, `\x`+strings.Repeat("9f", 1<<16), 1)
	if code, value, err := s.connect().query(long); code != "" || value != big || err != nil {
		t.Errorf("%s, %d bytes, %v", code, len(value), err)
	}
	if got := s.statements(); len(got) != 1 || len(got[0]) != len(long) {
		t.Errorf("%d statements at the host", len(got))
	}
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	conn.Write([]byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2})
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a cancel request: %v", err)
	}
}

func TestASessionReadIsHeldToItsToken(t *testing.T) {
	s := startPreparedSystem(t, 3, nil, func(s *testSystem) {
		for _, h := range s.hosts[1:] {
			h.setLag(10 * time.Minute)
		}
	})
	c := s.connect()
	after := strconv.FormatInt(time.Now().Add(-time.Minute).UnixMilli(), 10)
	for range 5 {
		if code, value, _ := c.query(readCommand("own", "800", after)); code != "" || value != "from a" {
			t.Errorf("%s %q", code, value)
		}
	}
}

func TestAPositionOfTheFutureIsNotBelieved(t *testing.T) {
	s := startSystem(t, 2, nil)
	s.hosts[1].setLag(-10 * time.Minute) // in each report and each answer
	c := s.connect()
	for range 30 {
		after := strconv.FormatInt(time.Now().UnixMilli(), 10)
		if code, value, _ := c.query(readCommand("own", "800", after)); code != "" || value != "from a" {
			t.Errorf("%s %q", code, value)
		}
	}
}

func TestAnIdThatIsOpenIsNotTakenAgain(t *testing.T) {
	s := startSystem(t, 1, nil)
	asked, let := make(chan bool, 9), make(chan bool)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		asked <- true
		<-let
		b.sendRow("first", "leader")
	})
	c, other := s.connect(), s.connect()
	c.send(writeCommand("order", "3000"))
	<-asked
	if code, _, _ := other.query(writeCommand("order", "3000")); code != protocol.SyntaxError {
		t.Errorf("the second ends with %q", code)
	}
	close(let)
	if code, value, _ := c.answer(); code != "" || value != "first" || len(s.statements()) != 1 {
		t.Errorf("the first: %s %q, %d statements", code, value, len(s.statements()))
	}
}

func TestAStatementThatItsGroupDoesNotHaveIsRefused(t *testing.T) {
	s := startSystem(t, 1, nil)
	c := s.connect()
	for _, q := range []string{
		writeCommand("list", "800"), readCommand("order", "800", ""),
		strings.Replace(readCommand("list", "800", ""), "v FROM", "* FROM", 1),
	} {
		if code, _, err := c.query(q); code != protocol.SyntaxError || err != nil {
			t.Errorf("%s: %q %v", q, code, err)
		}
	}
	if n := len(s.statements()); n != 0 {
		t.Errorf("%d statements at the host", n)
	}
}

func TestASpoiltAnswerGoesElsewhereAndTellsNothing(t *testing.T) {
	s := startSystem(t, 2, nil)
	spoil := func(b *hostConn, q string) { // it says that it is the primary, and knows all
		b.conn.Write(append(rowMessages("spoilt")[:27], readyMessages("leader", time.Now().UnixMilli())...))
	}
	s.hosts[1].setOnQuery(spoil)
	c := s.connect()
	for range 20 {
		if code, value, _ := c.query(readCommand("list", "800", "")); code != "" || value != "from a" {
			t.Errorf("a read: %s %q", code, value)
		}
	}
	if s.hosts[1].queryCount() == 0 {
		t.Error("the host that spoils was never asked")
	}
	if code, value, _ := c.query(writeCommand("order", "3000")); code != "" || value != "from a" {
		t.Errorf("a write: %s %q", code, value)
	}
	s.hosts[0].setOnQuery(spoil)
	before := len(s.statements())
	if code, _, _ := c.query(writeCommand("order", "3000")); code != protocol.SystemError || len(s.statements()) != before+1 {
		t.Errorf("a spoilt write: %s, sent %d times", code, len(s.statements())-before)
	}
}

func TestAMissIsTakenToAnotherMember(t *testing.T) {
	s := startSystem(t, 3, nil)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) { b.sendError(protocol.ReadOnly, "follower") })
	s.hosts[1].setOnQuery(func(b *hostConn, q string) { b.sendRow("from b", "leader") })
	if code, value, _ := s.connect().query(writeCommand("order", "3000")); code != "" || value != "from b" {
		t.Errorf("%s %q", code, value)
	}
}

func TestAMutatingCommandThatMayHaveRunIsNotRepeated(t *testing.T) {
	for name, end := range map[string]func(*hostConn){
		"the connection breaks":        func(b *hostConn) { b.conn.Close() },
		"half a row comes":             func(b *hostConn) { b.conn.Write(rowMessages("x")[:20]); b.conn.Close() },
		"two rows come":                func(b *hostConn) { b.conn.Write(protocol.AppendReady(append(rowMessages("x"), rowMessages("y")...))) },
		"an error comes":               func(b *hostConn) { b.sendError("XX000", "leader") },
		"a code comes that is unknown": func(b *hostConn) { b.sendError("99999", "leader") },
	} {
		s := startSystem(t, 3, nil)
		for _, h := range s.hosts {
			h.setOnQuery(func(b *hostConn, q string) { end(b) })
		}
		code, _, _ := s.connect().query(writeCommand("order", "3000"))
		if code == "" || code == protocol.TooMany || code == protocol.NotNow || len(s.statements()) != 1 {
			t.Errorf("%s: code %q after %d statements", name, code, len(s.statements()))
		}
		s.stop()
	}
}

func TestAHostThatIsNotThereCostsNoCommand(t *testing.T) {
	s := startSystem(t, 3, nil)
	s.hosts[1].listener.Close()
	s.hosts[1].closeAll()
	c := s.connect()
	for range 20 {
		if code, _, _ := c.query(readCommand("list", "800", "")); code != "" {
			t.Errorf("code %s", code)
		}
	}
}

func TestASilentHostIsGivenUpOnInTime(t *testing.T) {
	s := startSystem(t, 1, nil)
	gone := make(chan struct{}, 9)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		io.Copy(io.Discard, b.conn) // until the router closes the connection
		gone <- struct{}{}
	})
	at := time.Now()
	code, _, _ := s.connect().query(writeCommand("order", "400"))
	if took := time.Since(at); code != protocol.SystemError || took > testTimeout/2 {
		t.Errorf("code %q after %v", code, took)
	}
	<-gone
}

func TestNothingNewGoesToAHostThatDrainsOrLeft(t *testing.T) {
	for _, state := range []string{"draining", "removed", "a state not known", "missing from a whole list"} {
		s := startSystem(t, 3, nil)
		if state == "missing from a whole list" {
			s.listLines <- fmt.Sprintf(`{"rev":2,"all":true,"targets":[%s,%s]}`, s.listEntry(0, "up"), s.listEntry(2, "up"))
			s.awaitLog(`"rev":2,`)
		} else {
			s.sendList(2, s.listEntry(1, state))
		}
		before := s.hosts[1].queryCount()
		c := s.connect()
		for range 30 {
			if code, _, _ := c.query(readCommand("list", "800", "")); code != "" {
				t.Errorf("code %s", code)
			}
		}
		if n := s.hosts[1].queryCount() - before; n != 0 {
			t.Errorf("%s: %d statements", state, n)
		}
		s.stop()
	}
}

func TestAHostIsFoundAtItsNewAddress(t *testing.T) {
	s := startSystem(t, 1, nil)
	c := s.connect()
	c.query(readCommand("list", "800", ""))
	moved := s.startHost("a")
	moved.primary = true
	s.hosts = append(s.hosts, moved)
	entry := strings.Replace(s.listEntry(0, "up"), s.hosts[0].address(), moved.address(), 1)
	s.sendList(2, entry)
	before := s.hosts[0].queryCount()
	if code, _, _ := c.query(writeCommand("order", "3000")); code != "" || moved.queryCount() != 1 || s.hosts[0].queryCount() != before {
		t.Errorf("code %q, %d at the new address", code, moved.queryCount())
	}
}

func TestAnOlderOrTornListChangesNothingAndIsAskedForAgain(t *testing.T) {
	s := startSystem(t, 3, nil)
	s.sendList(5, s.listEntry(1, "draining"))
	s.listLines <- fmt.Sprintf(`{"rev":4,"all":false,"targets":[%s]}`, s.listEntry(1, "up"))
	s.awaitLog("older than the one held")
	s.listLines <- `{"rev":6,"all":false,"targets":[{"uid":"b"}]}`
	s.awaitLog("targets[0].endpoint: missing")
	if since := s.secondWatchVersion(); since != "5" {
		t.Errorf("asked for what came after %s", since)
	}
	<-s.watchEnded // the watch that brought the fault takes no more lines
	s.sendList(6, s.listEntry(2, "draining"))
	before := s.hosts[1].queryCount() + s.hosts[2].queryCount()
	c := s.connect()
	for range 10 {
		if code, value, _ := c.query(readCommand("list", "800", "")); code != "" || value != "from a" {
			t.Errorf("%s %q", code, value)
		}
	}
	if s.hosts[1].queryCount()+s.hosts[2].queryCount() != before {
		t.Error("a host that drains was sent to")
	}
}

func TestAfterSIGTERMItServesOnAndAnswersWhatIsOut(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1, nil)
	asked, let := make(chan struct{}), make(chan struct{})
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		if strings.Contains(q, "id=1,") {
			close(asked)
			<-let
		}
		b.sendRow("late but whole", "leader")
	})
	c, idle := s.connect(), s.connect()
	c.send(writeCommand("order", "3000"))
	<-asked
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.awaitLog("stopping")
	if code, _, err := idle.query(withID(2, writeCommand("order", "3000"))); code != "" || err != nil {
		t.Errorf("after SIGTERM: %s %v", code, err)
	}
	close(let)
	if code, value, err := c.answer(); code != "" || value != "late but whole" || err != nil {
		t.Errorf("%s %q %v", code, value, err)
	}
	for { // nobody new is taken, while those who are there are still served
		conn, err := net.Dial("tcp", s.listen)
		if err != nil {
			break
		}
		conn.Close()
		time.Sleep(10 * time.Millisecond)
	}
	if code, _, err := idle.query(withID(3, writeCommand("order", "3000"))); code != "" || err != nil {
		t.Errorf("after the last has come: %s %v", code, err)
	}
	if _, err := idle.conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestKilledAndStartedAgainItServesFromTheOldList(t *testing.T) {
	s := startSystem(t, 3, nil)
	s.connect().query(writeCommand("order", "3000"))
	s.cmd.Process.Kill()
	s.cmd.Wait()
	s.discoverySilent = true // discovery is down
	s.start()
	if code, value, _ := s.connect().query(writeCommand("order", "3000")); code != "" || value != "from a" {
		t.Errorf("%s %q", code, value)
	}
}

func TestSIGHUPFollowsDiscoveryToANewAddress(t *testing.T) {
	s := startSystem(t, 2, nil)
	old := s.discovery
	s.sendList(41, s.listEntry(1, "draining"))
	asked, let := make(chan bool), make(chan bool)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		asked <- true
		<-let
		b.sendRow("x", "leader")
	})
	c := s.connect()
	c.send(writeCommand("order", "3000"))
	<-asked
	s.movedListLines = make(chan string)
	next := listen(t)
	go s.serveDiscovery(next, s.movedListLines)
	s.replaceInConfig(old, next.Addr().String())
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.awaitLog("configuration read again")
	s.movedListLines <- fmt.Sprintf(`{"rev":3,"all":true,"targets":[%s,%s]}`, s.listEntry(0, "up"), s.listEntry(1, "up"))
	s.awaitLog(`"rev":3,`)
	s.movedListLines <- fmt.Sprintf(`{"rev":4,"all":false,"targets":[%s]}`, s.listEntry(1, "draining"))
	s.awaitLog(`"rev":4,`)
	close(let)
	if code, value, err := c.answer(); code != "" || value != "x" || err != nil {
		t.Errorf("in flight meanwhile: %s %q %v", code, value, err)
	}
	<-s.watchEnded // the old address's watch
	s.movedListLines <- fmt.Sprintf(`{"rev":2,"all":false,"targets":[%s]}`, s.listEntry(1, "up"))
	s.awaitLog("older than the one held")
}

func TestAFaultyFileAtSIGHUPChangesNothing(t *testing.T) {
	s := startSystem(t, 1, nil)
	whole := s.config
	for _, wrong := range [][2]string{
		{"{", "GW_CONFIG"},
		{whole[:len(whole)/2], "GW_CONFIG"},
		{strings.Replace(whole, `"send_cap":8,"probes":true`, `"send_cap":8,"probes":"yes"`, 1), "settings.bounds.probes"},
		{strings.Replace(whole, s.discovery, "nowhere", 1), "discovery: not an address"},
	} {
		os.WriteFile(s.path, []byte(wrong[0]), 0o600)
		s.cmd.Process.Signal(syscall.SIGHUP)
		if line := s.awaitLog("the configuration stays as it was"); !strings.Contains(line, wrong[1]) {
			t.Errorf("%s is not named: %s", wrong[1], line)
		}
	}
	s.replaceInConfig(`"memory_mb":192`, `"memory_mb":64`)
	s.cmd.Process.Signal(syscall.SIGHUP)
	if line := s.awaitLog("configuration read again"); !strings.Contains(line, `"limits"`) {
		t.Errorf("what needs a restart is not named: %s", line)
	}
	s.sendList(2, s.listEntry(0, "up"))
	if code, _, _ := s.connect().query(writeCommand("order", "3000")); code != "" {
		t.Errorf("code %s", code)
	}
}

func TestSIGHUPNeverEndsTheProgramAndNeverHidesSIGTERM(t *testing.T) {
	s := startSystem(t, 1, nil)
	asked, let := make(chan bool), make(chan bool)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		asked <- true
		<-let
		b.sendRow("x", "leader")
	})
	c := s.connect()
	c.send(writeCommand("order", "3000"))
	<-asked
	for range 50 {
		s.cmd.Process.Signal(syscall.SIGHUP)
	}
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.awaitLog("stopping")
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.awaitLog("configuration read again")
	close(let)
	if code, value, err := c.answer(); code != "" || value != "x" || err != nil {
		t.Errorf("%s %q %v", code, value, err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestWhatIsWrongAtStartIsNamedInOneLine(t *testing.T) {
	taken := listen(t)
	for name, wrong := range map[string]func(map[string]any, []string) ([]string, string){
		"GW_CONFIG": func(c map[string]any, env []string) ([]string, string) { return nil, "" },
		"JSON":      func(c map[string]any, env []string) ([]string, string) { return env, "{" },
		"seed":      func(c map[string]any, env []string) ([]string, string) { c["seed"] = "x"; return env, "" },
		"limits.sockets": func(c map[string]any, env []string) ([]string, string) {
			object(c, "limits")["sockets"] = 0
			return env, ""
		},
		"settings.bounds.probes: not a bool": func(c map[string]any, env []string) ([]string, string) {
			object(c, "settings", "bounds")["probes"] = "yes"
			return env, ""
		},
		"settings.classes[0].give_up: missing": func(c map[string]any, env []string) ([]string, string) {
			delete(c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any), "give_up")
			return env, ""
		},
		"GW_LISTEN (listen): not an address": func(c map[string]any, env []string) ([]string, string) {
			return append(env, "GW_LISTEN=nowhere"), ""
		},
		"GW_DISCOVERY (discovery): missing": func(c map[string]any, env []string) ([]string, string) {
			delete(c, "discovery")
			return env, ""
		},
		"address already in use": func(c map[string]any, env []string) ([]string, string) {
			return append(env, "GW_LISTEN="+taken.Addr().String()), ""
		},
		"known.rev: missing": func(c map[string]any, env []string) ([]string, string) {
			delete(object(c, "known"), "rev")
			return env, ""
		},
	} {
		var c map[string]any
		json.Unmarshal([]byte(configuration("127.0.0.1:1", "")), &c)
		path := filepath.Join(t.TempDir(), "c.json")
		env, text := wrong(c, []string{"GW_CONFIG=" + path})
		if text == "" {
			b, _ := json.Marshal(c)
			text = string(b)
		}
		os.WriteFile(path, []byte(text), 0o600)
		if out, status := runRejected(env); status == 0 || strings.Count(out, "\n") != 1 || !strings.Contains(out, name) {
			t.Errorf("%s: status %d, %s", name, status, out)
		}
	}
}

// runRejected starts the program where it can't start, and gives what it says and its status.
func runRejected(env []string) (string, int) {
	cmd := exec.Command(binary)
	cmd.Env = env
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func TestMoreClientsThanDescriptors(t *testing.T) {
	s := startSystem(t, 1, func(c map[string]any) {
		object(c, "limits")["sockets"] = 64
		object(c, "settings")["classes"].([]any)[2].(map[string]any)["give_up"] = 20000 // those that are out stay so until the end
	})
	var silent []*testClient
	for range 24 { // all that there are
		silent = append(silent, s.connect())
	}
	for range 100 { // held open; those who ask for nothing make way first, then the idle
		if code, _, err := s.connect().query(readCommand("list", "800", "")); code != "" || err != nil {
			t.Fatalf("code %q, %v", code, err)
		}
	}
	for _, c := range silent {
		if _, _, err := c.answer(); err == nil {
			t.Fatal("a connection that asked for nothing stayed")
		}
	}
	behind := func(q string) *testClient { // the first command right behind the startup
		conn, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		conn.Write(protocol.AppendQuery(protocol.AppendStartup(nil, "svc", "main"), []byte(q)))
		return &testClient{t: t, conn: conn}
	}
	var fresh []*testClient
	for i := range 100 {
		fresh = append(fresh, behind(withID(10+i, readCommand("list", "800", ""))))
	}
	for _, c := range fresh {
		c.readGreeting()
		if _, _, err := c.answer(); err != nil {
			t.Fatalf("a first command was lost: %v", err)
		}
	}
	asked, let := make(chan bool, 99), make(chan bool)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		asked <- true
		<-let
		b.sendRow("x", "leader")
	})
	before, _ := s.counters()
	for i := range 24 { // as many as it serves; the module has no more than four out at once
		c := behind(withID(i, writeCommand("order", "20000"))) // one that asks for nothing for a while would make way
		defer c.answer()
	}
	defer close(let)
	<-asked
	ended := func(counts map[string]float64) float64 {
		return counts["answered"] + counts["failed"] + counts["refused"] + counts["left"]
	}
	shed := func(counts map[string]float64) float64 { return counts["commands_shed"] + counts["throttled"] }
	for got, since := before, time.Now(); got["taken"] < before["taken"]+24; { // what was sent may not have been read yet
		var line string
		if got, line = s.counters(); ended(got) > ended(before) || shed(got) > shed(before) || time.Since(since) > testTimeout {
			t.Fatal(line)
		}
	}
	if code, _, err := s.connect().query(withID(99, readCommand("list", "800", ""))); code != protocol.TooMany || err != nil {
		t.Errorf("with all connections busy: %q, %v", code, err)
	}
	if got, line := s.counters(); got["out"] != 24 || ended(got) != ended(before) || shed(got) != shed(before)+1 {
		t.Error("with all connections busy: ", line)
	}
}

func TestWhatIsOwedWhenTheTimeAfterSIGTERMIsUpFails(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1, nil)
	asked := make(chan bool, 9)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		asked <- true
		io.Copy(io.Discard, b.conn)
	})
	c := s.connect()
	c.send(writeCommand("order", "60000"))
	<-asked
	s.cmd.Process.Signal(syscall.SIGTERM)
	if code, _, err := c.answer(); code != protocol.SystemError || err != nil {
		t.Errorf("code %q, %v", code, err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestCommandsWrittenAheadAreAnsweredInOrderHoweverTheyAreSplit(t *testing.T) {
	s := startSystem(t, 1, nil)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		_, rest, _ := strings.Cut(q, "id=")
		id, _, _ := strings.Cut(rest, ",")
		b.sendRow(id, "leader")
	})
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var all []byte
	all = append(all, 0, 0, 0, 8, 4, 210, 22, 47) // asks for encryption
	conn.Write(all)
	if io.ReadFull(conn, all[:1]); all[0] != 'N' {
		t.Fatal("encryption is not declined")
	}
	all = protocol.AppendStartup(nil, "svc", "main")
	for i := range 5 {
		all = protocol.AppendQuery(all, []byte(withID(i, writeCommand("order", "3000"))))
	}
	all = protocol.AppendQuery(all, []byte(" ;"))
	all = protocol.AppendQuery(all, []byte("SELECT 1"))
	all = protocol.AppendQuery(all, []byte(writeCommand("nothing", "3000")))
	all = protocol.AppendQuery(all, []byte(strings.Replace(writeCommand("order", "3000"), "cluster=2", "cluster=9", 1)))
	all = append(all, 'P', 0, 0, 0, 4, 'B', 0, 0, 0, 4, 'S', 0, 0, 0, 4)
	for i := range all {
		conn.Write(all[i : i+1])
	}
	c := &testClient{t: t, conn: conn}
	c.readGreeting()
	for i := range 5 {
		if code, value, err := c.answer(); code != "" || value != fmt.Sprint(i) || err != nil {
			t.Errorf("%d: %s %q %v", i, code, value, err)
		}
	}
	if code, value, err := c.answer(); code+value != "" || err != nil {
		t.Errorf("empty query: %s %q %v", code, value, err)
	}
	for _, what := range []string{"comment", "command group", "replica set"} {
		if code, _, _ := c.answer(); code != protocol.SyntaxError {
			t.Errorf("no known %s: %s", what, code)
		}
	}
	if code, _, _ := c.answer(); code != protocol.FeatureNotSupported {
		t.Errorf("another message: %s", code)
	}
	if n := len(s.statements()); n != 5 {
		t.Errorf("%d statements at hosts", n)
	}
}

func TestASlowReaderAndAHalfMessageHoldUpNobody(t *testing.T) {
	s := startSystem(t, 1, nil)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) { b.sendRow(strings.Repeat("v", 60000), "leader") })
	slow, half, c := s.connect(), s.connect(), s.connect()
	for i := range 100 {
		go slow.conn.Write(protocol.AppendQuery(nil, []byte(withID(10+i, readCommand("list", "800", "")))))
	}
	half.conn.Write([]byte{protocol.Query, 0, 1, 0, 0, 'x'})
	for range 5 {
		if code, value, err := c.query(readCommand("list", "800", "")); code != "" || len(value) != 60000 || err != nil {
			t.Errorf("%s, %d bytes, %v", code, len(value), err)
		}
	}
	half.conn.Write([]byte{0xff})
	bad := s.connect()
	bad.conn.Write([]byte{protocol.Query, 0xff, 0xff, 0xff, 0xff})
	if code, _, _ := bad.answer(); code != protocol.ProtocolViolation {
		t.Errorf("an impossible length: %s", code)
	}
}

func TestTheCountsAgree(t *testing.T) {
	s := startSystem(t, 2, nil)
	asked := make(chan struct{}, 9)
	s.hosts[0].setOnQuery(func(b *hostConn, q string) {
		if strings.Contains(q, "id=1,") {
			b.sendRow("x", "leader")
			return
		}
		asked <- struct{}{}
		io.Copy(io.Discard, b.conn)
	})
	c, leaves := s.connect(), s.connect()
	for range 3 {
		c.query(writeCommand("order", "3000"))
	}
	c.query("SELECT without a comment")
	lost := withID(2, writeCommand("order", "200"))
	c.query(lost)
	<-asked
	leaves.send(withID(3, writeCommand("order", "3000")))
	<-asked
	leaves.conn.Close()
	for got := map[string]float64{}; got["left"] != 1; { // a client that left is seen at some time
		var line string
		if got, line = s.counters(); got["taken"] != 5 || got["answered"] != 3 || got["failed"] != 1 || got["refused"] != 1 ||
			got["out"]+got["left"] != 1 || got["hosts_held"] != 2 || got["clients_accepted"] != got["clients_open"]+
			got["clients_left"]+got["clients_made_way"]+got["clients_torn"]+got["clients_slow"]+got["clients_wild"]+
			got["clients_no_room"] {
			t.Fatal(line)
		}
	}
}

// counters is what the program counts, and the line in which it says so.
func (s *testSystem) counters() (got map[string]float64, line string) {
	s.cmd.Process.Signal(syscall.SIGUSR1)
	_, line, _ = strings.Cut(s.awaitLog(`"msg":"counts"`), "{")
	json.Unmarshal([]byte("{"+line), &got)
	return got, line
}

// What follows are the stand-ins: hosts, discovery and a client.

var binary string

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

type testSystem struct {
	t              *testing.T
	hosts          []*fakeHost
	config         string
	path           string // of its file
	env            []string
	listen         string
	cmd            *exec.Cmd
	logLines       chan string
	listLines      chan string // of discovery
	movedListLines chan string // of discovery at another address

	discovery       string
	watchVersions   chan string
	watchEnded      chan bool // a watch that its client closed
	discoverySilent bool
}

// startSystem starts hosts a (the primary), b, c..., discovery and the program.
func startSystem(t *testing.T, hosts int, change func(map[string]any)) *testSystem {
	return startPreparedSystem(t, hosts, change, func(*testSystem) {})
}

// startPreparedSystem has its hosts as the test wants them before the program can ask where they stand.
func startPreparedSystem(t *testing.T, hosts int, change func(map[string]any), ready func(*testSystem)) *testSystem {
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
		json.Unmarshal([]byte(s.config), &c)
		change(c)
		b, _ := json.Marshal(c)
		s.config = string(b)
	}
	ready(s)
	s.start()
	return s
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

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

func object(c map[string]any, path ...string) map[string]any {
	for _, p := range path {
		c = c[p].(map[string]any)
	}
	return c
}

func (s *testSystem) start() {
	s.path = filepath.Join(s.t.TempDir(), "config.json")
	os.WriteFile(s.path, []byte(s.config), 0o600)
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
	json.Unmarshal([]byte(line), &started)
	s.listen = started.Listen
}

func (s *testSystem) stop() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
	for _, h := range s.hosts {
		h.listener.Close()
		h.closeAll()
	}
}

// awaitLog waits for a line of the log.
func (s *testSystem) awaitLog(part string) string {
	for {
		select {
		case line, ok := <-s.logLines:
			if strings.Contains(line, part) {
				return line
			}
			if !ok {
				s.t.Fatalf("the program ended without saying %s", part)
			}
		case <-time.After(testTimeout):
			s.t.Fatalf("the program does not say %s", part)
		}
	}
}

func (s *testSystem) listEntry(i int, state string) string {
	h := s.hosts[i]
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"z","model":"m","pod_group":2,"state":%q,"capacity_hint":1,`+
		`"boot_ms":0,"role":%q}`, h.name, h.address(), state, h.role())
}

// sendList tells of changes, and returns when the program knows them.
func (s *testSystem) sendList(rev int, entries ...string) {
	s.listLines <- fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, rev, strings.Join(entries, ","))
	s.awaitLog(fmt.Sprintf(`"rev":%d,`, rev))
}

// replaceInConfig replaces a part of the program's file.
func (s *testSystem) replaceInConfig(old, now string) {
	s.config = strings.Replace(s.config, old, now, 1)
	os.WriteFile(s.path+".new", []byte(s.config), 0o600)
	os.Rename(s.path+".new", s.path)
}

func (s *testSystem) serveDiscovery(l net.Listener, lines <-chan string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			line, _ := bufio.NewReader(conn).ReadString('\n')
			_, since, _ := strings.Cut(line, "since=")
			s.watchVersions <- strings.Fields(since + " ")[0]
			if s.discoverySilent {
				io.Copy(io.Discard, conn)
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			left := make(chan bool)
			go func() {
				io.Copy(io.Discard, conn)
				close(left)
			}()
			for beat := time.NewTicker(time.Second); ; {
				text := ""
				select {
				case text = <-lines:
				case <-beat.C:
				case <-left:
					s.watchEnded <- true
					return
				}
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
					return
				}
			}
		}()
	}
}

// secondWatchVersion is what the second watch asked for.
func (s *testSystem) secondWatchVersion() string {
	<-s.watchVersions
	return <-s.watchVersions
}

func (s *testSystem) statements() (all []string) {
	for _, h := range s.hosts {
		h.mu.Lock()
		all = append(all, h.queries...)
		h.mu.Unlock()
	}
	return all
}

// fakeHost is a stand-in that answers every statement with its name, unless told otherwise.
type fakeHost struct {
	name     string
	listener net.Listener
	primary  bool

	mu      sync.Mutex
	queries []string
	onQuery func(b *hostConn, q string)
	lag     time.Duration
	conns   []net.Conn
}

// hostConn is one connection to a host.
type hostConn struct {
	host *fakeHost
	conn net.Conn
}

func (s *testSystem) startHost(name string) *fakeHost {
	h := &fakeHost{name: name, listener: listen(s.t)}
	go func() {
		for {
			conn, err := h.listener.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, conn)
			h.mu.Unlock()
			go h.serve(&hostConn{h, conn})
		}
	}()
	return h
}

func (h *fakeHost) serve(b *hostConn) {
	defer b.conn.Close()
	in := make([]byte, 1<<18)
	n := 0
	for greeted := false; ; {
		k, err := b.conn.Read(in[n:])
		if n += k; err != nil {
			return
		}
		if !greeted {
			if _, cut, _ := protocol.NextStartup(in[:n], 1<<10); cut > 0 {
				b.conn.Write(protocol.AppendGreeting(nil))
				n, greeted = copy(in, in[cut:n]), true
			}
		}
		for greeted {
			_, body, cut, _ := protocol.Next(in[:n], 1<<18)
			if cut == 0 {
				break
			}
			q := string(bytes.TrimRight(body, "\x00"))
			h.mu.Lock()
			reply := h.onQuery
			if !strings.HasPrefix(q, "SHOW") {
				h.queries = append(h.queries, q)
			}
			h.mu.Unlock()
			switch {
			case strings.HasPrefix(q, "SHOW"):
				b.sendRow(fmt.Sprintf("x0=%.3f,x1=%d", float64(h.position())/1000, map[bool]int{true: 1}[h.primary]), h.role())
			case reply != nil:
				reply(b, q)
			default:
				b.sendRow("from "+h.name, h.role())
			}
			n = copy(in, in[cut:n])
		}
	}
}

func (h *fakeHost) address() string { return h.listener.Addr().String() }

func (h *fakeHost) role() string {
	if h.primary {
		return "leader"
	}
	return "follower"
}

func (h *fakeHost) position() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Add(-h.lag).UnixMilli()
}

func (h *fakeHost) setLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

func (h *fakeHost) setOnQuery(reply func(b *hostConn, q string)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onQuery = reply
}

func (h *fakeHost) queryCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.queries)
}

func (h *fakeHost) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.Close()
	}
}

func message(kind byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

func rowMessages(value string) []byte {
	n := len(value)
	b := message(protocol.RowDescription, "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	b = append(b, message(protocol.DataRow, "\x00\x01"+string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})+value)...)
	return append(b, message(protocol.CommandComplete, "SELECT 1\x00")...)
}

func readyMessages(role string, position int64) []byte {
	b := message(protocol.ParameterStatus, "node_role\x00"+role+"\x00")
	b = append(b, message(protocol.ParameterStatus, fmt.Sprintf("replay_position\x00%d\x00", position))...)
	return protocol.AppendReady(b)
}

func (b *hostConn) sendRow(value, role string) {
	b.conn.Write(append(rowMessages(value), readyMessages(role, b.host.position())...))
}

func (b *hostConn) sendError(code, role string) {
	b.conn.Write(append(protocol.AppendError(nil, "ERROR", code, "no", ""), readyMessages(role, b.host.position())...))
}

type testClient struct {
	t    *testing.T
	conn net.Conn
	in   []byte
}

func (s *testSystem) connect() *testClient {
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	conn.Write(protocol.AppendStartup(nil, "svc", "main"))
	c := &testClient{t: s.t, conn: conn}
	c.readGreeting()
	return c
}

func (c *testClient) readGreeting() {
	if code, _, err := c.answer(); code != "" || err != nil {
		c.t.Fatalf("greeting: %s %v", code, err)
	}
}

func (c *testClient) send(q string) { c.conn.Write(protocol.AppendQuery(nil, []byte(q))) }

func (c *testClient) query(q string) (code, value string, err error) {
	c.send(q)
	return c.answer()
}

// answer reads up to ReadyForQuery, or to the end.
func (c *testClient) answer() (code, value string, err error) {
	b := make([]byte, 1<<17)
	for {
		kind, body, n, err := protocol.Next(c.in, 1<<20)
		if err != nil {
			return code, value, err
		}
		if n == 0 {
			k, err := c.conn.Read(b)
			if c.in = append(c.in, b[:k]...); err != nil {
				return code, value, err
			}
			continue
		}
		switch kind {
		case protocol.ErrorResponse:
			code = protocol.Code(body)
		case protocol.DataRow:
			v, _ := protocol.Value(body)
			value = string(v)
		}
		c.in = c.in[n:]
		if kind == protocol.Ready {
			return code, value, nil
		}
	}
}

func writeCommand(group, wait string) string {
	return "/* id=1,c=" + group + ",d=" + wait + `,cluster=2 */ INSERT INTO records (k, v) VALUES ('k1', '\x9f03') RETURNING v`
}

// withID gives a statement another id.
func withID(id int, q string) string {
	return strings.Replace(q, "id=1,", fmt.Sprintf("id=%d,", id), 1)
}

func readCommand(group, wait, after string) string {
	if after != "" {
		after = ",after=" + after
	}
	return "/* id=1,c=" + group + ",d=" + wait + ",cluster=2" + after + " */ SELECT v FROM records WHERE k = 'k1'"
}
