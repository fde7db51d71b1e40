package service

import (
	"testing"
	"time"

	"ferrypitch/internal/router/setup"
)

func TestConnectionsStayOpenWhileCommandsCanBeAnswered(t *testing.T) {
	limits := setup.Limits{AcceptPeriod: 500 * time.Millisecond, ShutdownTimeout: 1400 * time.Millisecond}
	for timeToAnswer, want := range map[time.Duration]time.Duration{
		0:                      1400 * time.Millisecond, // no command was answered so far
		200 * time.Millisecond: 1200 * time.Millisecond,
		2 * time.Second:        limits.AcceptPeriod,
	} {
		if got := drainDelay(&limits, timeToAnswer); got != want {
			t.Errorf("answers take %v: connections stay open for %v, not %v", timeToAnswer, got, want)
		}
	}
}
