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

// Object is a JSON object that is read field by field. Its methods panic with a FieldError if a field is missing or of the wrong
// type, so that a function that reads dozens of fields handles errors once, with a deferred CatchFieldError. Methods named
// Optional... return the zero value for a missing field.
type Object struct {
	path   string // path of the object within the file, for errors; empty for the top level
	fields map[string]any
}

// FieldError is the error for an invalid field of the configuration or of a host list. Its text begins with the path of the field.
type FieldError string

// Error implements error.
func (f FieldError) Error() string { return string(f) }

// Decode decodes a JSON object. name is its path in errors.
func Decode(name string, text []byte) (Object, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	o := Object{path: name}
	if err := decoder.Decode(&o.fields); err != nil {
		return o, fmt.Errorf("not a JSON object: %w", err)
	}
	if o.fields == nil {
		return o, errors.New("not a JSON object: null")
	}
	return o, nil
}

// CatchFieldError recovers from a panic with a FieldError and stores it in err. Functions that read objects defer it. Other
// panics continue.
func CatchFieldError(err *error) {
	switch cause := recover().(type) {
	case nil:
	case FieldError:
		*err = cause
	default:
		panic(cause)
	}
}

// fail panics with a FieldError for a field.
func (o Object) fail(field, text string) {
	panic(FieldError(o.fieldPath(field) + ": " + text))
}

// failType panics with a FieldError for a field that is missing or not of the kind required.
func (o Object) failType(field, expected string) {
	if !o.Has(field) {
		o.fail(field, "missing")
	}
	o.fail(field, "not "+expected)
}

// fieldPath returns the path of a field.
func (o Object) fieldPath(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

// Has reports whether a field is present and not null.
func (o Object) Has(field string) bool { return o.fields[field] != nil }

// Number returns the value of a numeric field.
func (o Object) Number(field string) float64 {
	number, ok := AsNumber(o.fields[field])
	if !ok {
		o.failType(field, "a number")
	}
	return number
}

// OptionalNumber returns the value of a numeric field, or 0 if it is missing.
func (o Object) OptionalNumber(field string) float64 {
	if !o.Has(field) {
		return 0
	}
	return o.Number(field)
}

// AsNumber converts an item of an array to a number.
func AsNumber(item any) (float64, bool) {
	text, ok := item.(json.Number)
	number, err := text.Float64()
	return number, ok && err == nil
}

// Integer returns the value of an integer field of 64 bits, signed or unsigned. Unsigned values above the range of int64 become
// negative.
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
	o.failType(field, "a whole number")
	return 0
}

// Text returns the value of a string field.
func (o Object) Text(field string) string {
	text, ok := o.fields[field].(string)
	if !ok {
		o.failType(field, "a text")
	}
	return text
}

// OptionalText returns the value of a string field, or "" if it is missing or of another type.
func (o Object) OptionalText(field string) string {
	text, _ := o.fields[field].(string)
	return text
}

// atLeast returns the value of a numeric field, which must not be less than a minimum.
func (o Object) atLeast(field string, minimum float64) float64 {
	value := o.Number(field)
	if value < minimum {
		o.fail(field, "less than "+strconv.FormatFloat(minimum, 'f', -1, 64))
	}
	return value
}

// optionalNotNegative returns the value of a numeric field, which must not be negative, or 0 if it is missing.
func (o Object) optionalNotNegative(field string) float64 {
	if !o.Has(field) {
		return 0
	}
	return o.atLeast(field, 0)
}

// oneOf returns the value of a string field, which must be one of words, or the first of them if it is missing.
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

// Bool returns the value of a bool field, or false if it is missing.
func (o Object) Bool(field string) bool {
	flag, ok := o.fields[field].(bool)
	if !ok && o.Has(field) {
		o.failType(field, "a bool")
	}
	return flag
}

// List returns the value of an array field.
func (o Object) List(field string) []any {
	list, ok := o.fields[field].([]any)
	if !ok {
		o.failType(field, "an array")
	}
	return list
}

// OptionalList returns the value of an array field, or nil if it is missing.
func (o Object) OptionalList(field string) []any {
	if !o.Has(field) {
		return nil
	}
	return o.List(field)
}

// Objects returns the value of a field that is an array of objects.
func (o Object) Objects(field string) []Object {
	list := o.List(field)
	objects := make([]Object, len(list))
	for i, item := range list {
		name := field + "[" + strconv.Itoa(i) + "]"
		fields, ok := item.(map[string]any)
		if !ok {
			o.fail(name, "not an object")
		}
		objects[i] = Object{path: o.fieldPath(name), fields: fields}
	}
	return objects
}

// Object returns the value of a field that is an object.
func (o Object) Object(field string) Object {
	fields, ok := o.fields[field].(map[string]any)
	if !ok {
		o.failType(field, "an object")
	}
	return Object{path: o.fieldPath(field), fields: fields}
}

// roundingTenths absorbs floating-point errors in the conversion to tenths of a millisecond.
const roundingTenths = 1e-3

// RoundUp converts milliseconds to policy.TenthMs, rounding up.
func RoundUp(ms float64) policy.TenthMs { return policy.TenthMs(math.Ceil(ms*10 - roundingTenths)) }

// RoundDown converts milliseconds to policy.TenthMs, rounding down.
func RoundDown(ms float64) policy.TenthMs { return policy.TenthMs(math.Floor(ms*10 + roundingTenths)) }
