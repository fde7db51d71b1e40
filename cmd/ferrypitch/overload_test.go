package main

import (
	"net"
	"testing"
	"time"

	"ferrypitch/internal/router/protocol"
)

// connectWith connects a client that sends its first command directly after its startup message, without reading the greeting.
func (s *testSystem) connectWith(command string) *testClient {
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	conn.Write(protocol.AppendQuery(protocol.AppendStartup(nil, "svc", "main"), []byte(command)))
	return &testClient{t: s.t, conn: conn}
}

// endedCommands returns the number of commands that were answered, failed or rejected, or whose client disconnected.
func endedCommands(counters map[string]float64) float64 {
	return counters["answered"] + counters["failed"] + counters["refused"] + counters["left"]
}

// shedCommands returns the number of commands that were shed or throttled.
func shedCommands(counters map[string]float64) float64 {
	return counters["commands_shed"] + counters["throttled"]
}

// awaitTaken waits until more commands have been taken since before. It fails if a command ends or is shed meanwhile.
func (s *testSystem) awaitTaken(before map[string]float64, more float64) {
	for got, since := before, time.Now(); got["taken"] < before["taken"]+more; {
		var line string
		if got, line = s.counters(); endedCommands(got) > endedCommands(before) || shedCommands(got) > shedCommands(before) ||
			time.Since(since) > testTimeout {
			s.t.Fatal(line)
		}
	}
}

// startWithFewDescriptors starts the program with enough file descriptors for 24 clients only.
func startWithFewDescriptors(t *testing.T) *testSystem {
	return startSystem(t, 1, func(c map[string]any) {
		object(c, "limits")["sockets"] = 64
		object(c, "settings")["classes"].([]any)[2].(map[string]any)["give_up"] = 20000 // keeps commands in flight until the end of the test
	})
}

func TestMoreClientsThanDescriptors(t *testing.T) {
	s := startWithFewDescriptors(t)
	var silent []*testClient
	for range 24 {
		silent = append(silent, s.connect())
	}
	for range 100 { // kept open; clients that never sent a command are evicted first, then idle ones
		if code, _, err := s.connect().query(readCommand("list", "800", "")); code != "" || err != nil {
			t.Fatalf("code %q, %v", code, err)
		}
	}
	for _, c := range silent {
		if _, _, err := c.answer(); err == nil {
			t.Fatal("a connection without a command was not evicted")
		}
	}
	var fresh []*testClient
	for i := range 100 {
		fresh = append(fresh, s.connectWith(withID(10+i, readCommand("list", "800", ""))))
	}
	for _, c := range fresh {
		c.readGreeting()
		if _, _, err := c.answer(); err != nil {
			t.Fatalf("a first command was lost: %v", err)
		}
	}
	s.expectShedWithAllBusy()
}

// expectShedWithAllBusy occupies all connections with commands in flight, and expects one more command to be throttled.
func (s *testSystem) expectShedWithAllBusy() {
	queried, release := make(chan bool, 99), make(chan bool)
	s.hosts[0].setOnQuery(func(conn *hostConn, _ string) {
		queried <- true
		<-release
		conn.sendRow("x", "leader")
	})
	before, _ := s.counters()
	for i := range 24 { // the policy keeps at most four in flight at once
		c := s.connectWith(withID(i, writeCommand("order", "20000"))) // a client without a command would be evicted
		defer func() { _, _, _ = c.answer() }()
	}
	defer close(release)
	<-queried
	s.awaitTaken(before, 24)
	if code, _, err := s.connect().query(withID(99, readCommand("list", "800", ""))); code != protocol.TooManyConnections || err != nil {
		s.t.Errorf("with all connections busy: %q, %v", code, err)
	}
	got, line := s.counters()
	if got["out"] != 24 || endedCommands(got) != endedCommands(before) || shedCommands(got) != shedCommands(before)+1 {
		s.t.Error("with all connections busy: ", line)
	}
}
