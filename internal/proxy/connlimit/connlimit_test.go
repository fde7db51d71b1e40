package connlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// conn is a connection of one tenant. It is busy until busyUntil, then idle until idleUntil.
type conn struct {
	busyUntil, idleUntil time.Duration
	tenant               int
}

// load describes how all proxies together use one host.
type load struct {
	conns, proxies int
	usesPerSecond  float64
	busy           time.Duration // duration of one use
	tenants        int           // 1: each connection may serve any client
}

// simulation holds the open connections of each proxy and counts the uses by result.
type simulation struct {
	load
	share     Share
	openConns [][]conn // open connections, by proxy

	uses, opened, rejected int
}

// expire closes connections whose idle timeout has passed, and returns how many remain open at all proxies.
func (s *simulation) expire(now time.Duration) (total int) {
	for proxy, conns := range s.openConns {
		var kept []conn
		for _, c := range conns {
			if now < c.idleUntil {
				kept = append(kept, c)
			}
		}
		s.openConns[proxy] = kept
		total += len(kept)
	}
	return total
}

// idle returns the index of a proxy's last idle connection for a tenant, or -1.
func (s *simulation) idle(proxy, tenant int, now time.Duration) int {
	index := -1
	for i, c := range s.openConns[proxy] {
		if now >= c.busyUntil && c.tenant == tenant {
			index = i
		}
	}
	return index
}

func (s *simulation) use(proxy, tenant int, now time.Duration) {
	s.uses++
	total := s.expire(now)
	index := s.idle(proxy, tenant, now)
	if index < 0 {
		if len(s.openConns[proxy]) >= s.share.MaxConns() {
			return
		}
		if total >= s.conns-reservedConns {
			s.rejected++
			return
		}
		s.opened++
		s.openConns[proxy] = append(s.openConns[proxy], conn{tenant: tenant})
		index = len(s.openConns[proxy]) - 1
	}
	c := &s.openConns[proxy][index]
	c.busyUntil = now + s.busy
	c.idleUntil = c.busyUntil + time.Duration(s.share.IdleTimeoutMs(index, s.tenants > 1))*time.Millisecond
}

// Proxies use a host at random times. Their busy and idle connections together stay within the host's limit: fewer than 1 in 200
// uses is rejected because the host has no connection left.
func TestProxiesTogetherStayWithinAHostsLimit(t *testing.T) {
	for _, l := range []load{
		{35, 63, 25, 60 * time.Millisecond, 1},
		{35, 63, 60, 60 * time.Millisecond, 74},
		{57, 83, 30, 60 * time.Millisecond, 1},
		{57, 83, 90, 60 * time.Millisecond, 84},
		{82, 9, 120, 30 * time.Millisecond, 1},
		{57, 9, 100, 30 * time.Millisecond, 1},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		s := &simulation{load: l, share: ShareOf(l.conns, l.proxies), openConns: make([][]conn, l.proxies)}
		now := time.Duration(0)
		for now < 60*time.Second {
			s.use(random.IntN(l.proxies), random.IntN(l.tenants), now)
			now += time.Duration(random.ExpFloat64() / l.usesPerSecond * float64(time.Second))
		}
		require.Less(t, s.rejected*200, s.uses, "%d of %d uses of a host of %d connections by %d proxies were rejected",
			s.rejected, s.uses, l.conns, l.proxies)
		require.Greater(t, s.opened, 0)
	}
}
