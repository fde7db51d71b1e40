package statemachine

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"ferrypitch/internal/statemachine/diskformat"
)

// Change is one entry of the log. Exactly one field is set beside LeaderTimeMs; if none is, it only advances the time.
type Change struct {
	LeaderTimeMs int64 // leader time when it was proposed, see RetentionMs

	UpdateConfig       *ConfigUpdate
	AddHost            *Host  // also updates a host that is there
	DrainHost          string // id of a host that gets no more work
	HostLeaving        string // id of a host that announced its end without draining first; it serves on for a while
	RemoveHost         string // id of a host that has left
	RevokePrimary      *RevokePrimary
	NominatePrimary    *NominatePrimary
	AppointPrimary     *AppointPrimary
	UpdateProxy        *ProxyMembership
	MarkMissing        string // id of a host that a fail-over need not ask, until it announces itself again
	ReplicationResumed string // a service whose replicas all receive again
}

// ConfigUpdate is an operator's configuration, complete or as an amendment. As it was sent it has a Body; Delta makes of it
// what the log carries.
type ConfigUpdate struct {
	BaseVersion int64 // the version that it builds on
	IsAmendment bool
	Body        []byte
	ConfigDelta
}

// ProxyMembership adds a proxy before it is granted its first lease, or removes one that holds none any more.
type ProxyMembership struct {
	Name    string
	Removed bool
}

// RevokePrimary revokes the primary of a service: no proxy sends it any more what only a primary can do.
type RevokePrimary struct{ Service, Owner string }

// NominatePrimary notes which host the platform will be asked to promote, before it is asked. Where the primary is not
// revoked, it goes on.
type NominatePrimary struct{ Service, Host, Owner string }

// AppointPrimary gives a service a primary.
type AppointPrimary struct {
	Service, Host string
	Term          uint64
	PromotionMs   int64 // milliseconds from the call to the platform; 0: not seen
}

// EncodeChange returns a change as the log carries it. An update of the configuration has a form of its own, see
// ConfigUpdate.encode; everything else is gob.
func EncodeChange(change Change) []byte {
	if change.UpdateConfig != nil {
		return change.UpdateConfig.encode(change.LeaderTimeMs)
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(changeToStored(change)); err != nil {
		panic(err) // gob refuses types, and this one is fixed
	}
	return body.Bytes()
}

// DecodeChange reads what EncodeChange wrote, also in older releases. Errors are ErrBadChange.
func DecodeChange(body []byte) (Change, error) {
	if len(body) > 0 && body[0] == configUpdateMarker {
		update, leaderTimeMs, err := decodeConfigUpdate(body)
		return Change{UpdateConfig: update, LeaderTimeMs: leaderTimeMs}, err
	}
	var stored diskformat.Change
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&stored); err != nil {
		return Change{}, fmt.Errorf("%w: %w", ErrBadChange, err)
	}
	return changeFromStored(stored), nil
}
