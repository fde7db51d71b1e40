package service

import (
	"context"
	"crypto/rand"
	"math"
	"math/big"
	"runtime/debug"
	"slices"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/trace/file"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
)

// NewTraceWriter returns a writer of trace files with the configuration of section. It writes nothing before its Run.
func NewTraceWriter(start *setup.Start, section *setup.TraceSection, log *zap.Logger) (*file.Writer, error) {
	deployment, err := record.EncodeDeployment(start.Deployment)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(start.Deployment.Groups))
	for name, group := range start.Formats.Groups {
		if i := slices.Index(start.Deployment.Groups, group); i >= 0 {
			names[i] = name
		}
	}
	groups, err := record.EncodeGroups(names)
	if err != nil {
		return nil, err
	}
	header := format.Header{
		Router: start.Name, Incarnation: NewIncarnation(), StartedAt: time.Now().UnixNano() / int64(clock.Resolution), Build: buildRevision(),
		SampledPerMille: section.SamplePerMille, Schema: record.Schema, Extra: map[string][]byte{"deployment": deployment, "groups": groups},
	}
	config := file.Config{
		Dir: section.Dir, Name: start.Name, MaxFileBytes: section.FileBytes, MaxFileAge: section.FileAge, MaxTotalBytes: section.TotalBytes,
		SyncInterval: section.FlushInterval, BlockCount: section.Blocks,
	}
	return file.New(config, file.Disk{}, header, time.Now, log), nil
}

// StartTrace starts writing a trace; a nil writer writes none. finish writes the buffered events and ends the writer. It must be
// called after all recorded components have ended.
func StartTrace(writer *file.Writer) (finish func() error) {
	if writer == nil {
		return func() error { return nil }
	}
	ctx, end := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- writer.Run(ctx) }()
	return func() error {
		end()
		return <-written
	}
}

// buildRevision returns the version control revision of the program, or else its module version; empty if neither is known.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

// NewIncarnation returns a random number that identifies this run of a process. It is odd, and so never 0.
func NewIncarnation() uint64 {
	n, err := rand.Int(rand.Reader, new(big.Int).SetUint64(math.MaxUint64))
	if err != nil {
		panic(err) // crypto/rand's Reader never fails
	}
	return n.Uint64() | 1
}
