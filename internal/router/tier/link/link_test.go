package link

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

var key, other = [32]byte{1}, [32]byte{2}

func pair() (forwarder, planner *Session) {
	f, p := [16]byte{3}, [16]byte{4}
	return NewSession(&key, f, p, true), NewSession(&key, f, p, false)
}

func TestAMessageComesThroughAndIsReadByItsFields(t *testing.T) {
	f, p := pair()
	c := view.Change{Life: 7, Seq: 2, Hosts: []view.Host{{Name: "a", Address: "x", Set: -3, Size: 1.5, Standing: policy.Draining,
		Version: view.Version{Gen: 1, Rev: 41}, Pos: 99, Role: policy.Replica, RoleAt: 98, Turn: 1, Late: 3}}, Dropped: []string{"b"}, Digest: 5}
	wire := p.Seal(nil, KindChange, Body(c))
	for cut := range wire {
		if _, _, n, _, err := f.Open(wire[:cut], FrameMost); n != 0 || err != nil {
			t.Fatalf("cut at %d: %d %v", cut, n, err)
		}
	}
	kind, body, n, _, err := f.Open(wire, FrameMost)
	if got, bad := ReadChange(body); kind != KindChange || n != len(wire) || err != nil || bad != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("%v %v %+v", err, bad, got)
	}
	r := Report{Every: 2000, Heard: []Heard{{Evidence: view.Evidence{Name: "a", Pos: 4}, Count: 2, Sum: 300, Boot: 8, Cold: 1500}}}
	_, body, _, _, _ = p.Open(f.Seal(nil, KindReport, Body(r)), ReportMost)
	if got, err := DecodeReport(body); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%v %+v", err, got)
	}
}

func TestNothingForgedChangedRepeatedOrTurnedRoundIsTaken(t *testing.T) {
	_, p := pair()
	one, two := p.Seal(nil, KindChange, []byte("one")), p.Seal(nil, KindChange, []byte("two"))
	for name, frames := range map[string][][]byte{
		"a flipped byte":    {append(append([]byte{}, one[:6]...), append([]byte{one[6] ^ 1}, one[7:]...)...)},
		"the second first":  {two},
		"the first twice":   {one, one},
		"another direction": {func() []byte { f, _ := pair(); return f.Seal(nil, KindChange, []byte("one")) }()},
	} {
		f, _ := pair()
		var err error
		for _, frame := range frames {
			_, _, _, _, err = f.Open(frame, FrameMost)
		}
		if !errors.Is(err, ErrAuthentication) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestAGreetingOfAnotherKeyOrVersionIsRefusedClearly(t *testing.T) {
	g := Greeting{Version: ProtocolVersion, Incarnation: 5, Nonce: [16]byte{6}, Name: "f1"}
	wire := AppendGreeting(nil, g, &key)
	if got, n, err := ParseGreeting(wire, &key); got != g || n != len(wire) || err != nil {
		t.Errorf("%+v %d %v", got, n, err)
	}
	if _, _, err := ParseGreeting(wire, &other); !errors.Is(err, ErrAuthentication) {
		t.Errorf("another key: %v", err)
	}
	g.Version = 9
	if _, n, err := ParseGreeting(AppendGreeting(nil, g, &key), &key); n == 0 || err == nil || !strings.Contains(err.Error(), "version 9") {
		t.Errorf("another version: %v", err)
	}
	if err := (Greeting{Refusal: RefusalVersion}).RefusalError(); err == nil {
		t.Error("a refusal goes unsaid")
	}
}

func TestALengthIsRefusedBeforeItIsAllocated(t *testing.T) {
	f, _ := pair()
	if _, _, _, _, err := f.Open([]byte{0xff, 0xff, 0xff, 0xff, 1}, ReportMost); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
	if _, _, _, _, err := f.Open([]byte{0, 0, 0, 3, 1}, ReportMost); !errors.Is(err, ErrMalformed) {
		t.Error(err)
	}
}

func FuzzBodies(f *testing.F) {
	f.Add(Body(view.Change{Life: 1, Hosts: []view.Host{{Name: "a"}}}))
	f.Add(Body(Report{Heard: []Heard{{Evidence: view.Evidence{Name: "a"}}}}))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		if c, err := ReadChange(body); err == nil {
			for _, h := range c.Hosts {
				if h.Validate() != "" {
					t.Fatalf("%+v", h)
				}
			}
		}
		if r, err := DecodeReport(body); err == nil {
			again, err := DecodeReport(Body(r))
			if err != nil || len(again.Heard) != len(r.Heard) {
				t.Fatalf("%+v does not come back: %v", r, err)
			}
		}
	})
}

func FuzzGreeting(f *testing.F) {
	f.Add(AppendGreeting(nil, Greeting{Version: ProtocolVersion, Name: "f"}, &key))
	f.Add([]byte("fpln"))
	f.Fuzz(func(t *testing.T, b []byte) {
		g, n, err := ParseGreeting(b, &key)
		if err == nil && n > 0 && !bytes.Equal(AppendGreeting(nil, g, &key), b[:n]) {
			t.Fatalf("%+v", g)
		}
	})
}
