package tiernet

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/trace/replay"
	"ferrypitch/policy"
)

// maxDifferences limits the differences that a replay describes.
const maxDifferences = 12

// traceFile is a sink that holds the trace of one incarnation of a forwarder in memory.
type traceFile struct {
	content []byte
	// complete says that the forwarder was not killed. A kill loses the end of a trace.
	complete bool
}

// incarnationKey identifies an incarnation of a forwarder.
type incarnationKey struct {
	forwarder   string
	incarnation int
}

func (f *traceFile) Get() *format.Block { return format.NewBlock(record.Schema) }

func (f *traceFile) Put(b *format.Block) bool {
	var err error
	if f.content, _, err = b.Append(f.content, int64(len(f.content))); err != nil {
		panic(err)
	}
	return true
}

func newTraceFile(t *testing.T, forwarder string, incarnation int, d policy.Deployment) *traceFile {
	t.Helper()
	deployment, err := record.EncodeDeployment(d)
	require.NoError(t, err)
	content, err := format.AppendHeader(nil, format.Header{
		Router:          forwarder,
		Incarnation:     uint64(incarnation),
		SampledPerMille: traceAll,
		Schema:          record.Schema,
		Extra:           map[string][]byte{"deployment": deployment},
	})
	require.NoError(t, err)
	return &traceFile{content: content}
}

// runCaptured runs a world and returns the traces of all incarnations.
func runCaptured(t *testing.T, seed uint64) (map[incarnationKey]*traceFile, *World) {
	t.Helper()
	files := map[incarnationKey]*traceFile{}
	w := NewWithTraces(seed, smallSize, func(forwarder string, incarnation int, d policy.Deployment) record.Sink {
		file := newTraceFile(t, forwarder, incarnation, d)
		files[incarnationKey{forwarder, incarnation}] = file
		return file
	})
	w.Run()
	for _, f := range w.forwarders {
		f.trace.Flush()
		files[incarnationKey{f.name, f.incarnation}].complete = true
	}
	return files, w
}

// replayEvents replays the events of a trace. It returns the first error, or nil at the end of the trace.
func replayEvents(reader *format.Reader, replayed *replay.Replay) error {
	for {
		_, events, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, event := range events {
			if err := replayed.Apply(event); err != nil {
				return err
			}
		}
	}
}

func TestEveryIncarnationOfEveryForwarderReplaysExactly(t *testing.T) {
	calls, asked := int64(0), int64(0)
	for seed := range uint64(20) {
		files, w := runCaptured(t, seed)
		requireNoViolation(t, w, int(seed))
		for key, file := range files {
			reader, err := format.NewReader(bytes.NewReader(file.content))
			require.NoError(t, err)
			replayed, err := replay.New(reader.Header, maxDifferences)
			require.NoError(t, err)
			require.NoError(t, replayEvents(reader, replayed), "seed %d, %v", seed, key)
			replayed.Finish(file.complete)
			require.Zero(t, replayed.DifferenceCount, "seed %d, %v: differences among %d decisions: %v", seed, key, replayed.ComparedActions, replayed.Differences)
			calls, asked = calls+replayed.Calls, asked+replayed.ComparedActions
		}
	}
	t.Logf("%d calls, %d asked for, none apart", calls, asked)
	if asked < 100000 {
		t.Errorf("only %d decisions were compared", asked)
	}
}

func TestAReplayWithAnotherModuleReportsDifferences(t *testing.T) {
	files, _ := runCaptured(t, 2) // in this seed, each incarnation makes a random choice
	for _, file := range files {
		reader, err := format.NewReader(bytes.NewReader(file.content))
		require.NoError(t, err)
		deployment, err := record.DecodeDeployment(reader.Header.Extra["deployment"])
		require.NoError(t, err)
		deployment.Seed++ // simulates a module that decides differently
		reader.Header.Extra["deployment"], err = record.EncodeDeployment(deployment)
		require.NoError(t, err)
		replayed, err := replay.New(reader.Header, maxDifferences)
		require.NoError(t, err)
		if err := replayEvents(reader, replayed); err != nil {
			t.Logf("the replay ends with %v", err) // a replay may fail after its first difference
		}
		replayed.Finish(true)
		if replayed.DifferenceCount == 0 || len(replayed.Differences) == 0 || replayed.Differences[0].Recorded == replayed.Differences[0].Replayed {
			t.Errorf("%d differences among %d decisions: %v", replayed.DifferenceCount, replayed.ComparedActions, replayed.Differences)
		}
	}
}
