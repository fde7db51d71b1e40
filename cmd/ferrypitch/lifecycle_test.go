package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"ferrypitch/internal/router/protocol"
)

func TestGracefulShutdownAnswersCommandsInFlight(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1, nil)
	queried, release := make(chan struct{}), make(chan struct{})
	s.hosts[0].setOnQuery(func(conn *hostConn, q string) {
		if strings.Contains(q, "id=1,") {
			close(queried)
			<-release
		}
		conn.sendRow("late but complete", "leader")
	})
	c, idle := s.connect(), s.connect()
	c.send(writeCommand("order", "3000"))
	<-queried
	s.signal(syscall.SIGTERM)
	s.awaitLog("stopping")
	if code, _, err := idle.query(withID(2, writeCommand("order", "3000"))); code != "" || err != nil {
		t.Errorf("after SIGTERM: %s %v", code, err)
	}
	close(release)
	if code, value, err := c.answer(); code != "" || value != "late but complete" || err != nil {
		t.Errorf("%s %q %v", code, value, err)
	}
	for { // until no new connection is accepted; open ones are still served
		conn, err := net.Dial("tcp", s.listen)
		if err != nil {
			break
		}
		conn.Close()
		time.Sleep(10 * time.Millisecond)
	}
	if code, _, err := idle.query(withID(3, writeCommand("order", "3000"))); code != "" || err != nil {
		t.Errorf("after the listener closed: %s %v", code, err)
	}
	if _, err := idle.conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestPendingCommandsFailAtTheShutdownTimeout(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1, nil)
	queried := make(chan bool, 9)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) {
		queried <- true
		discard(conn)
	})
	c := s.connect()
	c.send(writeCommand("order", "60000"))
	<-queried
	s.signal(syscall.SIGTERM)
	if code, _, err := c.answer(); code != protocol.SystemError || err != nil {
		t.Errorf("code %q, %v", code, err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestRestartWithoutDiscoveryServesFromTheOldList(t *testing.T) {
	s := startSystem(t, 3, nil)
	_, _, _ = s.connect().query(writeCommand("order", "3000"))
	killProcess(s.cmd)
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
	queried, release := make(chan bool), make(chan bool)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) {
		queried <- true
		<-release
		conn.sendRow("x", "leader")
	})
	c := s.connect()
	c.send(writeCommand("order", "3000"))
	<-queried
	s.movedListLines = make(chan string)
	next := listen(t)
	go s.serveDiscovery(next, s.movedListLines)
	s.replaceInConfig(old, next.Addr().String())
	s.signal(syscall.SIGHUP)
	s.awaitLog("configuration read again")
	s.movedListLines <- fmt.Sprintf(`{"rev":3,"all":true,"targets":[%s,%s]}`, s.listEntry(0, "up"), s.listEntry(1, "up"))
	s.awaitLog(`"rev":3,`)
	s.movedListLines <- fmt.Sprintf(`{"rev":4,"all":false,"targets":[%s]}`, s.listEntry(1, "draining"))
	s.awaitLog(`"rev":4,`)
	close(release)
	if code, value, err := c.answer(); code != "" || value != "x" || err != nil {
		t.Errorf("the command in flight: %s %q %v", code, value, err)
	}
	<-s.watchEnded // the watch at the old address
	s.movedListLines <- fmt.Sprintf(`{"rev":2,"all":false,"targets":[%s]}`, s.listEntry(1, "up"))
	s.awaitLog("older than the one held")
}

func TestInvalidFileAtSIGHUPChangesNothing(t *testing.T) {
	s := startSystem(t, 1, nil)
	valid := s.config
	for _, invalid := range [][2]string{ // file and the key that the log names
		{"{", "GW_CONFIG"},
		{valid[:len(valid)/2], "GW_CONFIG"},
		{strings.Replace(valid, `"send_cap":8,"probes":true`, `"send_cap":8,"probes":"yes"`, 1), "settings.bounds.probes"},
		{strings.Replace(valid, s.discovery, "nowhere", 1), "discovery: not an address"},
	} {
		writeFile(t, s.path, invalid[0])
		s.signal(syscall.SIGHUP)
		if line := s.awaitLog("the configuration stays as it was"); !strings.Contains(line, invalid[1]) {
			t.Errorf("%s is not named: %s", invalid[1], line)
		}
	}
	s.replaceInConfig(`"memory_mb":192`, `"memory_mb":64`)
	s.signal(syscall.SIGHUP)
	if line := s.awaitLog("configuration read again"); !strings.Contains(line, `"limits"`) {
		t.Errorf("the section that needs a restart is not named: %s", line)
	}
	s.sendList(2, s.listEntry(0, "up"))
	if code, _, _ := s.connect().query(writeCommand("order", "3000")); code != "" {
		t.Errorf("code %s", code)
	}
}

func TestSIGHUPNeverEndsTheProgramAndNeverHidesSIGTERM(t *testing.T) {
	s := startSystem(t, 1, nil)
	queried, release := make(chan bool), make(chan bool)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) {
		queried <- true
		<-release
		conn.sendRow("x", "leader")
	})
	c := s.connect()
	c.send(writeCommand("order", "3000"))
	<-queried
	for range 50 {
		s.signal(syscall.SIGHUP)
	}
	s.signal(syscall.SIGTERM)
	s.awaitLog("stopping")
	s.signal(syscall.SIGHUP)
	s.awaitLog("configuration read again")
	close(release)
	if code, value, err := c.answer(); code != "" || value != "x" || err != nil {
		t.Errorf("%s %q %v", code, value, err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
