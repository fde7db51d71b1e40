package settings

import (
	"context"
	"os"
	"time"
)

// watchInterval is how often Watch looks at the file.
const watchInterval = time.Second

// Watch sends signal on changed whenever the settings file has changed, until ctx ends. It never blocks: while a signal is
// waiting in the channel, which must be buffered, none is added.
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

func sameVersion(a, b os.FileInfo) bool {
	return a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}
