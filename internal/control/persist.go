package control

import (
	"time"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/eventloop"
)

const (
	// scrubInterval is how often the file is read and checked. It has a few MB at most.
	scrubInterval     = 30 * time.Second
	diskRetryInterval = 200 * time.Millisecond
	walCompactBytes   = 2 << 20 // a shorter file is not compacted
)

// persistLoop is the goroutine that waits for the disk. Writes that are queued meanwhile share one sync.
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

// persistQueued writes what is queued, and compacts the file. It returns false if the context has ended.
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

// scrub checks the file, which is mended where it is damaged.
func (p *process) scrub() {
	damaged, err := p.wal.Scrub()
	if damaged {
		p.server.DiskDamages.Add(1)
		p.log.Error("the write-ahead log was damaged on disk, and is written anew", "error", err)
	} else if err != nil {
		p.log.Error("checking the write-ahead log failed", "error", err)
	}
}

// save writes until it succeeds. It returns false if the context ends before.
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
