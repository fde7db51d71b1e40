package main

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ferrypitch/internal/simulation/tierfleet"
	"ferrypitch/internal/simulation/workload"
)

// singleTraceFile returns the path of the only trace file in a folder, and fails if there is not exactly one.
func singleTraceFile(t *testing.T, dir string) string {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(dir, "*.fptrace"))
	if len(files) != 1 {
		t.Fatalf("%v", files)
	}
	return files[0]
}

// captureTrace runs a router under load for a second and returns the path of its trace file.
func captureTrace(t *testing.T) string {
	t.Helper()
	f, err := tierfleet.New(t.TempDir(), 1, 3, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	dir, listen := t.TempDir(), ""
	path := writeExample(t, func(all map[string]any) {
		all["discovery"], all["trace"] = f.Discovery.Address(), map[string]any{"dir": dir}
		delete(all, "known")
		listen = all["listen"].(string)
	})
	cmd := exec.Command(binary, "serve", path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	if err := tierfleet.WaitReady(ctx, listen); err != nil {
		t.Fatal(err)
	}
	workload.Run(ctx, workload.Config{
		Routers: []string{listen}, ReplicaSets: []int64{1}, Clients: 4, Rate: 150, Duration: time.Second, WriteFraction: 0.2, Sessions: 2,
		Timeout: time.Second, Seed: 5,
	}, nil)
	signalProcess(t, cmd, syscall.SIGHUP)
	client, err := net.Dial("tcp", listen) // an open connection, so that shutdown does not end at once
	if err == nil {
		defer client.Close()
	}
	signalProcess(t, cmd, syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	return singleTraceFile(t, dir)
}

func TestTraceIsReadCutAnonymisedRepairedAndReplayed(t *testing.T) {
	file, dir := captureTrace(t), t.TempDir()
	for _, want := range []struct {
		args   []string
		status int
		words  []string
	}{
		{[]string{"info", file}, 0, []string{"router f1", "0 lost", "take", "dispatch", "reload"}},
		{[]string{"replay", file}, 0, []string{" 0 different"}},
		{[]string{"summary", file}, 0, []string{"order", "list"}},
		{[]string{"summary", "--json", "--group", "order", file}, 0, []string{`"Group": "order"`, `"Throttled": 0`}},
		{[]string{"cat", "--group", "order", file}, 0, []string{" take command=", "session=s"}},
		{[]string{"cat", "--group", "nothing", file}, 2, []string{"--group nothing: the file has list"}},
		{[]string{"cat", "--from", "yesterday", file}, 2, []string{"neither a time such as 2026-12-01T20:15:00Z"}},
		{[]string{"cut", "--session", "s0-0", file, filepath.Join(dir, "cut")}, 0, nil},
		{[]string{"replay", filepath.Join(dir, "cut")}, 2, []string{"not the whole of a router's life"}},
		{[]string{"diff", file, filepath.Join(dir, "cut")}, 0, []string{"→"}},
		{[]string{"info", filepath.Join(dir, "not there")}, 1, []string{"no such file"}},
	} {
		expectTraceOutput(t, want.status, want.words, want.args...)
	}
	expectCutThroughPipes(t, file)
	expectAnonymised(t, file, dir)
	expectRepaired(t, file, dir)
}

// expectTraceOutput runs a trace sub-command, checks its exit status and that its output contains all words, and returns the output.
func expectTraceOutput(t *testing.T, wantStatus int, words []string, args ...string) string {
	t.Helper()
	out, status := runBinary(append([]string{"trace"}, args...)...)
	for _, word := range words {
		if !strings.Contains(out, word) {
			t.Errorf("%v: no %q in %s", args, word, out)
		}
	}
	if status != wantStatus {
		t.Errorf("%v: status %d, %s", args, status, out)
	}
	return out
}

func expectCutThroughPipes(t *testing.T, file string) {
	t.Helper()
	cut := exec.Command(binary, "trace", "cut", "-", "-")
	in, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	cut.Stdin = in
	if out, err := cut.Output(); err != nil || len(out) < 1000 {
		t.Errorf("through pipes: %d bytes, %v", len(out), err)
	}
}

func expectAnonymised(t *testing.T, file, dir string) {
	t.Helper()
	key, anonymous := filepath.Join(dir, "key"), filepath.Join(dir, "anonymous")
	if out, status := runBinary("key", key); status != 0 {
		t.Error(out)
	}
	expectTraceOutput(t, 0, nil, "anonymise", "--key", key, file, anonymous)
	out := expectTraceOutput(t, 0, []string{" take command="}, "cat", anonymous)
	if strings.Contains(out, "set1-") || strings.Contains(out, "session=s") {
		t.Errorf("%.400s", out)
	}
}

func expectRepaired(t *testing.T, file, dir string) {
	t.Helper()
	complete, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	broken, repaired := filepath.Join(dir, "broken"), filepath.Join(dir, "repaired")
	writeFile(t, broken, string(complete[:len(complete)-7]))
	expectTraceOutput(t, 0, nil, "repair", broken, repaired)
	expectTraceOutput(t, 0, []string{" 0 different"}, "replay", repaired)
	complete[8] = 9 // the version
	writeFile(t, broken, string(complete))
	expectTraceOutput(t, 1, []string{"trace version 9; this program reads up to version 1"}, "info", broken)
}

func TestPlannerCapturesATrace(t *testing.T) {
	f, err := tierfleet.New(t.TempDir(), 1, 2, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	dir := t.TempDir()
	path := writeExample(t, func(all map[string]any) {
		all["discovery"], all["trace"] = f.Discovery.Address(), map[string]any{"dir": dir}
	})
	cmd := exec.Command(binary, "plan", path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(testTimeout); f.Hosts.Stats().HealthChecks < 4 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	signalProcess(t, cmd, syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	file := singleTraceFile(t, dir)
	out, status := runBinary("trace", "info", file)
	for _, kind := range []string{"plan_list", "plan_probe ", "plan_probed", "plan_change"} {
		if !strings.Contains(out, kind) || status != 0 {
			t.Errorf("status %d, no %s in %s", status, kind, out)
		}
	}
}
