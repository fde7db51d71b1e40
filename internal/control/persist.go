package control

import (
	"time"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/eventloop"
)

const (
	// scrubInterval is the interval at which the write-ahead log file is read and checked. The file has a few MB at most.
	scrubInterval     = 30 * time.Second
	diskRetryInterval = 200 * time.Millisecond
	walCompactBytes   = 2 << 20 // a smaller write-ahead log file is not compacted
)

// persistLoop writes to the disk in a goroutine of its own. Writes queued during a sync share the next one.
func (p *process) persistLoop() {
	scrub := time.NewTicker(scrubInterval)
	defer scrub.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-scrub.C:
			p.scrub()
		case <-p.writes.ready:
			if !p.persistQueued() {
				return
			}
		}
	}
}

// persistQueued performs all queued writes and compacts the file. It returns false if the context was canceled.
func (p *process) persistQueued() bool {
	writes := p.writes.takeAll()
	if len(writes) == 0 {
		return true
	}
	startedAt := time.Now()
	if !p.save(writes) {
		return false
	}
	p.server.PersistDurations.Observe(time.Since(startedAt))
	sequence := writes[len(writes)-1].Seq
	p.queue.Put(eventloop.PriorityOutcomes, func() { p.server.Persisted(sequence) })
	if err := p.wal.Compact(walCompactBytes); err != nil {
		p.log.Error("compacting the write-ahead log failed", "error", err)
	}
	return true
}

// scrub checks the write-ahead log file, which is rewritten if it is damaged.
func (p *process) scrub() {
	damaged, err := p.wal.Scrub()
	if damaged {
		p.server.DiskDamages.Add(1)
		p.log.Error("write-ahead log damaged on disk; rewriting it", "error", err)
	} else if err != nil {
		p.log.Error("checking the write-ahead log failed", "error", err)
	}
}

// save retries a write until it succeeds. It returns false if the context is canceled first.
func (p *process) save(writes []consensus.Write) bool {
	for {
		err := p.wal.Save(writes)
		if err == nil {
			return true
		}
		p.server.DiskErrors.Add(1)
		p.log.Error("writing to disk failed, retrying", "error", err)
		select {
		case <-p.ctx.Done():
			return false
		case <-time.After(diskRetryInterval):
		}
	}
}
