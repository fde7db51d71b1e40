// Package config decodes and validates the operator's configuration: either a complete one, or an amendment that replaces and
// removes items by name. Next to the decoded form it keeps the body byte for byte as the operator sent it, including unknown
// fields.
//
//	body             -> Read             -> Config    a complete configuration
//	previous, body   -> ReadNext         -> Config    the same, but decodes only new and changed items
//	previous, change -> Config.Amend     -> Config    an amendment
//	previous, next   -> Diff, then Patch -> body      what the control plane's log stores instead of a complete body
//
// Updates of large configurations usually change only a few items. So the body is first split into the items of its two lists and
// the rest (split.go), and items that are unchanged from the previous body are not decoded and validated again (incremental.go).
//
// The package is pure: it uses no files, connections or clocks.
package config
