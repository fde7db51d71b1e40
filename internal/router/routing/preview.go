package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// preview compares the policy's decisions with those it would make under the next settings, which are not in force yet, and
// counts the differences by kind. It has no effect on routing and sends nothing. The methods of a nil preview do nothing.
type preview struct {
	shadowSettings       *policy.ShadowSettings                        // the next settings
	groups               map[*policy.CommandGroup]*policy.CommandGroup // current group -> group in the next settings
	keepUnlistedDiffers  bool                                          // KeepUnlistedHosts differs between the settings
	onlyNextRequestsList bool                                          // only the next settings request the host list

	Compared         atomic.Int64 // commands compared
	OtherHost        atomic.Int64 // commands that would have gone to another host
	WouldProbe       atomic.Int64 // commands that would have waited for a probe of a host's position
	WouldQueue       atomic.Int64 // commands that would have waited for capacity
	WouldSend        atomic.Int64 // commands that would have been dispatched at once
	WouldThrottle    atomic.Int64 // commands that would have been throttled
	RetryAfter       atomic.Int64 // throttled commands that get a retry delay under only one of the settings
	RemovedHosts     atomic.Int64 // removed hosts in lists, counted if keepUnlistedDiffers
	UnrequestedLists atomic.Int64 // lists received without a request, counted if onlyNextRequestsList
}

// newPreview returns a preview of start.NextSettings, or nil if there are none.
func newPreview(start *setup.Start, now policy.TenthMs) *preview {
	next := start.NextSettings
	if next == nil {
		return nil
	}
	p := &preview{
		shadowSettings:       policy.NewShadowSettings(next.Deployment, now),
		groups:               map[*policy.CommandGroup]*policy.CommandGroup{},
		keepUnlistedDiffers:  next.Deployment.KeepUnlistedHosts != start.Deployment.KeepUnlistedHosts,
		onlyNextRequestsList: next.Deployment.ListTimeout > 0 && start.Deployment.ListTimeout == 0,
	}
	for name, group := range start.Formats.Groups {
		p.groups[group] = next.Formats.Groups[name]
	}
	return p
}

// previewedDisposition is the disposition of one command under the next settings. The zero value means that there is no
// preview.
type previewedDisposition struct {
	preview     *preview
	disposition policy.Disposition
	node        *policy.Host
}

// command previews a command. It must be called before the command is submitted to the policy, with the same arguments.
func (p *preview) command(router *policy.Router, group *policy.CommandGroup, replicaSet int64, key string,
	timeout, sinceWrite policy.TenthMs,
) previewedDisposition {
	if p == nil {
		return previewedDisposition{}
	}
	disposition, node := router.Preview(p.shadowSettings, p.groups[group], group, replicaSet, key, timeout, sinceWrite)
	return previewedDisposition{preview: p, disposition: disposition, node: node}
}

// compare counts the difference between the previewed and the actual disposition of a command.
func (d previewedDisposition) compare(handle *policy.Command) {
	p := d.preview
	if p == nil {
		return
	}
	p.Compared.Add(1)
	switch disposition, node := handle.Disposition(); {
	case disposition == d.disposition && node == d.node:
	case disposition == d.disposition:
		p.OtherHost.Add(1)
	case d.disposition == policy.AwaitingProbe:
		p.WouldProbe.Add(1)
	case d.disposition == policy.Queued:
		p.WouldQueue.Add(1)
	case d.disposition == policy.Dispatched:
		p.WouldSend.Add(1)
	default:
		p.WouldThrottle.Add(1)
	}
}

// throttled is called for each throttled command with its retry delay; 0 for none.
func (p *preview) throttled(retryAfter policy.TenthMs) {
	if p != nil && (retryAfter > 0) != (p.shadowSettings.MaxRetryAfter() > 0) {
		p.RetryAfter.Add(1)
	}
}

// hostListed is called for each list entry that is passed to the policy.
func (p *preview) hostListed(standing policy.ListState) {
	if p != nil && p.keepUnlistedDiffers && standing == policy.Removed {
		p.RemovedHosts.Add(1)
	}
}

// listFinished is called after each host list and each list update.
func (p *preview) listFinished() {
	if p != nil && p.onlyNextRequestsList {
		p.UnrequestedLists.Add(1)
	}
}

// fields returns the counters as log fields.
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
