// Package ratchet defines the stored form of a member's id. For a list, encoding/gob writes the name of the package that defines
// the element type, as in []ratchet.ID. This package therefore keeps the name that package consensus had when the format was
// introduced.
package ratchet

// ID is the stored form of consensus.ID.
type ID string
