package gossip

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// applyUpdate applies an update received from another proxy, if it overrides the known one (SWIM 4.2).
func (m *Membership) applyUpdate(update Update) {
	if !update.valid() {
		return
	}
	if update.Name == m.self.Name {
		m.refute(update)
		return
	}
	known := m.members[update.Name]
	if known == nil {
		if update.State != Dead && len(m.members) < maxMembers {
			m.members[update.Name] = &member{Update: update, stateSince: m.now}
		}
		return
	}
	if !update.overrides(known.Update) {
		return
	}
	if update.State == Dead && known.State != Dead {
		m.DeclaredDead++
	}
	*known = member{Update: update, stateSince: m.now}
}

func (u Update) valid() bool {
	return u.Name != "" && len(u.Name) <= maxNameBytes &&
		u.Address != "" && len(u.Address) <= maxAddressBytes &&
		u.State <= Dead
}

// overrides reports whether u takes precedence over a known update of the same proxy.
func (u Update) overrides(known Update) bool {
	return u.Incarnation > known.Incarnation || u.Incarnation == known.Incarnation && u.State > known.State
}

// refute handles an update that claims that this proxy is suspected or dead: it increases the incarnation, which overrides the
// claim everywhere (SWIM 4.2).
func (m *Membership) refute(update Update) {
	if update.State != Alive && update.Incarnation >= m.self.Incarnation {
		m.Refuted++
		m.self.Incarnation = update.Incarnation + 1
	}
}

// setState changes the state of a proxy by decision of this proxy. The count of transmissions restarts, so the update is
// disseminated.
func (m *Membership) setState(changed *member, state State) {
	update := changed.Update
	update.State = state
	*changed = member{Update: update, stateSince: m.now}
}

// expireStates declares proxies dead after SuspicionTimeoutMs, and removes dead proxies after DeadRetentionMs.
func (m *Membership) expireStates() {
	for name, other := range m.members {
		switch {
		case other.State == Suspect && m.now >= other.stateSince+m.SuspicionTimeoutMs:
			m.DeclaredDead++
			m.setState(other, Dead)
		case other.State == Dead && m.now >= other.stateSince+m.DeadRetentionMs:
			delete(m.members, name)
		}
	}
}

// minTransmissions is the constant term of maxTransmissions.
const minTransmissions = 3

// maxTransmissions returns the number of times that an update is piggybacked. It grows with log n, after which almost all of n
// proxies have received the update (SWIM 4.1).
func (m *Membership) maxTransmissions() int {
	return minTransmissions + max(0, bits.Len(uint(len(m.members)))-1)
}

// piggyback returns the updates for one message: first that of this proxy, then those with the fewest transmissions. Remaining
// space is filled with updates of random members, so that a new proxy learns of all others.
func (m *Membership) piggyback() []Update {
	updates := []Update{m.self}
	members := slices.SortedFunc(maps.Values(m.members), func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.Name, b.Name))
	})
	limit := m.maxTransmissions()
	for _, other := range members {
		if len(updates) >= m.MaxUpdates {
			break
		}
		if other.transmissions < limit {
			other.transmissions++
			updates = append(updates, other.Update)
		}
	}
	for range members {
		if len(updates) >= m.MaxUpdates {
			break
		}
		other := members[m.randomBelow(len(members))]
		if !slices.Contains(updates, other.Update) {
			updates = append(updates, other.Update)
		}
	}
	return updates
}
