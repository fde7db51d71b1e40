package rpc

import "fmt"

// Versions of the protocol between the processes of the system. Two successive versions run side by side during a rolling
// upgrade: a process uses the additions of a version only with peers that speak it, and those that affect the replicated state
// only once all members speak it.
const (
	VersionUnnumbered       uint32 = 1             // releases whose frames carry no version
	VersionDigestsAndChunks uint32 = 2             // adds state digests, chunked snapshot transfer to proxies, refusals
	VersionQuotas           uint32 = 3             // adds tenant quotas
	VersionPayloads                = VersionQuotas // adds payloads after the frame, and responses to lease requests that are postponed
	VersionConfirmations    uint32 = 4             // proxies acknowledge a write only once the nominee of a switchover has confirmed it
	ProtocolVersion                = VersionConfirmations
)

// PeerVersion returns the protocol version that a peer speaks, given the version in its frame or ProxyHello. It maps 0, which
// older releases send, to VersionUnnumbered.
func PeerVersion(version uint32) uint32 { return max(version, VersionUnnumbered) }

// Refusal is the response to a frame that requires a newer protocol version than the receiver speaks.
type Refusal struct {
	Version uint32 // version that the receiver of the frame speaks
	Reason  string // human-readable
}

// UnsupportedFrameError is returned for a frame that requires a newer protocol version. The connection remains usable.
type UnsupportedFrameError struct {
	RequiredVersion uint32 // version that the frame requires
	SenderVersion   uint32 // version that the sender speaks
	OwnVersion      uint32 // version that this process speaks
}

// Error implements error. The text names all three versions.
func (e *UnsupportedFrameError) Error() string {
	return fmt.Sprintf("rpc: a frame needs version %d of the protocol, this process speaks %d, its sender %d", e.RequiredVersion, e.OwnVersion, e.SenderVersion)
}

// checkVersion returns an UnsupportedFrameError for a frame that requires a newer version than this process speaks.
func checkVersion(frame *Frame) error {
	if frame.NeedsVersion > ProtocolVersion {
		return &UnsupportedFrameError{RequiredVersion: frame.NeedsVersion, SenderVersion: PeerVersion(frame.Version), OwnVersion: ProtocolVersion}
	}
	return nil
}

// Refuse sends a Refusal in response to an unsupported frame.
func (c *Conn) Refuse(unsupported *UnsupportedFrameError) error {
	refusal := &Refusal{Version: ProtocolVersion, Reason: unsupported.Error()}
	return c.Send(&Frame{Version: ProtocolVersion, Refusal: refusal}, refusalTimeout)
}
