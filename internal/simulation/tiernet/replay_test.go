package tiernet

import (
	"bytes"
	"io"
	"testing"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/trace/replay"
	"ferrypitch/policy"
)

// memory is a file of one forwarder's life.
type memory struct {
	file  []byte
	whole bool // its router was not killed
}

func (m *memory) Get() *format.Block { return format.NewBlock(record.Schema) }

func (m *memory) Put(b *format.Block) bool {
	var err error
	if m.file, _, err = b.Append(m.file, int64(len(m.file))); err != nil {
		panic(err)
	}
	return true
}

// captured plays a world and gives the files of all lives.
func captured(t *testing.T, seed uint64) (files map[string]*memory, w *World) {
	files = map[string]*memory{}
	capture := func(f string, life int, d policy.Deployment) record.Sink {
		deployment, err := record.Deployment(d)
		if err != nil {
			t.Fatal(err)
		}
		m := &memory{}
		if m.file, err = format.AppendHeader(nil, format.Header{Router: f, Life: uint64(life), Part: 1000, Schema: record.Schema,
			More: map[string][]byte{"deployment": deployment}}); err != nil {
			t.Fatal(err)
		}
		files[f+string(rune('a'+life))] = m
		return m
	}
	w = NewCaptured(seed, small, capture)
	w.Run()
	for _, f := range w.forwarders {
		f.trace.Flush()
		files[f.name+string(rune('a'+f.life))].whole = true
	}
	return files, w
}

func TestEveryLifeOfEveryForwarderReplaysExactly(t *testing.T) {
	calls, asked := int64(0), int64(0)
	for seed := range uint64(20) {
		files, w := captured(t, seed)
		played(t, w, int(seed))
		for name, m := range files {
			r, err := format.NewReader(bytes.NewReader(m.file))
			if err != nil {
				t.Fatal(err)
			}
			again, err := replay.New(r.Header, 12)
			if err != nil {
				t.Fatal(err)
			}
			for {
				_, events, err := r.Next()
				if err == io.EOF {
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				for _, e := range events {
					if err := again.Event(e); err != nil {
						t.Fatalf("seed %d, %s: %v", seed, name, err)
					}
				}
			}
			again.End(m.whole)
			if again.Apart > 0 {
				t.Fatalf("seed %d, %s: %d of %d apart: %v", seed, name, again.Apart, again.Asked, again.Differences)
			}
			calls, asked = calls+again.Calls, asked+again.Asked
		}
	}
	t.Logf("%d calls, %d asked for, none apart", calls, asked)
	if asked < 100000 {
		t.Errorf("only %d decisions were held against", asked)
	}
}

func TestAReplayWithAnotherModuleSaysWhereItParts(t *testing.T) {
	files, _ := captured(t, 1)
	for _, m := range files {
		r, _ := format.NewReader(bytes.NewReader(m.file))
		d, _ := record.ReadDeployment(r.Header.More["deployment"])
		d.Seed++ // stands for a module that decides otherwise
		r.Header.More["deployment"], _ = record.Deployment(d)
		again, err := replay.New(r.Header, 12)
		if err != nil {
			t.Fatal(err)
		}
		for {
			_, events, err := r.Next()
			if err != nil {
				break
			}
			for _, e := range events {
				if again.Event(e) != nil {
					break
				}
			}
		}
		again.End(true)
		if again.Apart == 0 || len(again.Differences) == 0 || again.Differences[0].Recorded == again.Differences[0].Now {
			t.Errorf("%d apart: %v", again.Apart, again.Differences)
		}
	}
}
