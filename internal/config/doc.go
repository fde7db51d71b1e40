// Package config reads and checks the operator's configuration: a whole one, or an amendment that replaces and removes items by
// name. The body is kept byte for byte as the operator sent it, with fields that are unknown here, beside the checked form.
//
//	body             -> Read             -> Config    a whole configuration
//	previous, body   -> ReadNext         -> Config    the same, reading only items that the previous one does not have
//	previous, change -> Config.Amend     -> Config    an amendment
//	previous, next   -> Diff, then Patch -> body      what the control plane's log has instead of a whole body
//
// Large configurations change in few items at a time. So the body is first split into the items of its two lists and the rest
// (split.go); items that stand unchanged in the previous body are neither decoded nor checked again (incremental.go).
//
// The package is pure: it opens no files and no connections, and reads no clock.
package config
