package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"ferrypitch/internal/router/protocol"
)

func TestWriteAndReadAreForwarded(t *testing.T) {
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
		deadline, after, _ := strings.Cut(rest, ",")
		if ms, err := strconv.Atoi(deadline); err != nil || ms < 1 || ms > 3000 || before+",d=,"+after != want {
			t.Errorf("forwarded as %s", got)
		}
	}
}

func TestLongValuesAreForwardedAndCancelRequestsClosed(t *testing.T) {
	s := startSystem(t, 1, nil)
	big := strings.Repeat("v", 1<<16)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) { conn.sendRow(big, "leader") })
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
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a cancel request: %v", err)
	}
}

func TestSessionReadWaitsForItsPosition(t *testing.T) {
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

func TestPositionOfTheFutureIsIgnored(t *testing.T) {
	s := startSystem(t, 2, nil)
	s.hosts[1].setLag(-10 * time.Minute) // in every probe result and answer
	// Until a host has been probed for the first time, a read may be sent to it as a trial whatever its position is.
	probes := 0.0
	for probes < 2 {
		got, _ := s.counters()
		probes = got["probes"]
	}
	c := s.connect()
	for range 30 {
		after := strconv.FormatInt(time.Now().UnixMilli(), 10)
		if code, value, _ := c.query(readCommand("own", "800", after)); code != "" || value != "from a" {
			t.Errorf("%s %q", code, value)
		}
	}
}

func TestIDOfAnOpenCommandIsRejected(t *testing.T) {
	s := startSystem(t, 1, nil)
	queried, release := make(chan bool, 9), make(chan bool)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) {
		queried <- true
		<-release
		conn.sendRow("first", "leader")
	})
	c, other := s.connect(), s.connect()
	c.send(writeCommand("order", "3000"))
	<-queried
	if code, _, _ := other.query(writeCommand("order", "3000")); code != protocol.SyntaxError {
		t.Errorf("the second ends with %q", code)
	}
	close(release)
	if code, value, _ := c.answer(); code != "" || value != "first" || len(s.statements()) != 1 {
		t.Errorf("the first: %s %q, %d statements", code, value, len(s.statements()))
	}
}

func TestStatementThatItsGroupDoesNotHaveIsRejected(t *testing.T) {
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

func TestInvalidAnswerIsRetriedElsewhereAndIgnored(t *testing.T) {
	s := startSystem(t, 2, nil)
	invalid := func(conn *hostConn, _ string) { // claims to be the primary and up to date
		conn.Write(append(rowMessages("invalid")[:27], readyMessages("leader", time.Now().UnixMilli())...))
	}
	s.hosts[1].setOnQuery(invalid)
	c := s.connect()
	for range 20 {
		if code, value, _ := c.query(readCommand("list", "800", "")); code != "" || value != "from a" {
			t.Errorf("a read: %s %q", code, value)
		}
	}
	if s.hosts[1].queryCount() == 0 {
		t.Error("no command was sent to the host with invalid answers")
	}
	if code, value, _ := c.query(writeCommand("order", "3000")); code != "" || value != "from a" {
		t.Errorf("a write: %s %q", code, value)
	}
	s.hosts[0].setOnQuery(invalid)
	before := len(s.statements())
	if code, _, _ := c.query(writeCommand("order", "3000")); code != protocol.SystemError || len(s.statements()) != before+1 {
		t.Errorf("a write with an invalid answer: %s, sent %d times", code, len(s.statements())-before)
	}
}

func TestReadOnlyErrorIsRetriedOnAnotherHost(t *testing.T) {
	s := startSystem(t, 3, nil)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) { conn.sendError(protocol.ReadOnlyTransaction, "follower") })
	s.hosts[1].setOnQuery(func(conn *hostConn, _ string) { conn.sendRow("from b", "leader") })
	if code, value, _ := s.connect().query(writeCommand("order", "3000")); code != "" || value != "from b" {
		t.Errorf("%s %q", code, value)
	}
}

func TestMutatingCommandThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, reply := range map[string]func(*hostConn){
		"the connection breaks": func(conn *hostConn) { conn.Close() },
		"the row is incomplete": func(conn *hostConn) { conn.Write(rowMessages("x")[:20]); conn.Close() },
		"there are two rows": func(conn *hostConn) {
			conn.Write(protocol.AppendReadyForQuery(append(rowMessages("x"), rowMessages("y")...)))
		},
		"there is an error":         func(conn *hostConn) { conn.sendError("XX000", "leader") },
		"the error code is unknown": func(conn *hostConn) { conn.sendError("99999", "leader") },
	} {
		s := startSystem(t, 3, nil)
		for _, h := range s.hosts {
			h.setOnQuery(func(conn *hostConn, _ string) { reply(conn) })
		}
		code, _, _ := s.connect().query(writeCommand("order", "3000"))
		if code == "" || code == protocol.TooManyConnections || code == protocol.CannotConnectNow || len(s.statements()) != 1 {
			t.Errorf("%s: code %q after %d statements", name, code, len(s.statements()))
		}
		s.stop()
	}
}

func TestUnreachableHostFailsNoCommand(t *testing.T) {
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

func TestSilentHostTimesOut(t *testing.T) {
	s := startSystem(t, 1, nil)
	disconnected := make(chan struct{}, 9)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) {
		discard(conn) // until the router closes the connection
		disconnected <- struct{}{}
	})
	at := time.Now()
	code, _, _ := s.connect().query(writeCommand("order", "400"))
	if took := time.Since(at); code != protocol.SystemError || took > testTimeout/2 {
		t.Errorf("code %q after %v", code, took)
	}
	<-disconnected
}

