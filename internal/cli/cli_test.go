package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/metrics"
	"ferrypitch/internal/settings"
)

func execute(t *testing.T, command subcommands.Command, arguments ...string) subcommands.ExitStatus {
	t.Helper()
	flags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	command.SetFlags(flags)
	require.NoError(t, flags.Parse(arguments))
	return command.Execute(context.Background(), flags)
}

func TestFailTellsWrongUseFromFailure(t *testing.T) {
	for _, err := range []error{trace.BadParameter("x"), trace.NotFound("x"), trace.LimitExceeded("x")} {
		require.Equal(t, subcommands.ExitUsageError, Fail("test", err), "%T", err)
	}
	require.Equal(t, subcommands.ExitFailure, Fail("test", errors.New("x")))
}

func TestPrintPrintsJSONOrText(t *testing.T) {
	var out bytes.Buffer
	text := func(w io.Writer) { Counters(w, map[string]int64{"b": 2, "a": 1}) }
	require.Equal(t, subcommands.ExitSuccess, Print(&out, false, nil, text))
	require.Equal(t, "a 1\nb 2\n", out.String())
	out.Reset()
	require.Equal(t, subcommands.ExitSuccess, Print(&out, true, []int{1}, text))
	require.Equal(t, "[\n  1\n]\n", out.String())
	require.Equal(t, subcommands.ExitFailure, Print(&out, true, func() {}, text), "a value that JSON cannot encode")
}

func TestCheckEndsByTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.toml")
	check := func(arguments ...string) subcommands.ExitStatus {
		return execute(t, &Check{Program: "test"}, arguments...)
	}
	require.Equal(t, subcommands.ExitUsageError, check())
	require.Equal(t, subcommands.ExitUsageError, check(path), "the file does not exist")
	require.NoError(t, os.WriteFile(path, []byte("Node = 3\n"), 0o600))
	require.Equal(t, subcommands.ExitUsageError, check(path))
	valid := "Node = \"edge-1\"\nIp = \"10.1.0.8\"\nZone = \"a\"\nPortRange = [7440,7455]\n"
	require.NoError(t, os.WriteFile(path, []byte(valid), 0o600))
	require.Equal(t, subcommands.ExitSuccess, check(path))
	require.Equal(t, subcommands.ExitSuccess, check("-json", path))
}

func TestStatusAsksARunningProcess(t *testing.T) {
	type testStatus struct{ Sessions int }
	body, code := `{"Sessions":7}`, http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/Status" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(code)
		fmt.Fprint(w, body)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	sessions := 0
	status := func(arguments ...string) subcommands.ExitStatus {
		return execute(t, &Status[testStatus]{Program: "test", Path: "/Status", PrintText: func(_ io.Writer, s testStatus) { sessions = s.Sessions }}, arguments...)
	}
	require.Equal(t, subcommands.ExitSuccess, status(address))
	require.Equal(t, 7, sessions)
	require.Equal(t, subcommands.ExitUsageError, status())
	body = "not JSON"
	require.Equal(t, subcommands.ExitFailure, status(address))
	code = http.StatusServiceUnavailable
	require.Equal(t, subcommands.ExitFailure, status(address))
	server.Close()
	require.Equal(t, subcommands.ExitFailure, status(address))
}

// A signal that arrives while the process still reads its settings must not end it; the server handles it after it has started.
func TestSignalDuringTheStartIsHandled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.toml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	t.Setenv(settings.EnvVar, path)
	received := make(chan os.Signal, 1)
	run := &Run{Program: "test", Serve: func(_ *settings.Settings, _ metrics.Endpoint, _, reload <-chan os.Signal, _ hclog.Logger) error {
		received <- <-reload
		return nil
	}}
	done := make(chan subcommands.ExitStatus, 1)
	go func() { done <- execute(t, run) }()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when Execute has opened the pipe to read the settings
	require.NoError(t, err)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	_, err = file.WriteString("Node = \"edge-1\"\nIp = \"10.1.0.8\"\nZone = \"a\"\nPortRange = [7440,7455]\n")
	require.NoError(t, err)
	require.NoError(t, file.Close())
	require.Equal(t, syscall.SIGHUP, <-received)
	require.Equal(t, subcommands.ExitSuccess, <-done)
}
