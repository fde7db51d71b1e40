package setup

import (
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"ferrypitch/internal/router/tier/link"
	"ferrypitch/policy"
)

// Schema is the JSON schema of the operator's file.
//
//go:embed operator.schema.json
var Schema []byte

var schema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(string(Schema)))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operator.schema.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("operator.schema.json")
})

// Operator is an operator's file: what a router starts with, and the sections of the sub-commands.
type Operator struct {
	Start   *Start
	Forward *Forward // nil where the file has none
	Plan    *Plan
	Trace   *Trace
}

// Forward is the section of a forwarder.
type Forward struct {
	Planners []string
	Key      [32]byte
	Keep     string        // where the view is kept for the next start; empty: nowhere
	Kept     time.Duration // between two of them, at the least

	Again, Most, Report, Silent time.Duration // see follower.Terms
	Dial                        time.Duration // for a link to come up, its greeting included
	Queue                       int           // frames that may wait to be sent
	Write                       time.Duration // for a frame to be sent
	Frame                       int           // the longest that is taken, in bytes
}

// Plan is the section of a planner.
type Plan struct {
	Listen     string
	Key        [32]byte
	Generation uint64

	Forwarders, Probes, PerSecond, Reports, Frames, Bytes int // see planner.Terms
	Beat, Probe, Search                                   time.Duration
	Greet                                                 time.Duration // for a forwarder to say who it is
	Greeting                                              int           // connections that have not yet
	Queue                                                 int           // frames that may wait for a slow reader
	Write                                                 time.Duration // for some of a frame to be taken
	Frame                                                 int           // the longest that is taken, in bytes
}

// LoadOperator reads and checks an operator's file. Its errors name the file and the key.
func LoadOperator(path string, getenv func(string) string) (*Operator, error) {
	o, err := loadOperator(path, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	o.Start.load = func(getenv func(string) string) (*Start, error) {
		again, err := LoadOperator(path, getenv)
		if err != nil {
			return nil, err
		}
		return again.Start, nil
	}
	return o, nil
}

func loadOperator(path string, getenv func(string) string) (o *Operator, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Unwrap(err)
	}
	if err := checkSchema(text); err != nil {
		return nil, err
	}
	top, err := Decode("", text)
	if err != nil {
		return nil, err
	}
	defer Catch(&err)
	if o = (&Operator{}); top.Has("forward") {
		if o.Forward, err = readForward(top.Within("forward"), filepath.Dir(path)); err != nil {
			return nil, err
		}
	}
	if top.Has("plan") {
		if o.Plan, err = readPlan(top.Within("plan"), filepath.Dir(path)); err != nil {
			return nil, err
		}
	}
	if top.Has("trace") {
		if o.Trace, err = readTrace(top.Within("trace"), filepath.Dir(path)); err != nil {
			return nil, err
		}
	}
	o.Start, err = readStart(top, getenv, o.Forward == nil && o.Plan == nil)
	return o, err
}

// checkSchema holds a file against the schema; the first fault is named by its key.
func checkSchema(text []byte) error {
	s, err := schema()
	if err != nil {
		return fmt.Errorf("the schema: %w", err)
	}
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(string(text)))
	if err != nil {
		var at *json.SyntaxError
		if errors.As(err, &at) {
			return fmt.Errorf("line %d: %w", 1+strings.Count(string(text[:min(int64(len(text)), at.Offset)]), "\n"), err)
		}
		return err
	}
	var bad *jsonschema.ValidationError
	if err := s.Validate(doc); errors.As(err, &bad) {
		for len(bad.Causes) > 0 {
			bad = bad.Causes[0]
		}
		return schemaError(bad)
	} else if err != nil {
		return err
	}
	return nil
}

func schemaError(bad *jsonschema.ValidationError) error {
	key := ""
	for _, part := range bad.InstanceLocation {
		switch _, err := strconv.Atoi(part); {
		case err == nil:
			key += "[" + part + "]"
		case key != "":
			key += "." + part
		default:
			key = part
		}
	}
	within := func(name string) string {
		if key == "" {
			return name
		}
		return key + "." + name
	}
	switch k := bad.ErrorKind.(type) {
	case *kind.Required:
		return fmt.Errorf("%s: missing", within(k.Missing[0]))
	case *kind.AdditionalProperties:
		return fmt.Errorf("%s: not a key that is known", within(k.Properties[0]))
	}
	text := bad.Error()
	if _, after, ok := strings.Cut(text, "': "); ok {
		text = after
	}
	text, _, _ = strings.Cut(text, "\n")
	if key == "" {
		key = "the file"
	}
	return fmt.Errorf("%s: %s", key, text)
}

// ReadKey reads a shared key from a file, which others must not be able to read.
func ReadKey(path string) (k [32]byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return k, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return k, fmt.Errorf("%s: others than its owner may read it", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return k, err
	}
	digits := strings.TrimSpace(string(text))
	if len(digits) != 2*len(k) {
		return k, fmt.Errorf("%s: %w", path, link.ErrKeySize)
	}
	if _, err := hex.Decode(k[:], []byte(digits)); err != nil {
		return k, fmt.Errorf("%s: %w", path, link.ErrKeySize)
	}
	return k, nil
}

// readSectionKey reads the key that a section names.
func readSectionKey(o Object, dir string) (k [32]byte, err error) {
	path := o.Text("key_file")
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	if k, err = ReadKey(path); err != nil {
		err = fmt.Errorf("%s.key_file: %w", o.path, err)
	}
	return k, err
}

