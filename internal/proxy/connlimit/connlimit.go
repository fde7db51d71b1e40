// Package connlimit divides the connections that a database host accepts among the proxies, which together would otherwise open
// more than the host accepts. It computes how many connections one proxy may open and how long each of them may stay idle.
//
//	connections of the host, number of proxies -> ShareOf -> Share -> MaxConns, IdleTimeoutMs
//
// All proxies compute the same share: the host's connections minus a reserve, divided by the number of proxies plus one.
//
// With a share of one or more, the few connections that serve the steady load may stay idle for a long time, the others within
// the share for some seconds, and those beyond the share for less than a second. The short timeouts matter when all proxies lose
// power at once: a host keeps the connections of a crashed proxy for some seconds, and the connections of the restarted proxies
// must fit beside them.
//
// With a share below one, there are fewer connections than proxies. A proxy may still open the connections that it needs, but
// their idle timeout is scaled by the share, so that the idle connections of all proxies together stay within the host's limit.
// Where each connection serves one tenant only, the timeout is shorter still.
//
// The package holds no connections and reads no clock.
package connlimit

const (
	reservedConns = 2 // connections of each host kept free for queries of the control plane
	minConns      = 3 // connections that a proxy may open, however small its share
	steadyConns   = 2 // connections that serve the steady load
)

// Idle timeouts, in milliseconds.
const (
	steadyIdleMs = 45000 // connections that serve the steady load
	burstIdleMs  = 3000  // other connections within the share, opened for a burst of load
	excessIdleMs = 900   // connections beyond the share
)

// perTenantIdleDivisor divides the idle timeout of scarce connections that serve one tenant only, since the next statement most
// likely belongs to another tenant.
const perTenantIdleDivisor = 8

// WarmUpMs is how long after its start a proxy uses only half of its share, in milliseconds: a host may keep the connections of
// the proxy's previous incarnation for that long.
const WarmUpMs = 3500

// Share is the number of a host's connections that one proxy may use; it may be below one.
type Share float64

// ShareOf returns the share of one proxy if the host accepts conns connections; proxies is the number of proxies, this one included.
func ShareOf(conns, proxies int) Share {
	return Share(float64(max(1, conns-reservedConns)) / float64(max(1, proxies)+1))
}

// Halved returns the share of a proxy that is warming up.
func (s Share) Halved() Share { return s / 2 }

// MaxConns returns the maximum number of connections that the proxy may have to the host.
func (s Share) MaxConns() int { return max(minConns, int(s)) }

// IdleTimeoutMs returns how long the idle connection with the given zero-based index may stay open, in milliseconds. perTenant is
// true if each connection serves one tenant only.
func (s Share) IdleTimeoutMs(index int, perTenant bool) int64 {
	switch {
	case index < min(int(s), steadyConns):
		return steadyIdleMs
	case index < int(s):
		return burstIdleMs
	case s.Scarce() && perTenant:
		return int64(float64(s) * excessIdleMs / perTenantIdleDivisor)
	}
	return int64(min(1, float64(s)) * excessIdleMs)
}

// Scarce reports whether there are fewer connections than proxies, so that a proxy should open one only when it needs it.
func (s Share) Scarce() bool { return s < 1 }
