package control

// injectFault injects faults at random intervals. Unless unlimited is true, a majority of the members stays up and connected.
func (c *partitionCluster) injectFault(unlimited bool) {
	c.After(c.Between(150, 1500), func() { c.injectFault(unlimited) })
	if c.faultsDisabled || !unlimited && c.faultyMembers() >= len(c.members)/2 {
		return
	}
	m := c.members[c.Rand.IntN(len(c.members))]
	if c.OneIn(2) {
		for _, other := range c.members {
			if other.Up() && other.server.consensus.IsLeader() {
				m = other
			}
		}
	}
	if !m.Up() {
		return
	}
	switch c.Rand.IntN(10) {
	case 0:
		c.restartSome(m, unlimited)
	case 1:
		c.LogFault("%s loses power", m.ip)
		m.crash(true)
		c.After(c.Between(400, 4000), m.start)
	case 2:
		span := c.Between(50, 4000)
		c.LogFault("%s is suspended for %d", m.ip, span)
		m.suspendFor(span)
	case 3, 4, 5, 6:
		m.partition(c.Between(100, 5000))
	case 7:
		c.LogFault("%s transfers its leadership", m.ip)
		m.run(m.Incarnation(), func() { m.server.processReady(m.server.consensus.TransferLeadership(m.server.clock.Now())) })
	case 8, 9:
		c.proxies[c.Rand.IntN(len(c.proxies))].injectFault(m)
	}
}

func (c *partitionCluster) faultyMembers() (count int) {
	for _, m := range c.members {
		if !m.Running() || len(m.blocked) > 0 {
			count++
		}
	}
	return count
}

// restartSome restarts a member and, if unlimited is true, possibly others at the same time.
func (c *partitionCluster) restartSome(m *partitionMember, unlimited bool) {
	for _, other := range c.members {
		if other == m || other.Up() && unlimited && c.OneIn(3) {
			c.LogFault("%s restarts", other.ip)
			other.crash(c.OneIn(2))
			c.After(c.Between(60, 400), other.start)
		}
	}
}

// injectFault restarts a proxy or delays the frames between it and a member.
func (p *partitionProxy) injectFault(m *partitionMember) {
	c := p.cluster
	if c.OneIn(2) {
		c.LogFault("%s restarts", p.name)
		if p.link != nil {
			p.link.closed = true
		}
		p.start()
		return
	}
	c.LogFault("frames between %s and %s are delayed", p.name, m.ip)
	p.slow[m.ip] = true
	c.After(c.Between(100, 4000), func() { delete(p.slow, m.ip) })
}

// partition separates a member from one or all other members, in one or both directions, for a time.
func (m *partitionMember) partition(span int64) {
	c := m.cluster
	mode, direction := []blockMode{dropFrames, delayFrames}[c.Rand.IntN(2)], c.Rand.IntN(3)
	c.LogFault("%s is partitioned, %s, direction %d, for %d", m.ip, mode, direction, span)
	only := c.members[c.Rand.IntN(len(c.members))]
	if only == m || c.OneIn(2) {
		only = nil
	}
	for _, other := range c.members {
		if other == m || only != nil && other != only {
			continue
		}
		if direction != 1 {
			m.blocked[other.ip] = mode
		}
		if direction != 0 {
			other.blocked[m.ip] = mode
		}
	}
	c.After(span, m.heal)
}

// heal ends all partitions of a member. Delayed frames of all partitions arrive within 30 ms.
func (m *partitionMember) heal() {
	c := m.cluster
	c.LogFault("%s is connected again", m.ip)
	clear(m.blocked)
	for _, other := range c.members {
		delete(other.blocked, m.ip)
	}
	delayedDeliveries := c.delayedDeliveries
	c.delayedDeliveries = nil
	for _, arrive := range delayedDeliveries {
		c.After(c.Between(1, 30), arrive)
	}
}
