package gossip

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// applyUpdate applies an update received from another proxy, if it overrides what is known (SWIM 4.2).
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
			m.members[update.Name] = &member{Update: update, since: m.now}
		}
		return
	}
	if !update.overrides(known.Update) {
		return
	}
	if update.State == Dead && known.State != Dead {
		m.Removed++
	}
	*known = member{Update: update, since: m.now}
}

func (u Update) valid() bool {
	return u.Name != "" && len(u.Name) <= maxNameBytes &&
		u.Address != "" && len(u.Address) <= maxAddressBytes &&
		u.State <= Dead
}

// overrides reports whether u is newer than another update of the same proxy.
func (u Update) overrides(known Update) bool {
	return u.Incarnation > known.Incarnation || u.Incarnation == known.Incarnation && u.State > known.State
}

// refute answers a suspicion of this proxy with a higher incarnation, which overrides it everywhere (SWIM 4.2).
func (m *Membership) refute(update Update) {
	if update.State != Alive && update.Incarnation >= m.self.Incarnation {
		m.Refuted++
		m.self.Incarnation = update.Incarnation + 1
	}
}

// setState changes a proxy's state by this proxy's own judgement; the update is disseminated from the start.
func (m *Membership) setState(changed *member, state State) {
	update := changed.Update
	update.State = state
	*changed = member{Update: update, since: m.now}
}

// tickStates declares proxies dead that were suspected for too long, and forgets those dead for long.
func (m *Membership) tickStates() {
	for name, other := range m.members {
		switch {
		case other.State == Suspect && m.now >= other.since+m.SuspicionTimeoutMs:
			m.Removed++
			m.setState(other, Dead)
		case other.State == Dead && m.now >= other.since+m.RemovedRetentionMs:
			delete(m.members, name)
		}
	}
}

// minTransmissions is how often an update is piggybacked before the logarithm of the group's size is added.
const minTransmissions = 3

// maxTransmissions returns how often an update is piggybacked: some log n times, by which almost all proxies have received it
// (SWIM 4.1).
func (m *Membership) maxTransmissions() int {
	return minTransmissions + max(0, bits.Len(uint(len(m.members)))-1)
}

// piggyback returns the updates for one message: this proxy's own, then those that were sent least. Space that is left is filled
// with random members, so that a new proxy learns of all.
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
		other := members[m.random(len(members))]
		if !slices.Contains(updates, other.Update) {
			updates = append(updates, other.Update)
		}
	}
	return updates
}
