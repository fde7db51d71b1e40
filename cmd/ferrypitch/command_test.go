package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"ferrypitch/internal/simulation/tierfleet"
)

// writeExample writes the repository's example with free addresses and a key, changed as a test wants.
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
	for _, at := range []func(string){
		func(a string) { all["listen"] = a }, func(a string) { all["plan"].(map[string]any)["listen"] = a },
		func(a string) { all["discovery"] = a },
	} {
		a, err := tierfleet.Free()
		if err != nil {
			t.Fatal(err)
		}
		at(a)
	}
	if change != nil {
		change(all)
	}
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "example.key"), []byte(strings.Repeat("0f", 32)), 0o600)
	text, _ = json.Marshal(all)
	path := filepath.Join(dir, "example.json")
	os.WriteFile(path, text, 0o600)
	return path
}

// runBinary runs a sub-command to its end.
func runBinary(args ...string) (out string, status int) {
	var b bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = &b, &b
	cmd.Run()
	return b.String(), cmd.ProcessState.ExitCode()
}

func TestTheExampleIsGoodForAllSubCommands(t *testing.T) {
	if out, status := runBinary("check", writeExample(t, nil)); status != 0 || !strings.Contains(out, "[serve forward plan]") {
		t.Errorf("%d: %s", status, out)
	}
	if out, status := runBinary("check", "--json", writeExample(t, func(all map[string]any) { delete(all, "plan") })); status != 0 ||
		!strings.Contains(out, `"serves":["serve","forward"]`) {
		t.Errorf("%d: %s", status, out)
	}
}

func TestAFaultNamesItsKeyInOneLineWithStatusTwo(t *testing.T) {
	section := func(name string) func(map[string]any) map[string]any {
		return func(all map[string]any) map[string]any { return all[name].(map[string]any) }
	}
	forward, plan, settings := section("forward"), section("plan"), section("settings")
	for key, change := range map[string]func(map[string]any){
		"settings.bounds: missing":                 func(all map[string]any) { delete(settings(all), "bounds") },
		"forward.planners: missing":                func(all map[string]any) { delete(forward(all), "planners") },
		"forward.planners[0]: ":                    func(all map[string]any) { forward(all)["planners"] = []string{"planner"} },
		"forward.planner: not a key that is known": func(all map[string]any) { forward(all)["planner"] = 1 },
		"plan.beat_ms: ":                           func(all map[string]any) { plan(all)["beat_ms"] = 1 },
		"plan.key_file: ":                          func(all map[string]any) { plan(all)["key_file"] = "other.key" },
		"settings.classes[1].effect: ":             func(all map[string]any) { settings(all)["classes"].([]any)[1].(map[string]any)["effect"] = "x" },
		"limits.memory_mb: less than 32":           func(all map[string]any) { all["limits"].(map[string]any)["memory_mb"] = 16 },
		"seed: ":                                   func(all map[string]any) { all["seed"] = "not hexadecimal" },
	} {
		path := writeExample(t, change)
		out, status := runBinary("check", path)
		if status != 2 || !strings.HasPrefix(out, "ferrypitch: "+path+": "+key) || strings.Count(out, "\n") != 1 {
			t.Errorf("%s: status %d, %q", key, status, out)
		}
	}
	path := writeExample(t, nil)
	os.WriteFile(path, []byte("{\n\"name\": \"f1\",\n}"), 0o600)
	if out, status := runBinary("check", path); status != 2 || !strings.Contains(out, "line 3") {
		t.Errorf("%d: %s", status, out)
	}
	os.Chmod(filepath.Join(filepath.Dir(path), "example.key"), 0o644)
	for _, args := range [][]string{{"check"}, {"nonsense"}, {"forward", writeExample(t, func(all map[string]any) { delete(all, "forward") })}} {
		if out, status := runBinary(args...); status != 2 || out == "" {
			t.Errorf("%v: %d %s", args, status, out)
		}
	}
}

func TestAKeyThatOthersMayReadIsRefusedAndANewOneIsNot(t *testing.T) {
	path := writeExample(t, nil)
	key := filepath.Join(filepath.Dir(path), "example.key")
	os.Chmod(key, 0o644)
	if out, status := runBinary("check", path); status != 2 || !strings.Contains(out, "others than its owner may read it") {
		t.Errorf("%d: %s", status, out)
	}
	os.Remove(key)
	if out, status := runBinary("key", key); status != 0 {
		t.Errorf("%d: %s", status, out)
	}
	if out, status := runBinary("check", path); status != 0 {
		t.Errorf("%d: %s", status, out)
	}
	if _, status := runBinary("key", key); status == 0 {
		t.Error("a key is written over")
	}
}

