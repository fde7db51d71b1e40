package control

import (
	"time"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/eventloop"
)

const (
	diskRetryInterval = 200 * time.Millisecond
	walCompactBytes   = 2 << 20 // a shorter file is not compacted
)

// persistLoop is the goroutine that waits for the disk. Writes that are queued meanwhile share one sync.
func (p *process) persistLoop() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case writes := <-p.writes:
			writes = p.appendQueuedWrites(writes)
			if !p.save(writes) {
				return
			}
			sequence := writes[len(writes)-1].Seq
			p.queue.Put(eventloop.PriorityOutcomes, func() { p.server.Persisted(sequence) })
			if err := p.wal.Compact(walCompactBytes); err != nil {
				p.log.Error("compacting the write-ahead log failed", "error", err)
			}
		}
	}
}

func (p *process) appendQueuedWrites(writes []consensus.Write) []consensus.Write {
	for {
		select {
		case more := <-p.writes:
			writes = append(writes, more...)
		default:
			return writes
		}
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
