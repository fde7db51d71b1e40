package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// preview compares what the module does with what it would do under settings that are not in force yet, and counts the
// differences by kind. It decides nothing and sends nothing. A nil preview does nothing.
type preview struct {
	shape           *policy.ShadowSettings                        // of the other settings
	groups          map[*policy.CommandGroup]*policy.CommandGroup // the group in force -> the group of the other settings
	drainBindsAlone bool                                          // only one of the settings drains hosts by their state alone
	listOnRequest   bool                                          // only the other settings request the list

	Compared         atomic.Int64 // commands
	OtherHost        atomic.Int64 // would have been sent to another host
	WouldProbe       atomic.Int64 // would have waited while a host was asked for its position
	WouldQueue       atomic.Int64 // would have waited for capacity
	WouldSend        atomic.Int64
	WouldThrottle    atomic.Int64
	RetryAfter       atomic.Int64 // throttled with a time to retry by just one of the settings
	RemovedHosts     atomic.Int64 // announced as removed, where that differs between the settings
	UnrequestedLists atomic.Int64 // lists that came without being requested
}

// newPreview returns the preview of the settings that start names beside those in force, or nil if it names none.
func newPreview(start *setup.Start, now policy.TenthMs) *preview {
	next := start.NextSettings
	if next == nil {
		return nil
	}
	p := &preview{
		shape:           policy.NewShadowSettings(next.Deployment, now),
		groups:          map[*policy.CommandGroup]*policy.CommandGroup{},
		drainBindsAlone: next.Deployment.KeepUnlistedHosts != start.Deployment.KeepUnlistedHosts,
		listOnRequest:   next.Deployment.ListTimeout > 0 && start.Deployment.ListTimeout == 0,
	}
	for name, group := range start.Formats.Groups {
		p.groups[group] = next.Formats.Groups[name]
	}
	return p
}

// previewedCourse is what would become of one command. The zero value stands for no preview.
type previewedCourse struct {
	preview *preview
	course  policy.Disposition
	node    *policy.Host
}

// command previews a command; it must be called before the module takes it, with the same arguments.
func (p *preview) command(router *policy.Router, group *policy.CommandGroup, replicaSet int64, key string,
	timeout, sinceWrite policy.TenthMs, isRetry bool,
) previewedCourse {
	if p == nil {
		return previewedCourse{}
	}
	course, node := router.Preview(p.shape, p.groups[group], group, replicaSet, key, timeout, sinceWrite, isRetry)
	return previewedCourse{preview: p, course: course, node: node}
}

// compare counts how a preview differs from what became of the command.
func (v previewedCourse) compare(handle *policy.Command) {
	p := v.preview
	if p == nil {
		return
	}
	p.Compared.Add(1)
	switch course, node := handle.Disposition(); {
	case course == v.course && node == v.node:
	case course == v.course:
		p.OtherHost.Add(1)
	case v.course == policy.AwaitingProbe:
		p.WouldProbe.Add(1)
	case v.course == policy.Queued:
		p.WouldQueue.Add(1)
	case v.course == policy.Dispatched:
		p.WouldSend.Add(1)
	default:
		p.WouldThrottle.Add(1)
	}
}

// throttled is called with the time to retry that a throttled command is given; 0 for none.
func (p *preview) throttled(retryAfter policy.TenthMs) {
	if p != nil && (retryAfter > 0) != (p.shape.MaxRetryAfter() > 0) {
		p.RetryAfter.Add(1)
	}
}

// hostListed is called for each host that is passed to the module.
func (p *preview) hostListed(standing policy.ListState) {
	if p != nil && p.drainBindsAlone && standing == policy.Removed {
		p.RemovedHosts.Add(1)
	}
}

// listFinished is called after each list and each change.
func (p *preview) listFinished() {
	if p != nil && p.listOnRequest {
		p.UnrequestedLists.Add(1)
	}
}

// fields returns the counters for a line of the log.
func (p *preview) fields() []zap.Field {
	if p == nil {
		return nil
	}
	return []zap.Field{
		zap.Int64("next_compared", p.Compared.Load()),
		zap.Int64("next_elsewhere", p.OtherHost.Load()),
		zap.Int64("next_asked", p.WouldProbe.Load()),
		zap.Int64("next_held", p.WouldQueue.Load()),
		zap.Int64("next_sent", p.WouldSend.Load()),
		zap.Int64("next_turned_away", p.WouldThrottle.Load()),
		zap.Int64("next_comeback", p.RetryAfter.Load()),
		zap.Int64("next_gone", p.RemovedHosts.Load()),
		zap.Int64("next_lists", p.UnrequestedLists.Load()),
	}
}
