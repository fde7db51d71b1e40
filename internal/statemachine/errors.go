package statemachine

import (
	"errors"
	"fmt"
)

// Errors for rejected changes, for use with errors.Is. Apply and CheckConfig return the more detailed types below. Retrying a
// change returns the same error, unless other changes were applied in between. The control plane's responses carry these texts
// to operators, so they must not change.
var (
	ErrVersionConflict = errors.New("another version is in place")
	ErrInvalid         = errors.New("not valid")
	ErrNotFound        = errors.New("not known")
	// ErrDiverged is a fault of the state, not of the change: the state rejects the change without advancing its index, and has
	// to be restored from a snapshot.
	ErrDiverged = errors.New("state has diverged")
)

// Errors for stored bytes that cannot be decoded, for use with errors.Is. Decoding the same bytes again returns the same error.
var (
	ErrBadSnapshot = errors.New("invalid snapshot")
	ErrBadChange   = errors.New("invalid change")
)

// VersionConflictError is returned for a configuration update whose base version is not the current version. The sender has to
// rebase the update on the current version. It wraps ErrVersionConflict.
type VersionConflictError struct {
	Current, Base int64 // versions of the current configuration and of the update's base
}

// Error implements error. The text names both versions.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("%v: %d is, the change builds on %d", ErrVersionConflict, e.Current, e.Base)
}

// Unwrap returns ErrVersionConflict.
func (*VersionConflictError) Unwrap() error { return ErrVersionConflict }

// InvalidConfigError is returned for a configuration update that is invalid, whatever the current version is. It wraps
// ErrInvalid.
type InvalidConfigError struct {
	Base  int64 // version that the update is based on
	Cause error // names the invalid field, if it is known
}

// Error implements error. The text includes the cause.
func (e *InvalidConfigError) Error() string { return fmt.Sprintf("%v: %v", ErrInvalid, e.Cause) }

// Unwrap returns ErrInvalid and the cause.
func (e *InvalidConfigError) Unwrap() []error { return []error{ErrInvalid, e.Cause} }

// HostError is returned for a change to a host that is not known. It wraps ErrNotFound.
type HostError struct {
	Host    string // ID of the host
	Removed bool   // the host was removed, and its ID is not reused
}

// Error implements error. The text names the host.
func (e *HostError) Error() string {
	if e.Removed {
		return fmt.Sprintf("%v: %s has left", ErrNotFound, e.Host)
	}
	return fmt.Sprintf("%v: %s", ErrNotFound, e.Host)
}

// Unwrap returns ErrNotFound.
func (*HostError) Unwrap() error { return ErrNotFound }

// DivergedError is returned for a configuration update that is based on the current version, but on different content. It wraps
// ErrDiverged.
type DivergedError struct {
	Index   uint64 // index of the change that was not applied
	Version int64  // version of both configurations
}

// Error implements error. The text names the index of the change and the version.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("%v: change %d builds on another configuration of version %d", ErrDiverged, e.Index, e.Version)
}

// Unwrap returns ErrDiverged.
func (*DivergedError) Unwrap() error { return ErrDiverged }
