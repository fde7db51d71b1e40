package cluster

import (
	"context"
	"time"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/simulation/faultplan"
)

// runFaults carries out a schedule, in which events may overlap, and returns when all of them have ended.
func (k *soak) runFaults(ctx context.Context, events []faultplan.Event) {
	began := time.Now()
	for _, event := range events {
		if sleep(ctx, time.Until(began.Add(event.At))) != nil {
			break
		}
		k.log("event %s", event)
		k.tasks.Go(func() {
			if err := k.runEvent(ctx, event); err != nil {
				k.violate("EVENT: %s: %v", event, err)
			}
		})
	}
	k.tasks.Wait()
}

func (k *soak) runEvent(ctx context.Context, event faultplan.Event) error {
	switch event.Target {
	case faultplan.Member:
		return k.applyToNode(ctx, k.memberNodes[event.TargetIndex], event)
	case faultplan.Proxy:
		return k.applyToNode(ctx, k.proxyNodes[event.TargetIndex], event)
	case faultplan.NoTarget:
	}
	switch event.Kind {
	case faultplan.ChangeConfig:
		k.operators.change(ctx, event.Variant)
	case faultplan.RaceConfig:
		k.operators.race(ctx)
	case faultplan.InvalidConfig:
		k.operators.sendInvalid(ctx, event.Variant)
	default:
		return k.applyToHosts(event)
	}
	return nil
}

func (k *soak) applyToNode(ctx context.Context, target *node, event faultplan.Event) error {
	switch event.Kind {
	case faultplan.Stop:
		target.terminate(event.Duration)
	case faultplan.StopTwice:
		target.terminate(event.Duration)
		_ = sleep(ctx, event.Duration) // the second signal is sent even if ctx has ended
		target.terminate(event.Duration)
	case faultplan.Kill:
		target.kill(event.Duration)
	case faultplan.Freeze:
		target.freeze(ctx, event.Duration)
	case faultplan.Reload:
		return target.reload(event.Variant)
	case faultplan.BreakSettings:
		return target.breakSettings(ctx, event.Variant, event.Duration)
	default:
	}
	return nil
}

// applyToHosts carries out an event at the database hosts.
func (k *soak) applyToHosts(event faultplan.Event) error {
	k.scheduler.Lock()
	defer k.scheduler.Unlock()
	span := int64(event.Duration / database.TimeUnit)
	if event.Kind == faultplan.JoinHost {
		if joined := len(k.hosts.Hosts); joined < maxHosts {
			return k.hosts.Join(k.network.address(firstHost+joined, databasePort))
		}
		return nil
	}
	host := k.hosts.Primary()
	if event.Kind == faultplan.CrashReplica || event.Kind == faultplan.ReplaceReplica {
		host = k.replica(event.Variant)
	}
	if host == nil {
		return nil
	}
	switch event.Kind {
	case faultplan.CrashPrimary, faultplan.CrashReplica:
		host.Crash(event.Variant%2 == 0, span)
	default:
		k.hosts.Replace(host, span, hostDownTime, k.scheduler.Between(0, maxUnheardTime))
	}
	return nil
}

// hostDownTime is the time between the end of a host and the start of its replacement at the same address.
const hostDownTime = 500 * database.Millisecond

// maxUnheardTime is the longest time from the start of a replacement to its first heartbeat.
const maxUnheardTime = 3 * database.Second

// replica returns one of the running replicas, selected by variant, or nil if there is none.
func (k *soak) replica(variant int) *database.Host {
	var replicas []*database.Host
	for _, host := range k.hosts.Hosts {
		if host.Up && !host.IsPrimary {
			replicas = append(replicas, host)
		}
	}
	if len(replicas) == 0 {
		return nil
	}
	return replicas[variant%len(replicas)]
}