// optionalMilliseconds is a field in them, or what stands for it.
func (o Object) optionalMilliseconds(field string, otherwise time.Duration) time.Duration {
	if !o.Has(field) {
		return otherwise
	}
	return time.Duration(o.Integer(field)) * time.Millisecond
}

func (o Object) optionalInt(field string, otherwise int) int {
	if !o.Has(field) {
		return otherwise
	}
	return int(o.Integer(field))
}

func readForward(o Object, dir string) (*Forward, error) {
	f := &Forward{Again: 50 * time.Millisecond, Most: 5 * time.Second, Report: o.optionalMilliseconds("report_ms", 200*time.Millisecond),
		Silent: o.optionalMilliseconds("silent_ms", 2*time.Second), Dial: 2 * time.Second, Queue: 16, Write: 2 * time.Second, Frame: link.FrameMost}
	if f.Kept = time.Second; o.Has("keep") {
		if f.Keep = o.Text("keep"); !filepath.IsAbs(f.Keep) {
			f.Keep = filepath.Join(dir, f.Keep)
		}
		if info, err := os.Stat(filepath.Dir(f.Keep)); err != nil || !info.IsDir() {
			return nil, fmt.Errorf("%s.keep: %s: its folder is not there", o.path, f.Keep)
		}
	}
	for i, p := range o.List("planners") {
		a, _ := p.(string)
		requireAddress(a, o.path+".planners["+strconv.Itoa(i)+"]")
		f.Planners = append(f.Planners, a)
	}
	var err error
	f.Key, err = readSectionKey(o, dir)
	return f, err
}

// Trace is the section of capture.
type Trace struct {
	Dir    string
	Part   uint32 // of sessions, in thousandths
	Key    [32]byte
	Detail bool

	Size, Budget int64
	Age, Flush   time.Duration
	Block        int // bytes gathered before they are handed over, about
	Blocks       int // that there are in all
}

// FullTrace is full capture into a folder that may be memory, as a router without an operator's file has it.
func FullTrace(dir string) *Trace {
	return &Trace{Dir: dir, Part: 1000, Size: 4 << 20, Budget: 12 << 20, Age: time.Hour, Flush: time.Second, Block: 128 << 10, Blocks: 3}
}

func readTrace(o Object, dir string) (*Trace, error) {
	t := &Trace{Dir: o.Text("dir"), Part: 1000, Detail: !o.Has("detail") || o.Flag("detail"),
		Size: int64(o.optionalInt("file_mb", 64)) << 20, Budget: int64(o.optionalInt("budget_mb", 1024)) << 20,
		Age: o.optionalMilliseconds("file_ms", time.Hour), Flush: time.Second, Block: 256 << 10, Blocks: 4}
	if !filepath.IsAbs(t.Dir) {
		t.Dir = filepath.Join(dir, t.Dir)
	}
	if info, err := os.Stat(t.Dir); err != nil || !info.IsDir() {
		return nil, fmt.Errorf("%s.dir: %s: not a folder that is there", o.path, t.Dir)
	}
	if t.Budget < 2*t.Size {
		return nil, fmt.Errorf("%s.budget_mb: less than two files", o.path)
	}
	if !o.Has("part") {
		return t, nil
	}
	t.Part = uint32(o.Number("part") * 1000)
	var err error
	if t.Part < 1000 {
		t.Key, err = readSectionKey(o, dir)
	}
	return t, err
}

func readPlan(o Object, dir string) (*Plan, error) {
	p := &Plan{Listen: o.Text("listen"), Forwarders: o.optionalInt("forwarders", 5000), Probes: o.optionalInt("probes", 64),
		PerSecond: o.optionalInt("probes_per_second", 400), Reports: o.optionalInt("reports_per_second", 1000),
		Frames: o.optionalInt("frames_per_second", 20000), Bytes: o.optionalInt("position_bytes_per_second", 20_000_000),
		Beat: o.optionalMilliseconds("beat_ms", 100*time.Millisecond), Probe: o.optionalMilliseconds("probe_ms", 500*time.Millisecond),
		Search: o.optionalMilliseconds("search_ms", 50*time.Millisecond), Greet: 2 * time.Second, Greeting: 256, Queue: 32,
		Write: 2 * time.Second, Frame: link.ReportMost}
	requireAddress(p.Listen, o.path+".listen")
	if o.Has("generation") {
		p.Generation = uint64(o.Integer("generation"))
	}
	var err error
	p.Key, err = readSectionKey(o, dir)
	return p, err
}

// Subcommands names the sub-commands that the file is good for.
func (o *Operator) Subcommands() (names []string) {
	if o.CheckStandalone("") == nil {
		names = append(names, "serve")
	}
	if o.Forward != nil && o.Start.Listen != "" {
		names = append(names, "forward")
	}
	if o.Plan != nil && o.Start.Discovery != "" {
		names = append(names, "plan")
	}
	return names
}

// CheckStandalone says what a router without planners lacks.
func (o *Operator) CheckStandalone(path string) error {
	switch {
	case o.Start.Listen == "":
		return fmt.Errorf("%s: listen: missing", path)
	case o.Start.Discovery == "":
		return fmt.Errorf("%s: discovery: missing", path)
	}
	return nil
}

// AsForwarder has a router live by views alone: it probes nothing, talks to no peers, and what it was given as
// known is for the view.
func (s *Start) AsForwarder() {
	all := []*policy.Deployment{&s.Deployment}
	if s.NextSettings != nil {
		all = append(all, &s.NextSettings.Deployment)
	}
	for _, d := range all {
		d.Told, d.Probes, d.Peers, d.AskWithin = true, false, false, 0
	}
	s.InitialView, s.InitialList = s.InitialList, Object{}
}
