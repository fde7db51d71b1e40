package statemachine

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"ferrypitch/internal/statemachine/diskformat"
)

// Change is the content of one log entry. At most one field besides LeaderTimeMs is set; if none is, the entry only advances
// the leader time.
type Change struct {
	LeaderTimeMs int64 // leader time of the proposal, see RetentionMs

	UpdateConfig       *ConfigUpdate
	AddHost            *Host  // adds a host, or updates a known one
	DrainHost          string // ID of a host that gets no new work
	HostLeaving        string // ID of a host that is about to exit without draining first; it continues to serve for a while
	RemoveHost         string // ID of a host that has left
	RevokePrimary      *RevokePrimary
	NominatePrimary    *NominatePrimary
	AppointPrimary     *AppointPrimary
	UpdateProxy        *ProxyMembership
	MarkMissing        string // ID of a host that a failover does not have to query until the host sends a heartbeat again
	ReplicationResumed string // name of a service whose replicas all receive writes again after a failover or switchover
}

// ConfigUpdate is an operator's update of the configuration: a complete configuration or an amendment. A request has only a
// Body; State.MakeDelta converts it to the form stored in the log, which includes a ConfigDelta.
type ConfigUpdate struct {
	BaseVersion int64 // version of the configuration that the update is based on
	IsAmendment bool
	Body        []byte
	ConfigDelta
}

// ProxyMembership adds a proxy before its first lease is granted, or removes one that no longer holds a lease.
type ProxyMembership struct {
	Name    string
	Removed bool
}

// RevokePrimary revokes the primary of a service: proxies stop sending it commands that require the primary.
type RevokePrimary struct{ Service, Owner string }

// NominatePrimary records the host that the platform will be asked to promote, before the request is sent. A primary that is
// not revoked keeps serving.
type NominatePrimary struct{ Service, Host, Owner string }

// AppointPrimary sets the primary of a service, and ends the failover or switchover in progress, if any.
type AppointPrimary struct {
	Service, Host string
	Term          uint64
	PromotionMs   int64 // duration of the promotion in milliseconds, from the call to the platform; 0 if not observed
}

// EncodeChange encodes a change for the log. Configuration updates have an encoding of their own, see ConfigUpdate.encode; all
// other changes are encoded with gob.
func EncodeChange(change Change) []byte {
	if change.UpdateConfig != nil {
		return change.UpdateConfig.encode(change.LeaderTimeMs)
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(changeToStored(change)); err != nil {
		panic(err) // gob fails only on unsupported types, and this type is fixed
	}
	return body.Bytes()
}

// DecodeChange decodes the output of EncodeChange, including that of older releases. All errors wrap ErrBadChange.
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