// expectEncryptionDeclined sends an SSLRequest, as a client may before its startup message, and expects that encryption is declined.
func expectEncryptionDeclined(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.Write([]byte{0, 0, 0, 8, 4, 210, 22, 47}) // SSLRequest
	answer := make([]byte, 1)
	if _, err := io.ReadFull(conn, answer); err != nil || answer[0] != protocol.EncryptionDeclined {
		t.Fatalf("encryption is not declined: %q, %v", answer, err)
	}
}

func TestPipelinedCommandsAreAnsweredInOrderHoweverTheyAreSplit(t *testing.T) {
	s := startSystem(t, 1, nil)
	s.hosts[0].setOnQuery(func(conn *hostConn, q string) {
		_, rest, _ := strings.Cut(q, "id=")
		id, _, _ := strings.Cut(rest, ",")
		conn.sendRow(id, "leader")
	})
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	expectEncryptionDeclined(t, conn)
	all := protocol.AppendStartup(nil, "svc", "main")
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
	for _, missing := range []string{"comment", "command group", "replica set"} {
		if code, _, _ := c.answer(); code != protocol.SyntaxError {
			t.Errorf("unknown or missing %s: %s", missing, code)
		}
	}
	if code, _, _ := c.answer(); code != protocol.FeatureNotSupported {
		t.Errorf("an unsupported message: %s", code)
	}
	if n := len(s.statements()); n != 5 {
		t.Errorf("%d statements at hosts", n)
	}
}

func TestSlowReaderAndPartialMessageDelayNobody(t *testing.T) {
	s := startSystem(t, 1, nil)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) { conn.sendRow(strings.Repeat("v", 60000), "leader") })
	slow, partial, c := s.connect(), s.connect(), s.connect()
	for i := range 100 {
		go slow.conn.Write(protocol.AppendQuery(nil, []byte(withID(10+i, readCommand("list", "800", "")))))
	}
	partial.conn.Write([]byte{protocol.Query, 0, 1, 0, 0, 'x'})
	for range 5 {
		if code, value, err := c.query(readCommand("list", "800", "")); code != "" || len(value) != 60000 || err != nil {
			t.Errorf("%s, %d bytes, %v", code, len(value), err)
		}
	}
	partial.conn.Write([]byte{0xff})
	bad := s.connect()
	bad.conn.Write([]byte{protocol.Query, 0xff, 0xff, 0xff, 0xff})
	if code, _, _ := bad.answer(); code != protocol.ProtocolViolation {
		t.Errorf("an invalid length: %s", code)
	}
}

func TestCountersAgree(t *testing.T) {
	s := startSystem(t, 2, nil)
	queried := make(chan struct{}, 9)
	s.hosts[0].setOnQuery(func(conn *hostConn, q string) {
		if strings.Contains(q, "id=1,") {
			conn.sendRow("x", "leader")
			return
		}
		queried <- struct{}{}
		discard(conn)
	})
	c, leaving := s.connect(), s.connect()
	for range 3 {
		_, _, _ = c.query(writeCommand("order", "3000"))
	}
	_, _, _ = c.query("SELECT without a comment")
	timesOut := withID(2, writeCommand("order", "200"))
	_, _, _ = c.query(timesOut)
	<-queried
	leaving.send(withID(3, writeCommand("order", "3000")))
	<-queried
	leaving.conn.Close()
	for got := map[string]float64{}; got["left"] != 1; { // the disconnection is detected with a delay
		var line string
		if got, line = s.counters(); got["taken"] != 5 || got["answered"] != 3 || got["failed"] != 1 || got["refused"] != 1 ||
			got["out"]+got["left"] != 1 || got["hosts_held"] != 2 || got["clients_accepted"] != got["clients_open"]+
			got["clients_left"]+got["clients_made_way"]+got["clients_torn"]+got["clients_slow"]+got["clients_wild"]+
			got["clients_no_room"] {
			t.Fatal(line)
		}
	}
}

func TestContradictoryRolesAndAnswersWithoutAField(t *testing.T) {
	s := startSystem(t, 3, nil)
	for _, h := range s.hosts {
		h.setOnQuery(func(conn *hostConn, q string) {
			switch inserts := strings.Contains(q, "INSERT"); {
			case inserts && !h.primary:
				conn.sendError("25006", "follower")
			case h.primary: // without position and role
				conn.Write(protocol.AppendReadyForQuery(rowMessages("from " + h.name)))
			default:
				conn.sendRow("from "+h.name, "follower")
			}
		})
	}
	entryWithRole := func(i int, role string) string {
		entry := s.listEntry(i, "up")
		return strings.Replace(strings.Replace(entry, `"leader"`, `"?"`, 1), `"role":"`+s.hosts[i].role()+`"`, `"role":"`+role+`"`, 1)
	}
	c := s.connect()
	for rev, entries := range [][]string{
		{entryWithRole(0, "follower"), entryWithRole(1, "follower"), entryWithRole(2, "leader")}, // contradicts answers and probes
		{entryWithRole(0, "follower"), entryWithRole(1, "follower"), entryWithRole(2, "follower")},
	} {
		s.sendList(rev+2, entries...)
		for range 5 {
			if code, value, _ := c.query(writeCommand("order", "3000")); code != "" || value != "from a" {
				t.Errorf("list %d: write: %s %q", rev+2, code, value)
			}
			if code, value, _ := c.query(readCommand("list", "800", "")); code != "" || !strings.HasPrefix(value, "from ") {
				t.Errorf("list %d: read: %s %q", rev+2, code, value)
			}
		}
	}
}
