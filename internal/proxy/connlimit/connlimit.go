// Package connlimit says how a host's connections, which are fewer than
// would be held if each router kept its own, are shared: how many one router may have, and how long one may rest.
//
// Each router counts on a share: what the host takes, less a reserve, over the routers that there are. Where the share is
// one or more, the few that the usual load needs may rest for long, others within the share for a short while, and what is
// over it for a moment: a router that loses power leaves its connections at the host for seconds, and when all do at once,
// the new lives' connections must fit beside the old ones'. Where there are fewer connections than
// routers, the share is a part of one: a router may open what it needs, and lets each connection rest for that part of a
// second, so that all routers' resting connections together stay within the host's.
//
// Pure.
package connlimit

const (
	reserve = 2     // for the control plane's questions
	few     = 3     // that one router may have, whatever its share
	steady  = 2     // resting connections that serve the usual load
	long    = 45000 // milliseconds, for those within the share
	short   = 3000  // for others within it, opened for a peak
	moment  = 900
)

// Share is of one router at one host.
type Share float64

// ShareOf is the share where a host takes so many connections and so many routers are there, this one included.
func ShareOf(conns, routers int) Share {
	return Share(float64(max(1, conns-reserve)) / float64(max(1, routers)+1))
}

// WarmUpMs is how long, in milliseconds, a router counts on half its share after its start: for so long a host may hold on to
// the connections of its last life.
const WarmUpMs = 3500

// Halved is the share of a router that is young.
func (s Share) Halved() Share { return s / 2 }

// MaxConns is how many connections this router may have to the host.
func (s Share) MaxConns() int { return max(few, int(s)) }

// IdleTimeoutMs is how many milliseconds the nth resting connection, from 0, may go on resting.
func (s Share) IdleTimeoutMs(n int) int64 {
	switch {
	case n < min(int(s), steady):
		return long
	case n < int(s):
		return short
	}
	return int64(min(1, float64(s)) * moment)
}

// Scarce says that there are fewer connections than routers: none is opened before it is needed.
func (s Share) Scarce() bool { return s < 1 }
