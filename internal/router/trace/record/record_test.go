package record

import (
	"fmt"
	"testing"

	"ferrypitch/internal/router/trace/format"
)

// memorySink is a Sink that supplies and accepts blocks unless it is closed.
type memorySink struct {
	closed bool
	file   []byte
	blocks []format.BlockInfo
}

func (m *memorySink) Get() *format.Block {
	if m.closed {
		return nil
	}
	return format.NewBlock(Schema)
}

func (m *memorySink) Put(block *format.Block) bool {
	if m.closed {
		return false
	}
	var info format.BlockInfo
	var err error
	if m.file, info, err = block.Append(m.file, int64(len(m.file))); err != nil {
		panic(err)
	}
	m.blocks = append(m.blocks, info)
	return true
}

func TestLostEventsAreCountedInTheNextBlock(t *testing.T) {
	sink := &memorySink{}
	recorder := New(sink, 1<<20, allSessions, [32]byte{}, false)
	recorder.WakeUp()
	sink.closed = true
	recorder.Flush() // the sink does not accept the block: one event is lost
	recorder.WakeUp()
	sink.closed = false
	recorder.Flush()
	sink.closed = true
	recorder.WakeUp()
	recorder.WakeUp() // the sink supplies no block: two events are lost
	sink.closed = false
	recorder.WakeUp()
	recorder.Flush()
	if len(sink.blocks) != 2 || sink.blocks[0].Lost != 1 || sink.blocks[1].Lost != 2 {
		t.Errorf("%+v", sink.blocks)
	}
	if recorder.LostEvents != 3 || recorder.RecordedEvents != 3 {
		t.Errorf("%d events lost, %d recorded", recorder.LostEvents, recorder.RecordedEvents)
	}
}

func TestSampleIsChosenBySessionAndKey(t *testing.T) {
	const sessions, perMille = 5000, 200
	sampled := map[byte]map[string]bool{}
	for _, key := range []byte{1, 2} {
		recorder := New(&memorySink{}, 1<<20, perMille, [32]byte{key}, false)
		sampled[key] = map[string]bool{}
		for i := range sessions {
			session := fmt.Sprint("session-", i)
			if recorder.isSampled(session) {
				sampled[key][session] = true
			}
			if recorder.isSampled(session) != sampled[key][session] {
				t.Fatalf("%s is sampled once and not the second time", session)
			}
		}
		if n := len(sampled[key]); n < 900 || n > 1100 {
			t.Errorf("%d of %d sessions sampled at %d per mille", n, sessions, perMille)
		}
	}
	both := 0
	for session := range sampled[1] {
		if sampled[2][session] {
			both++
		}
	}
	if both > 300 {
		t.Errorf("%d sessions are sampled with both keys", both)
	}
}

func TestNilRecordersRecordNothing(_ *testing.T) {
	var recorder *Recorder
	recorder.SetTime(1)
	recorder.SystemClock(1)
	recorder.WakeUp()
	recorder.Submit("id", 0, 1, "session", 0, 0, false)
	recorder.Flush()
	var planner *Planner
	planner.SetTime(1, 1)
	planner.Probe("host")
	planner.Flush()
}
