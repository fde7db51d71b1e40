package link

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

var key, otherKey = [32]byte{1}, [32]byte{2}

// sessions returns the sessions of both sides of a connection.
func sessions() (forwarder, planner *Session) {
	forwarderNonce, plannerNonce := [16]byte{3}, [16]byte{4}
	return NewSession(&key, forwarderNonce, plannerNonce, true), NewSession(&key, forwarderNonce, plannerNonce, false)
}

// open opens a frame that must be all that was received.
func open(session *Session, received []byte, maxBytes int) (Frame, error) {
	size, err := FrameSize(received, maxBytes)
	if err != nil {
		return Frame{}, err
	}
	if size != len(received) {
		return Frame{}, fmt.Errorf("frame size is %d bytes, %d bytes received", size, len(received))
	}
	return session.Open(received)
}

func TestMessagesRoundTrip(t *testing.T) {
	forwarder, planner := sessions()
	change := view.Change{
		Incarnation: 7, Sequence: 2, Hosts: []view.Host{{
			Name: "a", Address: "x", Set: -3, Size: 1.5, ListedState: policy.Draining,
			Version: view.Version{Generation: 1, Revision: 41}, Position: 99, Role: policy.Replica, RolePosition: 98, RoleChanges: 1, Lateness: 3,
		}}, Removed: []string{"b"}, Digest: 5,
	}
	wire := planner.Seal(nil, KindChange, EncodeBody(change))
	for received := range wire {
		if size, err := FrameSize(wire[:received], MaxFrameBytes); size <= received || err != nil {
			t.Fatalf("%d bytes received: size %d, %v", received, size, err)
		}
		if _, err := forwarder.Open(wire[:received]); err == nil {
			t.Fatalf("a truncated frame of %d of %d bytes is accepted", received, len(wire))
		}
	}
	frame, err := open(forwarder, wire, MaxFrameBytes)
	decoded, decodeErr := DecodeChange(frame.Body)
	if frame.Kind != KindChange || err != nil || decodeErr != nil || !reflect.DeepEqual(decoded, change) {
		t.Errorf("%v %v %+v", err, decodeErr, decoded)
	}
	report := Report{Interval: 2000, Observations: []Observation{{Evidence: view.Evidence{Name: "a", Position: 4}, Responses: 2, LatenessSum: 300, BootedAt: 8, ColdWork: 1500}}}
	frame, err = open(planner, forwarder.Seal(nil, KindReport, EncodeBody(report)), MaxReportBytes)
	if err != nil || frame.Kind != KindReport {
		t.Fatalf("%v, kind %d", err, frame.Kind)
	}
	if decoded, err := DecodeReport(frame.Body); err != nil || !reflect.DeepEqual(decoded, report) {
		t.Errorf("%v %+v", err, decoded)
	}
}

func TestForgedAlteredReplayedAndReflectedFramesAreRejected(t *testing.T) {
	_, planner := sessions()
	first, second := planner.Seal(nil, KindChange, []byte("one")), planner.Seal(nil, KindChange, []byte("two"))
	altered := bytes.Clone(first)
	altered[6] ^= 1
	forwarderSession, _ := sessions()
	reflected := forwarderSession.Seal(nil, KindChange, []byte("one"))
	for name, frames := range map[string][][]byte{
		"altered byte":          {altered},
		"first frame missing":   {second},
		"first frame repeated":  {first, first},
		"reflected frame":       {reflected},
		"forged MAC":            {append(bytes.Clone(first[:len(first)-macBytes]), make([]byte, macBytes)...)},
		"second frame repeated": {first, second, second},
	} {
		forwarder, _ := sessions()
		var err error
		for _, frame := range frames {
			_, err = open(forwarder, frame, MaxFrameBytes)
		}
		if !errors.Is(err, ErrAuthentication) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestGreetingOfAnotherKeyOrVersionIsRejected(t *testing.T) {
	greeting := Greeting{Version: ProtocolVersion, Incarnation: 5, Nonce: [16]byte{6}, Name: "f1"}
	wire := AppendGreeting(nil, greeting, &key)
	if parsed, size, err := ParseGreeting(wire, &key); parsed != greeting || size != len(wire) || err != nil {
		t.Errorf("%+v %d %v", parsed, size, err)
	}
	if _, _, err := ParseGreeting(wire, &otherKey); !errors.Is(err, ErrAuthentication) {
		t.Errorf("greeting with another key: %v", err)
	}
	greeting.Version = 9
	_, size, err := ParseGreeting(AppendGreeting(nil, greeting, &key), &key)
	if size == 0 || err == nil || !strings.Contains(err.Error(), "version 9") {
		t.Errorf("greeting of another version: %v", err)
	}
	if err := (Greeting{Refusal: RefusalVersion}).RefusalError(); err == nil {
		t.Error("RefusalError returns nil for a refusal")
	}
}

func TestLengthIsCheckedBeforeAllocation(t *testing.T) {
	if _, err := FrameSize([]byte{0xff, 0xff, 0xff, 0xff, 1}, MaxReportBytes); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
	if _, err := FrameSize([]byte{0, 0, 0, 3, 1}, MaxReportBytes); !errors.Is(err, ErrMalformed) {
		t.Error(err)
	}
	forwarder, _ := sessions()
	if _, err := forwarder.Open(make([]byte, lengthBytes+minFrameLength-1)); !errors.Is(err, ErrMalformed) {
		t.Error(err)
	}
}

func FuzzBodies(f *testing.F) {
	f.Add(EncodeBody(view.Change{Incarnation: 1, Hosts: []view.Host{{Name: "a"}}}))
	f.Add(EncodeBody(Report{Observations: []Observation{{Evidence: view.Evidence{Name: "a"}}}}))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		if change, err := DecodeChange(body); err == nil {
			for _, host := range change.Hosts {
				if err := host.Validate(); err != nil {
					t.Fatalf("%+v: %v", host, err)
				}
			}
		}
		if report, err := DecodeReport(body); err == nil {
			decoded, err := DecodeReport(EncodeBody(report))
			if err != nil || len(decoded.Observations) != len(report.Observations) {
				t.Fatalf("%+v does not round-trip: %v", report, err)
			}
		}
	})
}

func FuzzGreeting(f *testing.F) {
	f.Add(AppendGreeting(nil, Greeting{Version: ProtocolVersion, Name: "f"}, &key))
	f.Add([]byte("fpln"))
	f.Fuzz(func(t *testing.T, received []byte) {
		greeting, size, err := ParseGreeting(received, &key)
		if err == nil && size > 0 && !bytes.Equal(AppendGreeting(nil, greeting, &key), received[:size]) {
			t.Fatalf("%+v", greeting)
		}
	})
}
