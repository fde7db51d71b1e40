// Package record records the calls into the decision module (policy.Router) and the
// module's calls of policy.Caller as the events of a trace, in the order in which they
// happen. With the deployment in the trace's header, the events suffice for package
// replay to run the module again.
//
// The owner of the module adds events to a block in memory. Full blocks go to a Sink,
// which is the queue of a file writer:
//
//	routing -> Recorder (format.Block) -> Sink (file.Writer) -> files
//
// Recording never blocks. If the Sink has no empty block, events are lost, and the next
// block states their number.
package record

import (
	"github.com/zeebo/blake3"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/policy"
)

const (
	// allSessions is the sampling rate at which every session is recorded, in thousandths.
	allSessions = 1000
	// clockInterval is the minimum interval between two recorded readings of the system clock, in tenths of a millisecond.
	clockInterval = 10000
	// thousandths is the scale of work, latency ratios and shares in events.
	thousandths = 1000
)

// notSampled is the value of Recorder.pendingCommand for a command whose session is not recorded.
const notSampled = -1

// Sink accepts full blocks and supplies empty ones. Neither method blocks.
type Sink interface {
	// Put takes a block and returns true, or returns false and the caller keeps the block.
	Put(block *format.Block) bool
	// Get returns an empty block, or nil if there is none.
	Get() *format.Block
}

// Recorder records the events of one router. It is not safe for concurrent use; the owner of
// the decision module calls it. A nil Recorder records nothing.
type Recorder struct {
	sink           Sink
	block          *format.Block // nil until the sink supplies one
	blockBytes     int           // size at which a block is passed to the sink
	unreportedLost uint64        // lost events that no block states yet

	sampledPerMille  uint32
	samplingKey      [32]byte // keys the hash by which sessions are sampled
	recordCandidates bool

	now            int64                     // time of the events that follow
	nextClockAt    int64                     // earliest time of the next Clock event
	hosts          map[*policy.Host]int64    // number in the trace
	commands       map[*policy.Command]int64 // number in the trace
	lastHost       int64                     // number of the newest host
	lastCommand    int64                     // number of the newest command
	pendingCommand int64                     // number of the command in Submit, whose handle is not known yet; 0: none

	RecordedEvents, LostEvents uint64
}

// New returns a recorder that fills blocks up to about blockBytes. sampledPerMille is the
// number of sessions in 1000 that are recorded, selected by a hash keyed with samplingKey; a
// replay requires all 1000. With recordCandidates, each dispatch is preceded by an event for
// every host that it could have chosen.
func New(sink Sink, blockBytes int, sampledPerMille uint32, samplingKey [32]byte, recordCandidates bool) *Recorder {
	return &Recorder{
		sink: sink, blockBytes: blockBytes, sampledPerMille: sampledPerMille, samplingKey: samplingKey, recordCandidates: recordCandidates,
		hosts: map[*policy.Host]int64{}, commands: map[*policy.Command]int64{},
	}
}

// SetTime sets the time of the events that follow. It must be the time that the module was given.
func (r *Recorder) SetTime(now policy.TenthMs) {
	if r != nil {
		r.now = now
	}
}

// SystemClock records a reading of the system clock, in tenths of a millisecond of Unix
// time, if the last recorded one is at least a second old.
func (r *Recorder) SystemClock(reading int64) {
	if r != nil && r.now >= r.nextClockAt {
		r.nextClockAt = r.now + clockInterval
		r.addNumbers(Clock, reading)
	}
}

// Flush passes the buffered events to the sink. If the sink does not accept them, they are lost.
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

// addNumbers adds an event of a kind without text columns.
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

// takeBlock takes an empty block from the sink, if there is one, and states in it the number of events lost before.
func (r *Recorder) takeBlock() bool {
	r.block = r.sink.Get()
	if r.block == nil {
		return false
	}
	r.block.AddLost(r.unreportedLost)
	r.unreportedLost = 0
	return true
}

// isSampled reports whether a session is recorded, as determined by the first bytes of its keyed hash.
func (r *Recorder) isSampled(session string) bool {
	if r.sampledPerMille >= allSessions {
		return true
	}
	hasher, err := blake3.NewKeyed(r.samplingKey[:])
	if err != nil {
		panic(err) // cannot happen: the key has the required length
	}
	hasher.WriteString(session)
	sum := hasher.Sum(nil)
	number := uint32(sum[0]) | uint32(sum[1])<<8 | uint32(sum[2])<<16
	return number%allSessions < r.sampledPerMille
}

// commandNumber returns the number of a command in the trace, or 0 if the command is not recorded.
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
