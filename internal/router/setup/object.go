package setup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"ferrypitch/policy"
)

// Object is a JSON object that is read field by field. Its methods raise a Fault, by panic, for a field that is missing or
// of the wrong kind, so that a reader of dozens of fields needs one Catch. Methods named Maybe take the zero value for a
// field that is missing.
type Object struct {
	path   string // of the object within the file, for faults; empty for the file itself
	fields map[string]any
}

// Fault is the error of an invalid configuration or list. It names the field and what is wrong with it.
type Fault string

// Error implements error.
func (f Fault) Error() string { return string(f) }

// Decode decodes a JSON object; name stands for it in faults.
func Decode(name string, text []byte) (Object, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	o := Object{path: name}
	if err := decoder.Decode(&o.fields); err != nil {
		return o, fmt.Errorf("not an object of JSON: %w", err)
	}
	if o.fields == nil {
		return o, errors.New("not an object of JSON: null")
	}
	return o, nil
}

// Catch recovers from a Fault and sets it as the error. It is to be deferred by whoever reads objects.
func Catch(err *error) {
	switch cause := recover().(type) {
	case nil:
	case Fault:
		*err = cause
	default:
		panic(cause)
	}
}

// fail raises a Fault about a field.
func (o Object) fail(field, text string) {
	panic(Fault(o.within(field) + ": " + text))
}

// failKind raises a Fault about a field that is missing or not of a kind.
func (o Object) failKind(field, kind string) {
	if !o.Has(field) {
		o.fail(field, "missing")
	}
	o.fail(field, "not "+kind)
}

// within returns the path of a field.
func (o Object) within(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

// Has reports whether a field is present and not null.
func (o Object) Has(field string) bool { return o.fields[field] != nil }

// Number returns a number.
func (o Object) Number(field string) float64 {
	number, ok := AsNumber(o.fields[field])
	if !ok {
		o.failKind(field, "a number")
	}
	return number
}

// OptionalNumber returns a number, or 0 for a field that is missing.
func (o Object) OptionalNumber(field string) float64 {
	if !o.Has(field) {
		return 0
	}
	return o.Number(field)
}

// AsNumber converts an item of a list to a number.
func AsNumber(item any) (float64, bool) {
	text, ok := item.(json.Number)
	number, err := text.Float64()
	return number, ok && err == nil
}

// Integer returns an integer that fits 64 bits, signed or unsigned; the upper half of the unsigned ones becomes negative.
func (o Object) Integer(field string) int64 {
	text, ok := o.fields[field].(json.Number)
	if ok {
		if i, err := text.Int64(); err == nil {
			return i
		}
		if f, err := text.Float64(); err == nil && f == math.Trunc(f) && f >= 0 && f < math.MaxUint64 {
			return int64(uint64(f))
		}
	}
	o.failKind(field, "a whole number")
	return 0
}

// Text returns a string.
func (o Object) Text(field string) string {
	text, ok := o.fields[field].(string)
	if !ok {
		o.failKind(field, "a text")
	}
	return text
}

// OptionalText returns a string, or "" for a field that is missing or of another kind.
func (o Object) OptionalText(field string) string {
	text, _ := o.fields[field].(string)
	return text
}

// atLeast returns a number that is not less than a minimum.
func (o Object) atLeast(field string, minimum float64) float64 {
	value := o.Number(field)
	if value < minimum {
		o.fail(field, "less than "+strconv.FormatFloat(minimum, 'f', -1, 64))
	}
	return value
}

// optionalNotNegative returns a number that is not negative, or 0 for a field that is missing.
func (o Object) optionalNotNegative(field string) float64 {
	if !o.Has(field) {
		return 0
	}
	return o.atLeast(field, 0)
}

// oneOf returns one of some words, or the first for a field that is missing.
func (o Object) oneOf(field string, words ...string) string {
	if !o.Has(field) {
		return words[0]
	}
	word := o.Text(field)
	if !slices.Contains(words, word) {
		o.fail(field, "none of "+strings.Join(words, ", ")+": "+strconv.Quote(word))
	}
	return word
}

// Flag returns a bool, or false for a field that is missing.
func (o Object) Flag(field string) bool {
	flag, ok := o.fields[field].(bool)
	if !ok && o.Has(field) {
		o.failKind(field, "a bool")
	}
	return flag
}

// List returns an array.
func (o Object) List(field string) []any {
	list, ok := o.fields[field].([]any)
	if !ok {
		o.failKind(field, "an array")
	}
	return list
}

// OptionalList returns an array, or nil for a field that is missing.
func (o Object) OptionalList(field string) []any {
	if !o.Has(field) {
		return nil
	}
	return o.List(field)
}

// Objects returns an array of objects.
func (o Object) Objects(field string) []Object {
	list := o.List(field)
	objects := make([]Object, len(list))
	for i, item := range list {
		name := field + "[" + strconv.Itoa(i) + "]"
		fields, ok := item.(map[string]any)
		if !ok {
			o.fail(name, "not an object")
		}
		objects[i] = Object{path: o.within(name), fields: fields}
	}
	return objects
}

// Object returns an object.
func (o Object) Object(field string) Object {
	fields, ok := o.fields[field].(map[string]any)
	if !ok {
		o.failKind(field, "an object")
	}
	return Object{path: o.within(field), fields: fields}
}

// roundingTenths absorbs the error of a float64 in the conversion to tenths of a millisecond.
const roundingTenths = 1e-3

// RoundUp converts milliseconds to the policy's unit, rounding up.
func RoundUp(ms float64) policy.TenthMs { return policy.TenthMs(math.Ceil(ms*10 - roundingTenths)) }

// RoundDown converts milliseconds to the policy's unit, rounding down.
func RoundDown(ms float64) policy.TenthMs { return policy.TenthMs(math.Floor(ms*10 + roundingTenths)) }
