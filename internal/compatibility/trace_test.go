package compatibility

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/trace/replay"
	"ferrypitch/internal/router/trace/tool"
	"ferrypitch/policy"
)

// openTraceFile opens the trace fixture.
func openTraceFile() (*tool.Source, error) {
	return tool.Open(filepath.Join(*fixturesFolder, "router.fptrace"))
}

// openTrace opens the trace fixture for a test.
func openTrace(t *testing.T) *tool.Source {
	t.Helper()
	source, err := openTraceFile()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, source.Close()) })
	return source
}

// deploymentObject renders every field of the deployment in a trace's header. The header stores it under the names of its fields.
func deploymentObject(deployment policy.Deployment) object {
	groups := []object{}
	for _, group := range deployment.Groups {
		groups = append(groups, object{
			"effect": group.IdempotencyClass, "need": group.ConsistencyLevel, "bound": group.MaxStaleness, "target": group.ResponseTarget,
			"timeout": group.Timeout, "memory": group.KeyRetention, "every_set": group.DedupAcrossSets, "benefit": group.Benefit, "late_share": group.LateBenefitFraction,
		})
	}
	return object{
		"seed": deployment.Seed, "zero": deployment.PositionEpoch, "tick": deployment.Tick, "routers": deployment.RouterCount,
		"zone": deployment.Zone, "dispatches": deployment.MaxDispatches, "guarded": deployment.HostsCheckPosition, "wait": deployment.PositionWait,
		"kept": deployment.LocalSessionTokens, "reports": deployment.PositionsReported, "probes": deployment.ProbesEnabled, "led": deployment.ExplicitPrimary, "told": deployment.UsesPlanners,
		"peers": deployment.PeerUpdatesEnabled, "peer_price": deployment.PeerUpdateCost, "probe_price": deployment.ProbeCost,
		"streams": deployment.StreamsPerConn, "idle_for": deployment.IdleConnTimeout, "connect_for": deployment.ConnectTimeout, "comeback": deployment.MaxRetryAfter,
		"fall_factor": deployment.ColdOverloadFactor, "fall_span": deployment.ColdOverloadWindow, "cold_from": deployment.ColdCapacity, "cold_for": deployment.ColdDuration,
		"drain_alone": deployment.KeepUnlistedHosts, "ask_within": deployment.ListTimeout, "groups": groups,
	}
}

// renderTrace renders a trace completely: one line for its header, one per kind of event, one per event, and one for the counts.
func renderTrace(source *tool.Source) ([]byte, error) {
	header := source.Header
	deployment, err := record.DecodeDeployment(header.Extra["deployment"])
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	line := func(value any) {
		body, err := json.Marshal(value)
		if err != nil {
			panic(err) // impossible: only objects, strings and numbers are encoded
		}
		out.Write(append(body, '\n'))
	}
	line(object{
		"router": header.Router, "life": header.Incarnation, "began": header.StartedAt, "build": header.Build, "part": header.SampledPerMille,
		"key": hex.EncodeToString(header.KeyID), "deployment": deploymentObject(deployment), "groups": tool.GroupNames(header),
	})
	for _, kind := range header.Schema {
		columns := []string{}
		for _, column := range kind.Columns {
			columns = append(columns, fmt.Sprintf("%s/%d/%d", column.Name, column.Type, column.Privacy))
		}
		line(object{"schema": kind.Name, "columns": columns})
	}
	events := 0
	if err := source.Each(tool.Window{}, nil, func(event traceEvent) error {
		events++
		line(tool.EventObject(header.Schema, event))
		return nil
	}); err != nil {
		return nil, err
	}
	line(object{"events": events, "blocks": source.ReadBlocks, "lost": source.LostEvents, "faults": len(source.CorruptBlocks)})
	return out.Bytes(), nil
}

// A trace file is read completely, both with its index and, without one, by scanning from the start. A replay accepts its deployment.
func TestTraceFileIsReadCompletely(t *testing.T) {
	source := openTrace(t)
	rendered, err := renderTrace(source)
	require.NoError(t, err)
	requireExpected(t, "router.jsonl", rendered)
	require.NoError(t, source.Truncated)
	require.Len(t, source.Index, 2)
	require.Equal(t, 2, source.ReadBlocks)
	require.EqualValues(t, 5, source.LostEvents)
	lines := strings.Split(strings.TrimSuffix(string(rendered), "\n"), "\n")
	require.Len(t, lines, 1+35+2*35+1, "a header, the kinds, two events of each kind, the counts")
	require.Equal(t, `{"blocks":2,"events":70,"faults":0,"lost":5}`, lines[len(lines)-1])
	_, err = replay.New(source.Header, 10)
	require.NoError(t, err)
	for i, kind := range source.Header.Schema { // tools look up columns by name, a replay by position
		require.Equal(t, kind.Name, record.Schema[i].Name)
		require.Equal(t, kind.Columns, record.Schema[i].Columns[:len(kind.Columns)], kind.Name)
	}

	body, err := os.ReadFile(filepath.Join("testdata", "router.fptrace"))
	require.NoError(t, err)
	cut := filepath.Join(t.TempDir(), "cut.fptrace") // without its index, as after a crash
	require.NoError(t, os.WriteFile(cut, body[:len(body)-8], 0o600))
	source, err = tool.Open(cut)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, source.Close()) })
	require.Empty(t, source.Index)
	again, err := renderTrace(source)
	require.NoError(t, err)
	require.Equal(t, string(rendered), string(again))
}
