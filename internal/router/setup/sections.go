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

// keyBytes is the size of the key that planners and forwarders share.
const keyBytes = 32

// ForwarderSection is the section of a forwarder, which serves clients by the views of planners.
type ForwarderSection struct {
	Planners         []string // addresses
	Key              [keyBytes]byte
	ViewFile         string        // file that keeps the view for the next start; empty for none
	ViewFileInterval time.Duration // between two writes of that file, at least

	RetryDelay     time.Duration // first step of the backoff of a link
	MaxRetryDelay  time.Duration // last step of the backoff of a link
	ReportInterval time.Duration // between two reports
	PlannerTimeout time.Duration // after which a silent planner counts as lost

	DialTimeout     time.Duration // for a link to come up, its handshake included
	MaxQueuedFrames int           // frames that may wait to be sent
	WriteTimeout    time.Duration // for a frame to be sent
	MaxFrameBytes   int           // the longest frame that is accepted, in bytes
}

// PlannerSection is the section of a planner, which watches discovery and checks the hosts' health for forwarders.
type PlannerSection struct {
	Listen     string // address for forwarders
	Key        [keyBytes]byte
	Generation uint64

	MaxForwarders          int           // at most
	MaxProbesInFlight      int           // health checks in flight, at most
	ProbesPerSecond        int           // health checks a second, at most
	ReportsPerSecond       int           // reports of forwarders a second, at most
	FramesPerSecond        int           // frames a second to all forwarders, at most
	PositionBytesPerSecond int           // bytes of positions a second to all forwarders, at most
	ChangeInterval         time.Duration // between two changes that forwarders are sent, at least
	ProbeInterval          time.Duration // after which a host that nobody has heard of is checked
	PrimaryProbeInterval   time.Duration // between two checks where a set's primary is unknown or silent

	HandshakeTimeout time.Duration // for a forwarder's handshake
	MaxHandshakes    int           // connections whose handshake is not complete, at most
	MaxQueuedFrames  int           // frames that may wait for a slow reader
	WriteTimeout     time.Duration // for a part of a frame to be sent
	MaxFrameBytes    int           // the longest frame that is accepted, in bytes
}

// TraceSection is the section of trace capture.
type TraceSection struct {
	Dir    string
	Part   uint32         // of sessions that are captured, in thousandths
	Key    [keyBytes]byte // of the hash that selects sessions, where not all are captured
	Detail bool           // the candidates of each dispatch are captured too

	Size   int64         // of a file, in bytes, about
	Budget int64         // of all files, in bytes
	Age    time.Duration // after which a new file begins
	Flush  time.Duration // between two writes of what is buffered
	Block  int           // bytes that are gathered before they are written, about
	Blocks int           // blocks in memory
}

// wholePart is Trace.Part where all sessions are captured.
const wholePart = 1000

// FullTrace captures everything into a folder that may be in memory, as a router without an operator's file does.
func FullTrace(dir string) *TraceSection {
	return &TraceSection{
		Dir: dir, Part: wholePart, Size: 4 << 20, Budget: 12 << 20, Age: time.Hour, Flush: time.Second,
		Block: 128 << 10, Blocks: 3,
	}
}

// readForward reads a forwarder's section. Relative paths are relative to dir, as in all sections.
func readForward(o Object, dir string) (*ForwarderSection, error) {
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
		if !isFolder(filepath.Dir(f.ViewFile)) {
			return nil, fmt.Errorf("%s.keep: %s: its folder is not there", o.path, f.ViewFile)
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

// readPlan reads a planner's section.
func readPlan(o Object, dir string) (*PlannerSection, error) {
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

// readTrace reads the section of trace capture.
func readTrace(o Object, dir string) (*TraceSection, error) {
	t := &TraceSection{
		Dir:    o.Text("dir"),
		Part:   wholePart,
		Detail: !o.Has("detail") || o.Flag("detail"),
		Size:   int64(o.optionalInt("file_mb", 64)) << 20,
		Budget: int64(o.optionalInt("budget_mb", 1024)) << 20,
		Age:    o.optionalMilliseconds("file_ms", time.Hour),
		Flush:  time.Second,
		Block:  256 << 10,
		Blocks: 4,
	}
	t.Dir = absolutePath(t.Dir, dir)
	if !isFolder(t.Dir) {
		return nil, fmt.Errorf("%s.dir: %s: not a folder that is there", o.path, t.Dir)
	}
	if t.Budget < 2*t.Size {
		return nil, fmt.Errorf("%s.budget_mb: less than two files", o.path)
	}
	if !o.Has("part") {
		return t, nil
	}
	t.Part = uint32(o.Number("part") * wholePart)
	var err error
	if t.Part < wholePart {
		t.Key, err = readSectionKey(o, dir)
	}
	return t, err
}

// ReadKey reads a shared key from a file, which nobody but its owner may be able to read.
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

// readSectionKey reads the key whose file a section names.
func readSectionKey(o Object, dir string) (key [keyBytes]byte, err error) {
	if key, err = ReadKey(absolutePath(o.Text("key_file"), dir)); err != nil {
		err = fmt.Errorf("%s.key_file: %w", o.path, err)
	}
	return key, err
}

// absolutePath returns a path relative to dir, unless it is absolute.
func absolutePath(path, dir string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

func isFolder(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}

// optionalMilliseconds returns a number of milliseconds, or a default for a field that is missing.
func (o Object) optionalMilliseconds(field string, byDefault time.Duration) time.Duration {
	if !o.Has(field) {
		return byDefault
	}
	return time.Duration(o.Integer(field)) * time.Millisecond
}

// optionalInt returns an integer, or a default for a field that is missing.
func (o Object) optionalInt(field string, byDefault int) int {
	if !o.Has(field) {
		return byDefault
	}
	return int(o.Integer(field))
}
