package tierfleet

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/service"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/replay"
	"ferrypitch/internal/simulation/workload"
)

// writeFile writes the configuration file of a router, given its number and address.
type writeFile func(router int, listen string) (path string, err error)

// loadRouter runs a router in this process under load, kills and restarts a replica meanwhile, and stops the router.
func loadRouter(t *testing.T, f *Fleet, write writeFile) *workload.Tally {
	t.Helper()
	address, err := FreeAddress()
	require.NoError(t, err)
	path, err := write(0, address)
	require.NoError(t, err)
	operator, err := setup.LoadOperator(path, noEnvironment)
	require.NoError(t, err)
	if operator.Forward != nil {
		operator.Start.ConfigureAsForwarder()
	}
	signals := make(chan os.Signal, 1)
	var tasks errgroup.Group
	tasks.Go(func() error { return service.Run(operator, signals, nil, zap.NewNop()) })
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	require.NoError(t, WaitReady(ctx, address))

	replica := f.Hosts.Hosts()[1]
	time.AfterFunc(time.Second, replica.Kill)
	restarted := make(chan error, 1)
	time.AfterFunc(2*time.Second, func() {
		err := replica.Restart()
		f.Announce(replica, StateUp)
		restarted <- err
	})
	tally := workload.Run(ctx, workload.Config{
		Routers:       []string{address},
		ReplicaSets:   []int64{1, 2},
		Clients:       8,
		Rate:          200,
		Duration:      4 * time.Second,
		WriteFraction: 0.15,
		Sessions:      4,
		Timeout:       time.Second,
		Seed:          3,
	}, nil)
	require.NoError(t, <-restarted)
	signals <- os.Interrupt
	require.NoError(t, tasks.Wait())
	return tally
}

// replayTrace replays the only trace file in a directory.
func replayTrace(t *testing.T, dir string) *replay.Replay {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.fptrace"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	file, err := os.Open(files[0])
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	reader, err := format.NewReader(file)
	require.NoError(t, err)
	replayed, err := replay.New(reader.Header, 5)
	require.NoError(t, err)
	for {
		span, events, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		require.NoError(t, replayed.CheckLost(span.Lost))
		for _, event := range events {
			require.NoError(t, replayed.Apply(event))
		}
	}
	replayed.Finish(true)
	return replayed
}

func TestATraceOfALoadedRouterReplaysExactly(t *testing.T) {
	for _, forwards := range []bool{false, true} {
		f, err := New(t.TempDir(), 2, 3, 1, 1)
		require.NoError(t, err)
		f.Trace = &TraceSettings{Dir: t.TempDir()}
		ctx, end := context.WithCancel(t.Context())
		var planners errgroup.Group
		write := f.RouterFile
		if forwards {
			write = f.ForwarderFile
			require.NoError(t, f.Plan(ctx, &planners, 0, zap.NewNop()))
		}
		tally := loadRouter(t, f, write)
		end()
		require.NoError(t, planners.Wait())
		f.Stop()
		replayed := replayTrace(t, f.Trace.Dir)
		if replayed.DifferenceCount != 0 || replayed.ComparedActions < int64(tally.Sent) {
			t.Errorf("forwards %v: %d calls, %d decisions compared, %d differences: %v",
				forwards, replayed.Calls, replayed.ComparedActions, replayed.DifferenceCount, replayed.Differences)
		}
		t.Logf("forwards %v: %d commands, %d calls into the module, %d decisions compared, %d differences",
			forwards, tally.Sent, replayed.Calls, replayed.ComparedActions, replayed.DifferenceCount)
	}
}
