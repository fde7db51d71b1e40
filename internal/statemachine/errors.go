package statemachine

import (
	"errors"
	"fmt"
)

// Reasons why a change changed nothing, for errors.Is. The errors that Apply and CheckConfig return say more, see the types
// below. The same change gives the same error on a later attempt, unless other changes come in between. The texts go to
// operators in the answers of the control plane, and so don't change.
var (
	ErrVersionConflict = errors.New("another version is in place")
	ErrInvalid         = errors.New("not valid")
	ErrNotFound        = errors.New("not known")
	// ErrDiverged is about the state, not about the change: the state takes in nothing more, and has to be restored from a
	// snapshot.
	ErrDiverged = errors.New("state has diverged")
)

// Reasons why stored bytes can't be read, for errors.Is. Reading them again gives the same error.
var (
	ErrBadSnapshot = errors.New("invalid snapshot")
	ErrBadChange   = errors.New("invalid change")
)

// VersionConflictError says that an update of the configuration builds on another version than the one in force. It is an
// ErrVersionConflict. Whoever sent the update has to build it anew on the version in force.
type VersionConflictError struct {
	InForce, Base int64 // versions
}

// Error names both versions.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("%v: %d is, the change builds on %d", ErrVersionConflict, e.InForce, e.Base)
}

// Unwrap returns ErrVersionConflict.
func (*VersionConflictError) Unwrap() error { return ErrVersionConflict }

// InvalidConfigError says that an update of the configuration can't be made, whatever the version. It is an ErrInvalid.
type InvalidConfigError struct {
	Base  int64 // the version that the update builds on
	Cause error // names the field
}

// Error names the cause.
func (e *InvalidConfigError) Error() string { return fmt.Sprintf("%v: %v", ErrInvalid, e.Cause) }

// Unwrap returns ErrInvalid and the cause.
func (e *InvalidConfigError) Unwrap() []error { return []error{ErrInvalid, e.Cause} }

// HostError says that a change is about a host that is not there. It is an ErrNotFound.
type HostError struct {
	Host    string // its id
	Removed bool   // it was there, and its id is not used again
}

// Error names the host.
func (e *HostError) Error() string {
	if e.Removed {
		return fmt.Sprintf("%v: %s has left", ErrNotFound, e.Host)
	}
	return fmt.Sprintf("%v: %s", ErrNotFound, e.Host)
}

// Unwrap returns ErrNotFound.
func (*HostError) Unwrap() error { return ErrNotFound }

// DivergedError says that an update builds on the version in force, but on other bytes. It is an ErrDiverged.
type DivergedError struct {
	Index   uint64 // of the change that was not applied
	Version int64  // that both have
}

// Error names the change.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("%v: change %d builds on another configuration of version %d", ErrDiverged, e.Index, e.Version)
}

// Unwrap returns ErrDiverged.
func (*DivergedError) Unwrap() error { return ErrDiverged }
