package setup

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"ferrypitch/internal/router/tier/link"
)

// keyBytes is the size of a shared key.
const keyBytes = 32

// ForwarderSection is the configuration of a forwarder, a router that gets the host list and the hosts' health from planners.
type ForwarderSection struct {
	Planners         []string // addresses of the planners
	Key              [keyBytes]byte
	ViewFile         string        // file that stores the view for the next start; empty for none
	ViewFileInterval time.Duration // minimum time between two writes of ViewFile

	RetryDelay     time.Duration // initial reconnect backoff of a link
	MaxRetryDelay  time.Duration // maximum reconnect backoff of a link
	ReportInterval time.Duration // between two reports to a planner
	PlannerTimeout time.Duration // after which a silent planner counts as lost

	DialTimeout     time.Duration // to establish a link, including the handshake
	MaxQueuedFrames int           // frames queued for sending
	WriteTimeout    time.Duration // to send a frame
	MaxFrameBytes   int           // longest frame accepted, in bytes
}

// PlannerSection is the configuration of a planner, which watches discovery and checks the health of hosts for forwarders.
type PlannerSection struct {
	Listen     string // address for connections from forwarders
	Key        [keyBytes]byte
	Generation uint64 // raised by the operator when discovery is replaced and its versions restart

	MaxForwarders          int           // maximum number of connected forwarders
	MaxProbesInFlight      int           // maximum number of health checks in flight
	ProbesPerSecond        int           // maximum rate of health checks
	ReportsPerSecond       int           // maximum rate of reports from forwarders
	FramesPerSecond        int           // maximum rate of frames to all forwarders together
	PositionBytesPerSecond int           // maximum rate of position data to all forwarders together
	ChangeInterval         time.Duration // minimum time between two updates to forwarders
	ProbeInterval          time.Duration // after which a host without recent reports is checked
	PrimaryProbeInterval   time.Duration // between two checks in a replica set whose primary is unknown or silent

	HandshakeTimeout time.Duration // to complete the handshake with a forwarder
	MaxHandshakes    int           // maximum number of connections in the handshake
	MaxQueuedFrames  int           // frames queued for a slow forwarder
	WriteTimeout     time.Duration // to send a part of a frame
	MaxFrameBytes    int           // longest frame accepted, in bytes
}

// TraceSection is the configuration of trace capture.
type TraceSection struct {
	Dir               string         // directory of the trace files
	SamplePerMille    uint32         // sampled sessions per thousand
	Key               [keyBytes]byte // key of the hash that samples sessions; unused if all are captured
	CaptureCandidates bool           // whether the candidates of each dispatch are captured

	FileBytes     int64         // approximate maximum size of a file, in bytes
	TotalBytes    int64         // maximum size of all files together, in bytes
	FileAge       time.Duration // maximum age of a file, after which a new one begins
	FlushInterval time.Duration // between two writes of buffered data
	BlockBytes    int           // approximate size of a block, in bytes
	Blocks        int           // number of blocks in memory
}

// fullSamplePerMille is the value of TraceSection.SamplePerMille with which all sessions are captured.
const fullSamplePerMille = 1000

// FullTrace returns a configuration that captures all sessions. Its file sizes suit a directory that is in memory. Routers without
// an operator's file use it.
func FullTrace(dir string) *TraceSection {
	return &TraceSection{
		Dir: dir, SamplePerMille: fullSamplePerMille, FileBytes: 4 << 20, TotalBytes: 12 << 20, FileAge: time.Hour, FlushInterval: time.Second,
		BlockBytes: 128 << 10, Blocks: 3,
	}
}

// readForwarderSection reads a forwarder's section. Relative paths are resolved against dir, as in all sections.
func readForwarderSection(o Object, dir string) (*ForwarderSection, error) {
	f := &ForwarderSection{
		ViewFileInterval: time.Second,
		RetryDelay:       50 * time.Millisecond,
		MaxRetryDelay:    5 * time.Second,
		ReportInterval:   o.optionalMilliseconds("report_ms", 200*time.Millisecond),
		PlannerTimeout:   o.optionalMilliseconds("silent_ms", 2*time.Second),
		DialTimeout:      2 * time.Second,
		MaxQueuedFrames:  16,
		WriteTimeout:     2 * time.Second,
		MaxFrameBytes:    link.MaxFrameBytes,
	}
	if o.Has("keep") {
		f.ViewFile = absolutePath(o.Text("keep"), dir)
		if !isDirectory(filepath.Dir(f.ViewFile)) {
			return nil, fmt.Errorf("%s.keep: %s: the directory of the file does not exist", o.path, f.ViewFile)
		}
	}
	for i, item := range o.List("planners") {
		planner, _ := item.(string)
		requireAddress(planner, o.path+".planners["+strconv.Itoa(i)+"]")
		f.Planners = append(f.Planners, planner)
	}
	var err error
	f.Key, err = readSectionKey(o, dir)
	return f, err
}

