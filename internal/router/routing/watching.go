package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// preview holds what comes against settings that are not in force yet, and counts by kind where they would have
// decided otherwise. It decides nothing and sends nothing. A nil one does nothing.
type preview struct {
	shape      *policy.Shape
	groups     map[*policy.CmdGroup]*policy.CmdGroup // as they would be
	drainAlone bool
	onRequest  bool

	Compared              atomic.Int64 // commands
	Elsewhere             atomic.Int64 // sent to another host
	Asked, Held, Sent     atomic.Int64 // what was otherwise would have had a host asked first, been held, been sent
	TurnedAway            atomic.Int64
	Comeback, Gone, Lists atomic.Int64 // times to come back, hosts called gone, lists that came unasked
}

// newPreview readies the settings that a start names beside those in force.
func newPreview(s *setup.Start, now policy.Tenth) *preview {
	if s.Next == nil {
		return nil
	}
	w := &preview{shape: policy.NewShape(s.Next.Deployment, now), groups: map[*policy.CmdGroup]*policy.CmdGroup{},
		drainAlone: s.Next.Deployment.DrainAlone != s.Deployment.DrainAlone,
		onRequest:  s.Next.Deployment.AskWithin > 0 && s.Deployment.AskWithin == 0}
	for name, g := range s.Terms.Groups {
		w.groups[g] = s.Next.Terms.Groups[name]
	}
	return w
}

// command is called before the module takes a command, and what it gives with the handle.
func (w *preview) command(r *policy.Router, g *policy.CmdGroup, set int64, session string, timeout, since policy.Tenth,
	again bool) (taken func(*policy.Cmd)) {
	if w == nil {
		return func(*policy.Cmd) {}
	}
	would, there := r.Preview(w.shape, w.groups[g], g, set, session, timeout, since, again)
	return func(c *policy.Cmd) { w.compare(c, would, there) }
}

func (w *preview) compare(c *policy.Cmd, would policy.Course, there *policy.Node) {
	w.Compared.Add(1)
	switch is, to := c.Course(); {
	case is == would && to == there:
	case is == would:
		w.Elsewhere.Add(1)
	case would == policy.Asked:
		w.Asked.Add(1)
	case would == policy.Held:
		w.Held.Add(1)
	case would == policy.Sent:
		w.Sent.Add(1)
	default:
		w.TurnedAway.Add(1)
	}
}

// throttled is called with the time that a throttled command is given.
func (w *preview) throttled(comeback policy.Tenth) {
	if w != nil && (comeback > 0) != (w.shape.Comeback() > 0) {
		w.Comeback.Add(1)
	}
}

// listed is called for each entry of a list, list for each whole one and each change.
func (w *preview) listed(standing policy.Standing) {
	if w != nil && w.drainAlone && standing == policy.Gone {
		w.Gone.Add(1)
	}
}

func (w *preview) list() {
	if w != nil && w.onRequest {
		w.Lists.Add(1)
	}
}

// fields are the counts for a line of the log.
func (w *preview) fields() []zap.Field {
	if w == nil {
		return nil
	}
	return []zap.Field{zap.Int64("next_compared", w.Compared.Load()), zap.Int64("next_elsewhere", w.Elsewhere.Load()),
		zap.Int64("next_asked", w.Asked.Load()), zap.Int64("next_held", w.Held.Load()), zap.Int64("next_sent", w.Sent.Load()),
		zap.Int64("next_turned_away", w.TurnedAway.Load()), zap.Int64("next_comeback", w.Comeback.Load()),
		zap.Int64("next_gone", w.Gone.Load()), zap.Int64("next_lists", w.Lists.Load())}
}
