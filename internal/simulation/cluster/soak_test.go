package cluster

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/program"
)

func newTestSoak(t *testing.T) *soak {
	events, err := os.Create(filepath.Join(t.TempDir(), eventsFile))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, events.Close()) })
	options := Options{Logf: func(string, ...any) {}}
	return &soak{cluster: newCluster(t.TempDir(), "127.0.0", defaultSize, options), events: events}
}

// newTestNode returns a node whose process runs a shell script.
func newTestNode(t *testing.T, k *soak, script string) *node {
	n := &node{soak: k, name: "node", incarnation: newIncarnationRecord(), closing: true}
	var err error
	n.process, err = program.Start(program.Config{Binary: "sh", Args: []string{"-c", script}, Log: k.logFile(n.name)})
	require.NoError(t, err)
	t.Cleanup(n.process.Kill)
	return n
}

func requireViolation(t *testing.T, k *soak, rule string) {
	t.Helper()
	require.Len(t, k.result.Violations, 1)
	require.Contains(t, k.result.Violations[0], rule)
}

func TestProcessThatEndsByItselfIsReported(t *testing.T) {
	k := newTestSoak(t)
	newTestNode(t, k, "exit 3").supervise(t.Context())
	requireViolation(t, k, "CRASH: node ended by itself: exit status 3")
}

func TestProcessThatOutlivesItsGraceIsReportedAndKilled(t *testing.T) {
	t.Parallel()
	k := newTestSoak(t)
	n := newTestNode(t, k, "trap '' TERM; while :; do sleep 0.1; done")
	time.Sleep(200 * time.Millisecond) // until the script ignores SIGTERM
	n.terminate(0)
	<-n.process.Incarnation().Ended()
	requireViolation(t, k, "GRACE: node still runs")
}

func TestUnansweredStatementsAreJudgedByWhatTheProcessSuffered(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		incarnation incarnationRecord
		waited      time.Duration
		executed    bool
		lost        bool
	}{
		"a process that ran":                  {waited: time.Second, lost: true},
		"a process that was stopped":          {incarnation: incarnationRecord{terminatedAt: now}, waited: time.Second, lost: true},
		"connection ended just after sending": {waited: 50 * time.Millisecond},
		"executed by a host before the end":   {waited: 50 * time.Millisecond, executed: true, lost: true},
		"a process that was killed":           {incarnation: incarnationRecord{killedAt: now}, waited: time.Second},
		"a process that was frozen meanwhile": {incarnation: incarnationRecord{freezeChangedAt: now}, waited: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k := newTestSoak(t)
			k.executed["s.1"] = c.executed
			sent := sentStatement{id: "s.1", at: now}
			k.recordUnanswered(unanswered{&node{}, &c.incarnation, sent, now.Add(c.waited), io.EOF})
			k.checkUnanswered()
			require.Equal(t, c.lost, len(k.result.Violations) > 0)
		})
	}
}

func TestConfigurationThatIsReadBackIsCompared(t *testing.T) {
	k := newTestSoak(t)
	newest := &configVersion{config: k.configOf(5)}
	rejected := &configVersion{config: k.configOf(7), rejected: true}
	k.operators = &operators{soak: k, newest: newest, sent: []*configVersion{newest, rejected}}
	for _, c := range []struct {
		config    serviceConfig
		violation string
	}{
		{k.configOf(5), ""},
		{k.configOf(3), "5 was acknowledged before"},
		{k.configOf(7), "which was rejected"},
		{k.configOf(9), "a configuration that was never sent"},
	} {
		k.result.Violations = nil
		member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(encodeJSON(c.config)) }))
		require.True(t, k.operators.checkRead(context.Background(), member.Listener.Addr().String()))
		member.Close()
		if c.violation == "" {
			require.Empty(t, k.result.Violations)
		} else {
			require.Contains(t, k.result.Violations[0], c.violation)
		}
	}
}