func TestHelpListsSubCommandsAndTheEnvironment(t *testing.T) {
	out, status := runBinary("--help")
	for _, word := range []string{"forward", "plan", "check", "serve", "GW_CONFIG", "GW_LISTEN"} {
		if !strings.Contains(out, word) {
			t.Errorf("no %s", word)
		}
	}
	if status != 0 {
		t.Errorf("status %d", status)
	}
}

// startBinary starts a sub-command that goes on until the test ends.
func startBinary(t *testing.T, args ...string) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Stderr = &logWriter{t: t}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v: %v", args, err)
		}
	})
}

type logWriter struct{ t *testing.T }

func (l *logWriter) Write(b []byte) (int, error) { l.t.Logf("%s", b); return len(b), nil }

func TestTheExampleStartsAndAPgxClientIsServed(t *testing.T) {
	f, err := tierfleet.New(t.TempDir(), 1, 3, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	listen := ""
	path := writeExample(t, func(all map[string]any) {
		all["discovery"] = f.Discovery.Address()
		all["forward"].(map[string]any)["planners"] = []any{all["plan"].(map[string]any)["listen"]}
		delete(all, "known")
		listen = all["listen"].(string)
	})
	startBinary(t, "plan", path)
	startBinary(t, "forward", path)
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	if err := tierfleet.Ready(ctx, listen); err != nil {
		t.Fatal(err)
	}
	host, port, _ := net.SplitHostPort(listen)
	client, err := pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=svc dbname=main sslmode=disable default_query_exec_mode=simple_protocol", host, port))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close(ctx)
	var value []byte
	write := `/* id=w1,c=order,d=2000,cluster=1 */ INSERT INTO records (k, v) VALUES ('s', '\x9f03') RETURNING v`
	if err := client.QueryRow(ctx, write).Scan(&value); err != nil || !bytes.HasPrefix(value, []byte("set1-a w1")) {
		t.Errorf("%q %v", value, err)
	}
	read := fmt.Sprintf(`/* id=r1,c=own,d=900,cluster=1,after=%d */ SELECT v FROM records WHERE k = 's'`, time.Now().UnixMilli())
	if err := client.QueryRow(ctx, read).Scan(&value); err != nil || !bytes.HasSuffix(value, []byte(" r1")) {
		t.Errorf("%q %v", value, err)
	}
	var refused *pgconn.PgError
	if err := client.QueryRow(ctx, "SELECT 2").Scan(&value); !errors.As(err, &refused) || refused.Code != "42601" {
		t.Errorf("what is no command: %v", err)
	}
	if f.Hosts.Seen().Broken() > 0 {
		t.Errorf("%+v", f.Hosts.Seen())
	}
}

func TestAForwarderThatRestartsWithoutPlannersServesFromTheViewItKept(t *testing.T) {
	f, err := tierfleet.New(t.TempDir(), 1, 2, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	listen := ""
	path := writeExample(t, func(all map[string]any) {
		all["discovery"], listen = f.Discovery.Address(), all["listen"].(string)
		forward := all["forward"].(map[string]any)
		forward["planners"], forward["keep"] = []any{all["plan"].(map[string]any)["listen"]}, "view"
		delete(all, "known")
	})
	start := func(command string) *exec.Cmd {
		cmd := exec.Command(binary, command, path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		return cmd
	}
	planner, forwarder := start("plan"), start("forward")
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	if err := tierfleet.Ready(ctx, listen); err != nil {
		t.Fatal(err)
	}
	for kept := filepath.Join(filepath.Dir(path), "view"); ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if _, err := os.Stat(kept); err == nil {
			break
		}
	}
	for _, cmd := range []*exec.Cmd{planner, forwarder} {
		cmd.Process.Kill()
		cmd.Wait()
	}
	startBinary(t, "forward", path)
	if err := tierfleet.Ready(ctx, listen); err != nil {
		t.Errorf("with no planner: %v", err)
	}
}

func TestAForwarderWithoutPlannersServesFromTheListItIsGivenOrSaysThatItIsNotReady(t *testing.T) {
	f, err := tierfleet.New(t.TempDir(), 1, 2, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	var targets []any
	for _, h := range f.Hosts.Hosts() {
		targets = append(targets, map[string]any{"uid": h.Name, "endpoint": h.Address(), "pod_group": 1, "state": "up", "capacity_hint": 1})
	}
	for _, known := range []bool{true, false} {
		listen := ""
		path := writeExample(t, func(all map[string]any) {
			listen = all["listen"].(string)
			if delete(all, "known"); known {
				all["known"] = map[string]any{"rev": 1, "all": true, "targets": targets}
			}
		})
		startBinary(t, "forward", path)
		ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
		err := tierfleet.Ready(ctx, listen)
		stop()
		if (err == nil) != known {
			t.Errorf("with a list %v: %v", known, err)
		}
	}
}
