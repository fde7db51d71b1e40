package main

import (
	"fmt"
	"strings"
	"testing"
)

func TestDrainingAndRemovedHostsGetNothingNew(t *testing.T) {
	for _, state := range []string{"draining", "removed", "an unknown state", "missing from a full list"} {
		s := startSystem(t, 3, nil)
		if state == "missing from a full list" {
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

func TestHostIsReachedAtItsNewAddress(t *testing.T) {
	s := startSystem(t, 1, nil)
	c := s.connect()
	_, _, _ = c.query(readCommand("list", "800", ""))
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

func TestOlderOrInvalidListIsIgnoredAndRequestedAgain(t *testing.T) {
	s := startSystem(t, 3, nil)
	s.sendList(5, s.listEntry(1, "draining"))
	s.listLines <- fmt.Sprintf(`{"rev":4,"all":false,"targets":[%s]}`, s.listEntry(1, "up"))
	s.awaitLog("older than the one held")
	s.listLines <- `{"rev":6,"all":false,"targets":[{"uid":"b"}]}`
	s.awaitLog("targets[0].endpoint: missing")
	if since := s.secondWatchVersion(); since != "5" {
		t.Errorf("the second watch starts after version %s", since)
	}
	<-s.watchEnded // the watch that received the invalid list reads no more lines
	s.sendList(6, s.listEntry(2, "draining"))
	before := s.hosts[1].queryCount() + s.hosts[2].queryCount()
	c := s.connect()
	for range 10 {
		if code, value, _ := c.query(readCommand("list", "800", "")); code != "" || value != "from a" {
			t.Errorf("%s %q", code, value)
		}
	}
	if s.hosts[1].queryCount()+s.hosts[2].queryCount() != before {
		t.Error("a draining host received a command")
	}
}

// listOnRequest returns a change of the configuration that requests host lists on demand, within ms milliseconds.
func listOnRequest(ms int) func(map[string]any) {
	return func(c map[string]any) {
		object(c, "settings")["discovery"] = "on_request"
		object(c, "settings", "rules")["ask_within"] = ms
	}
}

func TestListOnRequestIsRequestedAgainAfterAFault(t *testing.T) {
	s := startSystem(t, 2, listOnRequest(400))
	s.sendList(2, s.listEntry(1, "draining"))
	s.listLines <- `{"rev":3,"all":false,"targets":[{"uid":"b"}]}` // an invalid entry ends the watch
	s.awaitLog("the watch of the list ended")
	if since := s.secondWatchVersion(); since != "2" {
		t.Errorf("the second watch starts after version %s", since)
	}
	s.sendList(3, s.listEntry(1, "up"))
	s.awaitCounters(func(got map[string]float64) bool { return got["list_asks"] == 2 && got["list_asks_failed"] == 1 })
}

func TestListWithoutHostsIsIgnoredWhereOnlyADrainBinds(t *testing.T) {
	s := startSystem(t, 2, func(c map[string]any) {
		object(c, "settings", "rules")["drain_binds_alone"] = true
	})
	s.sendList(2, s.listEntry(0, "removed"), s.listEntry(1, "removed"))
	s.listLines <- `{"rev":3,"all":true,"targets":[]}`
	s.awaitLog(`"rev":3,`)
	for range 5 {
		if code, value, _ := s.connect().query(writeCommand("order", "3000")); code != "" || value != "from a" {
			t.Errorf("%s %q", code, value)
		}
	}
	s.sendList(4, s.listEntry(0, "draining"))
	before := s.hosts[0].queryCount()
	for range 5 {
		_, _, _ = s.connect().query(writeCommand("order", "500"))
	}
	if s.hosts[0].queryCount() != before {
		t.Error("a draining host received a command")
	}
}

func TestListRequestWithoutAnAnswerIsRetried(t *testing.T) {
	s := startSystem(t, 1, listOnRequest(20000)) // the list is requested within 5 s
	s.discoverySilent = true
	if code, value, _ := s.connect().query(writeCommand("order", "3000")); code != "" || value != "from a" {
		t.Errorf("without any list since the start: %s %q", code, value)
	}
	s.secondWatchVersion() // the second request, after the first had no answer for the silence timeout of discovery
	s.awaitCounters(func(got map[string]float64) bool { return got["list_asks"] >= 2 && got["list_asks_failed"] >= 1 })
}
