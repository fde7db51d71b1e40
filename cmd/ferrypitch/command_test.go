package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"ferrypitch/internal/simulation/tierfleet"
)

func TestExampleIsCompleteForAllSubcommands(t *testing.T) {
	if out, status := runBinary("check", writeExample(t, nil)); status != 0 || !strings.Contains(out, "[serve forward plan]") {
		t.Errorf("%d: %s", status, out)
	}
	if out, status := runBinary("check", "--json", writeExample(t, func(all map[string]any) { delete(all, "plan") })); status != 0 ||
		!strings.Contains(out, `"serves":["serve","forward"]`) {
		t.Errorf("%d: %s", status, out)
	}
}

func TestCheckErrorIsOneLineThatNamesTheKeyWithStatusTwo(t *testing.T) {
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
	writeFile(t, path, "{\n\"name\": \"f1\",\n}")
	if out, status := runBinary("check", path); status != 2 || !strings.Contains(out, "line 3") {
		t.Errorf("%d: %s", status, out)
	}
	if err := os.Chmod(filepath.Join(filepath.Dir(path), "example.key"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check"}, {"nonsense"}, {"forward", writeExample(t, func(all map[string]any) { delete(all, "forward") })}} {
		if out, status := runBinary(args...); status != 2 || out == "" {
			t.Errorf("%v: %d %s", args, status, out)
		}
	}
}

func TestKeyThatOthersMayReadIsRejected(t *testing.T) {
	path := writeExample(t, nil)
	key := filepath.Join(filepath.Dir(path), "example.key")
	if err := os.Chmod(key, 0o644); err != nil {
		t.Fatal(err)
	}
	if out, status := runBinary("check", path); status != 2 || !strings.Contains(out, "others than its owner may read it") {
		t.Errorf("%d: %s", status, out)
	}
	if err := os.Remove(key); err != nil {
		t.Fatal(err)
	}
	if out, status := runBinary("key", key); status != 0 {
		t.Errorf("%d: %s", status, out)
	}
	if out, status := runBinary("check", path); status != 0 {
		t.Errorf("%d: %s", status, out)
	}
	if _, status := runBinary("key", key); status == 0 {
		t.Error("an existing key file is overwritten")
	}
}

func TestHelpListsSubcommandsAndTheEnvironment(t *testing.T) {
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

func TestExampleServesAPgxClient(t *testing.T) {
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
	if err := tierfleet.WaitReady(ctx, listen); err != nil {
		t.Fatal(err)
	}
	host, port, _ := net.SplitHostPort(listen)
	client, err := pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=svc dbname=main sslmode=disable default_query_exec_mode=simple_protocol", host, port))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close(ctx) }()
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
		t.Errorf("a statement without the comment of a command: %v", err)
	}
	if f.Hosts.Stats().Violations() > 0 {
		t.Errorf("%+v", f.Hosts.Stats())
	}
}

func TestForwarderRestartedWithoutPlannersServesFromItsViewFile(t *testing.T) {
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
	if err := tierfleet.WaitReady(ctx, listen); err != nil {
		t.Fatal(err)
	}
	for viewFile := filepath.Join(filepath.Dir(path), "view"); ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if _, err := os.Stat(viewFile); err == nil {
			break
		}
	}
	for _, cmd := range []*exec.Cmd{planner, forwarder} {
		killProcess(cmd)
	}
	startBinary(t, "forward", path)
	if err := tierfleet.WaitReady(ctx, listen); err != nil {
		t.Errorf("without planners: %v", err)
	}
}

func TestForwarderWithoutPlannersServesFromTheGivenListOrIsNotReady(t *testing.T) {
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
		err := tierfleet.WaitReady(ctx, listen)
		stop()
		if (err == nil) != known {
			t.Errorf("with a host list %v: %v", known, err)
		}
	}
}
