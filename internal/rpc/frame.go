package rpc

import (
	"ferrypitch/internal/consensus"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/statemachine"
)

// MaxFrameBytes is the maximum length of a frame without its header. Longer frames are neither sent nor accepted.
const MaxFrameBytes = 24 << 20

// Frame is one message between two processes. Exactly one of the pointer fields is set. The field names are part of the wire
// format, because gob matches fields by name.
type Frame struct {
	Version      uint32 // protocol version that the sender speaks; releases of VersionUnnumbered send 0
	NeedsVersion uint32 // minimum protocol version for the frame; receivers with an older version refuse it

	PayloadKind  PayloadKind // the field that the payload belongs to
	PayloadSizes []uint32    // lengths of the byte strings that follow the frame, outside the gob stream

	Consensus       *consensus.Message // member to member
	ForwardRequest  *ForwardRequest    // member to leader
	ForwardResponse *ForwardResponse   // leader to member
	ProxyHello      *ProxyHello        // proxy to member; the first frame of a proxy's connection
	ProxyWelcome    *ProxyWelcome      // member to proxy
	LogUpdate       *LogUpdate         // leader to proxy
	LeaseRequest    *LeaseRequest      // proxy to leader
	LeaseResponse   *LeaseResponse     // leader to proxy
	SuspectReport   *SuspectReport     // proxy to leader
	StateDigests    *StateDigests      // member to leader
	StateRejected   *StateRejected     // leader to member
	SnapshotChunk   *SnapshotChunk     // leader to proxy
	ChunkAck        *ChunkAck          // proxy to leader
	QuotaRequest    *quota.Request     // proxy to leader
	QuotaResponse   *quota.Response    // leader to proxy
	Refusal         *Refusal           // receiver to sender of a frame that needs a newer version
}

// PayloadKind tells which field of a frame is sent after it as a payload.
type PayloadKind uint8

const (
	payloadNone PayloadKind = iota
	payloadEntries
	payloadSnapshot
	payloadChunk
)

// CallID identifies a forwarded call. It is unique across all members and their restarts.
type CallID struct {
	From        consensus.ID // the forwarding member, which receives the response
	Incarnation uint64       // random number that the forwarding process draws at its start
	Term        uint64       // term in which the forwarding member regards the addressee as the leader
	Serial      uint64       // increases by one with each call of an incarnation, from 1
}

// ForwardRequest forwards an HTTP call by a host or an operator to the leader.
type ForwardRequest struct {
	CallID
	To           consensus.ID
	Method, Path string
	BaseVersion  string // value of the header X-Base-Version
	Body         []byte
}

// ForwardResponse is the response to the ForwardRequest with the same CallID.
type ForwardResponse struct {
	CallID
	By     consensus.ID
	Status int // HTTP status
	Body   []byte
}

// ProxyHello is the first frame that a proxy sends to a member.
type ProxyHello struct {
	Node         string
	Incarnation  uint64
	Zone         string
	AppliedIndex uint64                 // index of the last log entry that the proxy has applied
	Version      uint32                 // protocol version that the proxy speaks
	Acknowledged []AcknowledgedPosition // one for each service whose primary is revoked, if known
}

// ProxyWelcome is the response to a ProxyHello. Only the leader serves proxies.
type ProxyWelcome struct {
	Node     string
	IsLeader bool
	Leader   string   // address of the leader if it is another member; empty if unknown
	Members  []string // addresses of all members
	Proxies  []string // addresses of some connected proxies, as gossip seeds
}

// LogUpdate carries the committed log entries up to LastIndex, or a snapshot of the state at LastIndex.
type LogUpdate struct {
	Snapshot  []byte
	Entries   [][]byte
	LastIndex uint64
	Members   []string // addresses of all members
}

// LeaseRequest asks the leader to renew the lease of a proxy, and reports the proxy's observations.
type LeaseRequest struct {
	Serial           uint64                 // copied to the response
	AppliedIndex     uint64                 // index of the last log entry that the proxy has applied
	PrimaryPositions []PrimaryPosition      // part of the wire format; this release neither sets nor reads it
	Sessions         int                    // open client sessions of the proxy; the leader does not use it
	Acknowledged     []AcknowledgedPosition // one for each service whose primary is revoked, if known
}

// AcknowledgedPosition says how far the log of a revoked primary reaches at least: this proxy forwarded the acknowledgement of a
// write at or after that position. A proxy reports it with the index up to which it has applied the log, and forwards no
// acknowledgement of that primary from then on.
type AcknowledgedPosition struct {
	Service         string
	RevocationIndex uint64 // log index of the primary's revocation, which identifies the failover
	Term, Number    uint64 // timeline, and position on that timeline

	// UnconfirmedTerm and UnconfirmedNumber are the end of the primary's log when it acknowledged a write that no known replica had
	// confirmed: the write is at or before that position. Zero if there was none.
	UnconfirmedTerm, UnconfirmedNumber uint64
}

// PrimaryPosition is the log position of a service's primary, as reported by a proxy.
type PrimaryPosition struct {
	Service      string
	Term, Number uint64 // timeline, and position on that timeline
	AgeMs        int64  // milliseconds since the query that returned the position was sent
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Serial      uint64 // serial of the request
	Granted     bool
	Postponed   bool                 // not granted yet; the proxy keeps the connection and retries
	CommitIndex uint64               // index of the last entry that the leader had applied when it granted the lease
	ProxyCount  int                  // number of proxies that hold a lease
	Members     []string             // addresses of all members
	Digest      *statemachine.Digest // digest of a majority of the members at a recent index; nil if there is no new one
}

// SuspectReport reports that a proxy cannot reach a service's primary.
type SuspectReport struct {
	Service, Host string
	Refused       bool // the connection was refused; otherwise it timed out
}
