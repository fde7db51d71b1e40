package main

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
)

func TestStartupErrorIsOneLineThatNamesTheKey(t *testing.T) {
	occupied := listen(t)
	for name, corrupt := range map[string]func(map[string]any, []string) ([]string, string){
		"GW_CONFIG": func(map[string]any, []string) ([]string, string) { return nil, "" },
		"JSON":      func(_ map[string]any, env []string) ([]string, string) { return env, "{" },
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
		"GW_LISTEN (listen): not an address": func(_ map[string]any, env []string) ([]string, string) {
			return append(env, "GW_LISTEN=nowhere"), ""
		},
		"GW_DISCOVERY (discovery): missing": func(c map[string]any, env []string) ([]string, string) {
			delete(c, "discovery")
			return env, ""
		},
		"address already in use": func(_ map[string]any, env []string) ([]string, string) {
			return append(env, "GW_LISTEN="+occupied.Addr().String()), ""
		},
		"known.rev: missing": func(c map[string]any, env []string) ([]string, string) {
			delete(object(c, "known"), "rev")
			return env, ""
		},
	} {
		var c map[string]any
		unmarshal(t, []byte(configuration("127.0.0.1:1", "")), &c)
		path := filepath.Join(t.TempDir(), "c.json")
		env, text := corrupt(c, []string{"GW_CONFIG=" + path})
		if text == "" {
			b, _ := json.Marshal(c)
			text = string(b)
		}
		writeFile(t, path, text)
		if out, status := runRejected(env); status == 0 || strings.Count(out, "\n") != 1 || !strings.Contains(out, name) {
			t.Errorf("%s: status %d, %s", name, status, out)
		}
	}
}

func TestPreviewedSettingsAreCountedAndChangeNothing(t *testing.T) {
	s := startPreparedSystem(t, 3, func(c map[string]any) {
		b, _ := json.Marshal(c["settings"])
		var next map[string]any
		unmarshal(t, b, &next)
		next["discovery"] = "on_request"
		object(next, "bounds")["retry_after"] = false
		rules := object(next, "rules")
		rules["ask_within"], rules["drain_binds_alone"] = 10000, true
		next["family_info"].(map[string]any)["class_read"] = []string{"eventual", "causal", "mutate"}
		c["next_settings"] = next
	}, func(s *testSystem) {
		for _, h := range s.hosts[1:] {
			h.setLag(10_000_000_000) // beyond the staleness bound: with the current settings each read tries a replica, then the primary
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
		t.Error("a command went to a host that only the previewed settings would use")
	}
}

func TestInvalidNewerSettingIsNamed(t *testing.T) {
	for _, invalid := range []struct{ path, key, value, message string }{
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
		unmarshal(t, []byte(configuration("127.0.0.1:1", "")), &c)
		section := c
		if invalid.path != "" {
			section = object(c, strings.Split(invalid.path, ".")...)
		}
		section[invalid.key] = json.RawMessage(invalid.value)
		text, _ := json.Marshal(c)
		path := filepath.Join(t.TempDir(), "c.json")
		writeFile(t, path, string(text))
		out, code := runRejected([]string{"GW_CONFIG=" + path})
		if code != 2 || strings.Count(out, "\n") != 1 || !strings.Contains(out, invalid.message) {
			t.Errorf("%s.%s = %s: status %d, %s", invalid.path, invalid.key, invalid.value, code, out)
		}
	}
}
