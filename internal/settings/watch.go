package settings

import (
	"context"
	"os"
	"time"
)

// watchInterval is the interval at which Watch checks the file.
const watchInterval = time.Second

// Watch polls the settings file until ctx ends, and sends signal to changed whenever the file has changed. Sending never blocks:
// if the channel, which must be buffered, is full, no further signal is added.
func Watch(ctx context.Context, changed chan<- os.Signal, signal os.Signal) {
	path := os.Getenv(EnvVar)
	last, _ := os.Stat(path)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current, err := os.Stat(path)
		if err != nil || last != nil && sameVersion(current, last) {
			continue
		}
		last = current
		select {
		case changed <- signal:
		default:
		}
	}
}

// sameVersion reports whether two versions of a file have the same modification time and size.
func sameVersion(a, b os.FileInfo) bool {
	return a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}
