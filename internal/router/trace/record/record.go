// Package record turns the calls into the decision module, and what the module
// asks for, into the events of a trace, in the module's own order. With the
// deployment in the header that is enough to drive the module again; package
// replay does.
//
// Events go from the owner of the module into columns of a block in memory, and
// full blocks into a Sink, which is the queue of a file writer:
//
//	routing -> Recorder (format.Block) -> Sink (file.Writer) -> files
//
// Recording never waits. If the Sink has no empty block, events are lost, and the
// next block says how many were.
package record

import (
	"github.com/zeebo/blake3"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/policy"
)

const (
	// allSessions is a sample of every session, in thousandths.
	allSessions = 1000
	// clockInterval is the least time between two readings of the system's clock, in tenths of a millisecond.
	clockInterval = 10000
	// thousandths is the unit of work, lateness and shares in events.
	thousandths = 1000
)

// notSampled is the pending command of a session that is not recorded.
const notSampled = -1

// Sink accepts full blocks and supplies empty ones. Neither method waits.
type Sink interface {
	// Put takes a block and returns true, or leaves it to the caller.
	Put(block *format.Block) bool
	// Get returns an empty block, or nil if there is none.
	Get() *format.Block
}

// Recorder records one router. It is not safe for concurrent use; the owner of the
// decision module calls it. A nil Recorder records nothing.
type Recorder struct {
	sink           Sink
	block          *format.Block // nil while the sink has none
	blockBytes     int
	unreportedLost uint64 // events lost that no block says yet

	sampledPerMille uint32
	key             [32]byte // of the choice of sessions
	withCandidates  bool

	now            int64
	nextClockAt    int64
	hosts          map[*policy.Host]int64
	commands       map[*policy.Command]int64
	lastHost       int64 // number
	lastCommand    int64 // number
	pendingCommand int64 // that Take was called for and whose handle is not known yet; 0: none

	RecordedEvents, LostEvents uint64
}

// New returns a recorder of blocks of about blockBytes. sampledPerMille is how many
// sessions in a thousand are recorded, chosen by a hash with a key; a replay needs
// all 1000. withCandidates records the hosts that each dispatch could choose too.
func New(sink Sink, blockBytes int, sampledPerMille uint32, key [32]byte, withCandidates bool) *Recorder {
	return &Recorder{
		sink: sink, blockBytes: blockBytes, sampledPerMille: sampledPerMille, key: key, withCandidates: withCandidates,
		hosts: map[*policy.Host]int64{}, commands: map[*policy.Command]int64{},
	}
}

// SetTime sets the time of the events that follow, as the module was told it.
func (r *Recorder) SetTime(now policy.TenthMs) {
	if r != nil {
		r.now = now
	}
}

// SystemClock records a reading of the system's clock, in tenths of a millisecond of
// Unix time, if the last one recorded is a second old.
func (r *Recorder) SystemClock(reading int64) {
	if r != nil && r.now >= r.nextClockAt {
		r.nextClockAt = r.now + clockInterval
		r.addNumbers(Clock, reading)
	}
}

// Flush passes the events gathered so far to the sink.
func (r *Recorder) Flush() {
	if r == nil || r.block == nil || r.block.Len() == 0 {
		return
	}
	if r.sink.Put(r.block) {
		r.block = nil
		return
	}
	lost := uint64(r.block.Len())
	r.LostEvents += lost
	r.block.Reset()
	r.block.AddLost(r.unreportedLost + lost)
	r.unreportedLost = 0
}

// addNumbers adds an event without texts.
func (r *Recorder) addNumbers(kind int, numbers ...int64) { r.addEvent(kind, numbers, nil) }

func (r *Recorder) addEvent(kind int, numbers []int64, texts []string) {
	if r.block == nil && !r.takeBlock() {
		r.unreportedLost++
		r.LostEvents++
		return
	}
	r.block.Add(r.now, kind, numbers, texts)
	r.RecordedEvents++
	if r.block.Full(r.blockBytes) {
		r.Flush()
	}
}

// takeBlock takes an empty block from the sink, if there is one, and notes in it the events lost before.
func (r *Recorder) takeBlock() bool {
	r.block = r.sink.Get()
	if r.block == nil {
		return false
	}
	r.block.AddLost(r.unreportedLost)
	r.unreportedLost = 0
	return true
}

// isSampled reports whether a session is recorded. The first bytes of its keyed hash decide.
func (r *Recorder) isSampled(session string) bool {
	if r.sampledPerMille >= allSessions {
		return true
	}
	hasher, err := blake3.NewKeyed(r.key[:])
	if err != nil {
		panic(err) // only for a key of another size than its type has
	}
	hasher.WriteString(session)
	sum := hasher.Sum(nil)
	number := uint32(sum[0]) | uint32(sum[1])<<8 | uint32(sum[2])<<16
	return number%allSessions < r.sampledPerMille
}

// commandNumber returns the number of a command; 0 if it is not recorded.
func (r *Recorder) commandNumber(command *policy.Command) int64 {
	if number, known := r.commands[command]; known {
		return number
	}
	return max(0, r.pendingCommand)
}

func flag(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
