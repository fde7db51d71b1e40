// Package ratchet holds the stored form of a member's id. encoding/gob writes the type of a list with the name of the package
// that its elements come from, as in []ratchet.ID. So this package keeps the name that the package of consensus had when the
// form was first written.
package ratchet

// ID is the stored form of consensus.ID.
type ID string
