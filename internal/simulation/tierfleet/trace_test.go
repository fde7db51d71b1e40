package tierfleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/service"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/replay"
	"ferrypitch/internal/simulation/workload"
)

// serving runs a router here that captures, under load, with a replica that dies and returns.
func serving(t *testing.T, f *Fleet, file func(int, string) (string, error), trace map[string]any) *workload.Tally {
	t.Helper()
	address, err := Free()
	if err != nil {
		t.Fatal(err)
	}
	path, err := file(0, address)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	var all map[string]any
	json.Unmarshal(text, &all)
	all["trace"] = trace
	text, _ = json.Marshal(all)
	os.WriteFile(path, text, 0o600)
	o, err := setup.LoadOperator(path, none)
	if err != nil {
		t.Fatal(err)
	}
	if o.Forward != nil {
		o.Start.AsForwarder()
	}
	signals := make(chan os.Signal, 1)
	var tasks errgroup.Group
	tasks.Go(func() error { return service.Run(o, signals, nil, zap.NewNop()) })
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	if err := Ready(ctx, address); err != nil {
		t.Fatal(err)
	}
	h := f.Hosts.Hosts()[1]
	time.AfterFunc(time.Second, h.Kill)
	back := time.AfterFunc(2*time.Second, func() {
		h.Restart()
		f.Told(h, "up")
	})
	defer back.Stop()
	tally := workload.Run(ctx, workload.Terms{Routers: []string{address}, Sets: []int64{1, 2}, Clients: 8, Rate: 200, For: 4 * time.Second,
		Writes: 0.15, Sessions: 4, Timeout: time.Second, Seed: 3}, nil)
	signals <- os.Interrupt
	if err := tasks.Wait(); err != nil {
		t.Fatal(err)
	}
	return tally
}

func TestATraceOfALoadedRouterReplaysExactly(t *testing.T) {
	for _, forwards := range []bool{false, true} {
		f, err := New(t.TempDir(), 2, 3, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(t.Context())
		var planners errgroup.Group
		file := f.RouterFile
		if forwards {
			file = f.ForwarderFile
			if err := f.Plan(ctx, &planners, 0, zap.NewNop()); err != nil {
				t.Fatal(err)
			}
		}
		dir := t.TempDir()
		tally := serving(t, f, file, map[string]any{"dir": dir})
		end()
		planners.Wait()
		f.Stop()
		files, _ := filepath.Glob(filepath.Join(dir, "*.fptrace"))
		if len(files) != 1 {
			t.Fatalf("%v", files)
		}
		in, err := os.Open(files[0])
		if err != nil {
			t.Fatal(err)
		}
		defer in.Close()
		r, err := format.NewReader(in)
		if err != nil {
			t.Fatal(err)
		}
		again, err := replay.New(r.Header, 5)
		if err != nil {
			t.Fatal(err)
		}
		for {
			span, events, err := r.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err == nil {
				err = again.Lost(span.Lost)
			}
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				if err := again.Event(e); err != nil {
					t.Fatal(err)
				}
			}
		}
		again.End(true)
		if again.Apart != 0 || again.Asked < int64(tally.Sent) {
			t.Errorf("forwards %v: %d calls, %d asked for, %d apart: %v", forwards, again.Calls, again.Asked, again.Apart, again.Differences)
		}
		t.Logf("forwards %v: %d commands, %d calls into the module, %d asked for, %d apart", forwards, tally.Sent, again.Calls, again.Asked, again.Apart)
	}
}
