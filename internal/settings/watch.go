package settings

import (
	"context"
	"os"
	"time"
)

// Watch tells when the settings file was changed, with or without a signal, until ctx ends. changed has room for one
// word; one that is not taken yet stands for all since.
func Watch(ctx context.Context, changed chan<- os.Signal, signal os.Signal) {
	path := os.Getenv(EnvVar)
	seen, _ := os.Stat(path)
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now, err := os.Stat(path)
		if err != nil || seen != nil && now.ModTime().Equal(seen.ModTime()) && now.Size() == seen.Size() {
			continue
		}
		seen = now
		select {
		case changed <- signal:
		default:
		}
	}
}
