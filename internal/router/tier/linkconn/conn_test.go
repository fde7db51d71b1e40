package linkconn

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"ferrypitch/internal/router/tier/link"
)

var key = [32]byte{1}

const (
	queueLength  = 4
	writeTimeout = time.Second
)

// connect performs the handshake of a forwarder and a planner over a pipe. accept is the planner's decision.
func connect(t *testing.T, accept bool) (forwarder, planner *Conn, forwarderErr, plannerErr error) {
	t.Helper()
	forwarderSocket, plannerSocket := net.Pipe()
	t.Cleanup(func() {
		forwarderSocket.Close()
		plannerSocket.Close()
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		planner, plannerErr = PlannerHandshake(plannerSocket, &key, "planner", 7, queueLength, link.MaxReportBytes, writeTimeout,
			func(link.Greeting) bool { return accept })
	}()
	forwarder, forwarderErr = ForwarderHandshake(forwarderSocket, &key, "forwarder", 5, queueLength, link.MaxFrameBytes, writeTimeout)
	<-done
	return forwarder, planner, forwarderErr, plannerErr
}

func TestFramesCrossTheConnection(t *testing.T) {
	forwarder, planner, err, plannerErr := connect(t, true)
	if err != nil || plannerErr != nil {
		t.Fatal(err, plannerErr)
	}
	if planner.Peer.Name != "forwarder" || planner.Peer.Incarnation != 5 || forwarder.Peer.Name != "planner" {
		t.Errorf("%+v %+v", planner.Peer, forwarder.Peer)
	}
	planner.StartWriter()
	large := bytes.Repeat([]byte("x"), 3*maxIdleBufferBytes)
	planner.Send(link.KindChange, large)
	planner.Send(link.KindChange, []byte("small"))
	for _, expected := range [][]byte{large, []byte("small")} {
		frame, err := forwarder.ReadFrame()
		if err != nil || frame.Kind != link.KindChange || !bytes.Equal(frame.Body, expected) {
			t.Fatalf("%v, kind %d, %d bytes", err, frame.Kind, len(frame.Body))
		}
	}
	planner.CloseWithError(nil)
	planner.Wait()
	if _, err := forwarder.ReadFrame(); err == nil {
		t.Error("ReadFrame returns no error after the connection was closed")
	}
}

func TestRefusalReachesTheForwarder(t *testing.T) {
	_, _, err, plannerErr := connect(t, false)
	if expected := (link.Greeting{Refusal: link.RefusalCapacity}).RefusalError(); err == nil || err.Error() != expected.Error() {
		t.Errorf("the forwarder's error: %v", err)
	}
	if !errors.Is(plannerErr, errTooManyForwarders) {
		t.Errorf("the planner's error: %v", plannerErr)
	}
}

func TestFullQueueEndsTheConnection(t *testing.T) {
	_, planner, err, plannerErr := connect(t, true)
	if err != nil || plannerErr != nil {
		t.Fatal(err, plannerErr)
	}
	for range queueLength + 1 { // the writer is not started, so the queue fills up
		planner.Send(link.KindChange, nil)
	}
	if _, err := planner.ReadFrame(); !errors.Is(err, ErrSlowReader) {
		t.Errorf("%v", err)
	}
}
