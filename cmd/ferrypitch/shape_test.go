package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ferrypitch/internal/router/protocol"
)

// awaitCounters holds commands against the program until its counters are as wanted.
func (s *testSystem) awaitCounters(wanted func(map[string]float64) bool) {
	for got, line := s.counters(); !wanted(got); got, line = s.counters() {
		if got["taken"] > 5000 {
			s.t.Fatal(line)
		}
		s.connect().query(readCommand("list", "800", ""))
	}
}

func TestSettingsThatAreWatchedAreCountedAndChangeNothing(t *testing.T) {
	s := startPreparedSystem(t, 3, func(c map[string]any) {
		b, _ := json.Marshal(c["settings"])
		var next map[string]any
		json.Unmarshal(b, &next)
		next["discovery"] = "on_request"
		object(next, "bounds")["retry_after"] = false
		rules := object(next, "rules")
		rules["ask_within"], rules["drain_binds_alone"] = 10000, true
		next["family_info"].(map[string]any)["class_read"] = []string{"eventual", "causal", "mutate"}
		c["next_settings"] = next
	}, func(s *testSystem) {
		for _, h := range s.hosts[1:] {
			h.setLag(10_000_000_000) // past the bound: today each read asks one, then goes to the primary
		}
	})
	c := s.connect()
	for range 10 {
		if code, value, _ := c.query(readCommand("list", "800", "")); code != "" || value != "from a" {
			t.Errorf("%s %q", code, value)
		}
	}
	s.sendList(2, s.listEntry(2, "removed"))
	s.awaitCounters(func(got map[string]float64) bool {
		return got["next_compared"] >= 10 && got["next_sent"] >= 10 && got["next_gone"] == 1 && got["next_lists"] >= 1 &&
			got["list_asks"] == 0 && got["answered"] == got["taken"]
	})
	if s.hosts[2].queryCount() > 0 {
		t.Error("a host that only the watched settings would use was sent to")
	}
}

func listOnRequest(ms int) func(map[string]any) {
	return func(c map[string]any) {
		object(c, "settings")["discovery"] = "on_request"
		object(c, "settings", "rules")["ask_within"] = ms
	}
}

func TestAListOnRequestIsAskedForAgainAfterARefusal(t *testing.T) {
	s := startSystem(t, 2, listOnRequest(400))
	s.sendList(2, s.listEntry(1, "draining"))
	s.listLines <- `{"rev":3,"all":false,"targets":[{"uid":"b"}]}` // a fault ends the watch
	s.awaitLog("the watch of the list ended")
	if since := s.secondWatchVersion(); since != "2" {
		t.Errorf("asked for what came after %s", since)
	}
	s.sendList(3, s.listEntry(1, "up"))
	s.awaitCounters(func(got map[string]float64) bool { return got["list_asks"] == 2 && got["list_asks_failed"] == 1 })
}

func TestAListThatCallsAllGoneWhereOnlyADrainBindsServesOn(t *testing.T) {
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
		s.connect().query(writeCommand("order", "500"))
	}
	if s.hosts[0].queryCount() != before {
		t.Error("a host that drains was sent to")
	}
}

func TestASettingOfTheNewShapeThatIsWrongIsNamed(t *testing.T) {
	for _, wrong := range []struct{ path, key, value, says string }{
		{"settings", "discovery", `"sometimes"`, "settings.discovery: none of"},
		{"settings", "discovery", `7`, "settings.discovery: not a text"},
		{"settings", "discovery", `"on_request"`, "settings.rules.ask_within: not over 0"},
		{"settings.rules", "ask_within", `-1`, "settings.rules.ask_within: less than 0"},
		{"settings.rules", "drain_binds_alone", `"yes"`, "settings.rules.drain_binds_alone: not a bool"},
		{"settings.family_info", "guards", `"perhaps"`, "settings.family_info.guards: none of"},
		{"settings.family_info", "wait", `100`, "settings.family_info.wait: there is nothing to wait for"},
		{"settings.family_info", "wait", `-5`, "settings.family_info.wait: less than 0"},
		{"settings.bounds", "streams_per_conn", `-8`, "settings.bounds.streams_per_conn: less than 0"},
		{"", "next_settings", `{"rules":{}}`, "next_settings"},
		{"", "next_settings", `7`, "next_settings: not an object"},
	} {
		var c map[string]any
		json.Unmarshal([]byte(configuration("127.0.0.1:1", "")), &c)
		at := c
		if wrong.path != "" {
			at = object(c, strings.Split(wrong.path, ".")...)
		}
		at[wrong.key] = json.RawMessage(wrong.value)
		text, _ := json.Marshal(c)
		path := filepath.Join(t.TempDir(), "c.json")
		os.WriteFile(path, text, 0o600)
		out, code := runRejected([]string{"GW_CONFIG=" + path})
		if code != 2 || strings.Count(out, "\n") != 1 || !strings.Contains(out, wrong.says) {
			t.Errorf("%s.%s = %s: status %d, %s", wrong.path, wrong.key, wrong.value, code, out)
		}
	}
}

func TestRolesThatDisagreeAndAnswersThatLackAField(t *testing.T) {
	s := startSystem(t, 3, nil)
	for _, h := range s.hosts {
		h.setOnQuery(func(b *hostConn, q string) {
			switch inserts := strings.Contains(q, "INSERT"); {
			case inserts && !h.primary:
				b.sendError("25006", "follower")
			case h.primary: // neither position nor role
				b.conn.Write(protocol.AppendReady(rowMessages("from " + h.name)))
			default:
				b.sendRow("from "+h.name, "follower")
			}
		})
	}
	lie := func(i int, role string) string {
		entry := s.listEntry(i, "up")
		return strings.Replace(strings.Replace(entry, `"leader"`, `"?"`, 1), `"role":"`+s.hosts[i].role()+`"`, `"role":"`+role+`"`, 1)
	}
	c := s.connect()
	for rev, entries := range [][]string{
		{lie(0, "follower"), lie(1, "follower"), lie(2, "leader")}, // not what answers and reports say
		{lie(0, "follower"), lie(1, "follower"), lie(2, "follower")},
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

func TestAListCallThatIsNeverAnsweredIsMadeAgain(t *testing.T) {
	s := startSystem(t, 1, listOnRequest(20000)) // asked for within 5 s
	s.discoverySilent = true
	if code, value, _ := s.connect().query(writeCommand("order", "3000")); code != "" || value != "from a" {
		t.Errorf("with no list since the start: %s %q", code, value)
	}
	s.secondWatchVersion() // the second call, once the first had no answer for as long as discovery may be quiet
	s.awaitCounters(func(got map[string]float64) bool { return got["list_asks"] >= 2 && got["list_asks_failed"] >= 1 })
}