// readPlannerSection reads a planner's section.
func readPlannerSection(o Object, dir string) (*PlannerSection, error) {
	p := &PlannerSection{
		Listen:                 o.Text("listen"),
		MaxForwarders:          o.optionalInt("forwarders", 5000),
		MaxProbesInFlight:      o.optionalInt("probes", 64),
		ProbesPerSecond:        o.optionalInt("probes_per_second", 400),
		ReportsPerSecond:       o.optionalInt("reports_per_second", 1000),
		FramesPerSecond:        o.optionalInt("frames_per_second", 20000),
		PositionBytesPerSecond: o.optionalInt("position_bytes_per_second", 20_000_000),
		ChangeInterval:         o.optionalMilliseconds("beat_ms", 100*time.Millisecond),
		ProbeInterval:          o.optionalMilliseconds("probe_ms", 500*time.Millisecond),
		PrimaryProbeInterval:   o.optionalMilliseconds("search_ms", 50*time.Millisecond),
		HandshakeTimeout:       2 * time.Second,
		MaxHandshakes:          256,
		MaxQueuedFrames:        32,
		WriteTimeout:           2 * time.Second,
		MaxFrameBytes:          link.MaxReportBytes,
	}
	requireAddress(p.Listen, o.path+".listen")
	if o.Has("generation") {
		p.Generation = uint64(o.Integer("generation"))
	}
	var err error
	p.Key, err = readSectionKey(o, dir)
	return p, err
}

// readTraceSection reads the section of trace capture.
func readTraceSection(o Object, dir string) (*TraceSection, error) {
	t := &TraceSection{
		Dir:               o.Text("dir"),
		SamplePerMille:    fullSamplePerMille,
		CaptureCandidates: !o.Has("detail") || o.Bool("detail"),
		FileBytes:         int64(o.optionalInt("file_mb", 64)) << 20,
		TotalBytes:        int64(o.optionalInt("budget_mb", 1024)) << 20,
		FileAge:           o.optionalMilliseconds("file_ms", time.Hour),
		FlushInterval:     time.Second,
		BlockBytes:        256 << 10,
		Blocks:            4,
	}
	t.Dir = absolutePath(t.Dir, dir)
	if !isDirectory(t.Dir) {
		return nil, fmt.Errorf("%s.dir: %s: not an existing directory", o.path, t.Dir)
	}
	if t.TotalBytes < 2*t.FileBytes {
		return nil, fmt.Errorf("%s.budget_mb: less than twice the size of a file", o.path)
	}
	if !o.Has("part") {
		return t, nil
	}
	t.SamplePerMille = uint32(o.Number("part") * fullSamplePerMille)
	var err error
	if t.SamplePerMille < fullSamplePerMille {
		t.Key, err = readSectionKey(o, dir)
	}
	return t, err
}

// ReadKey reads a shared key from a file, which must not be readable by group or others.
func ReadKey(path string) (key [keyBytes]byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return key, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return key, fmt.Errorf("%s: others than its owner may read it", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return key, err
	}
	digits := strings.TrimSpace(string(text))
	if len(digits) != hex.EncodedLen(len(key)) {
		return key, fmt.Errorf("%s: %w", path, link.ErrKeySize)
	}
	if _, err := hex.Decode(key[:], []byte(digits)); err != nil {
		return key, fmt.Errorf("%s: %w", path, link.ErrKeySize)
	}
	return key, nil
}

// readSectionKey reads the key from the file named by key_file.
func readSectionKey(o Object, dir string) (key [keyBytes]byte, err error) {
	if key, err = ReadKey(absolutePath(o.Text("key_file"), dir)); err != nil {
		err = fmt.Errorf("%s.key_file: %w", o.path, err)
	}
	return key, err
}

// absolutePath resolves a relative path against dir.
func absolutePath(path, dir string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

func isDirectory(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}

// optionalMilliseconds returns the value of a field in milliseconds, or a default if it is missing.
func (o Object) optionalMilliseconds(field string, defaultValue time.Duration) time.Duration {
	if !o.Has(field) {
		return defaultValue
	}
	return time.Duration(o.Integer(field)) * time.Millisecond
}

// optionalInt returns the value of an integer field, or a default if it is missing.
func (o Object) optionalInt(field string, defaultValue int) int {
	if !o.Has(field) {
		return defaultValue
	}
	return int(o.Integer(field))
}
