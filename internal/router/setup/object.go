package setup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"ferrypitch/policy"
)

// Object is an object of JSON that is read field by field. A field that is
// missing or of the wrong kind is raised as a Fault.
type Object struct {
	path   string
	fields map[string]any
}

// Fault names a field and what is wrong with it.
type Fault string

// Decode reads one object; name stands for it in faults.
func Decode(name string, text []byte) (Object, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	o := Object{path: name}
	if err := dec.Decode(&o.fields); err != nil {
		return o, fmt.Errorf("not an object of JSON: %w", err)
	}
	if o.fields == nil {
		return o, fmt.Errorf("not an object of JSON: null")
	}
	return o, nil
}

// Catch makes an error of a Fault, to be deferred by whoever reads objects.
func Catch(err *error) {
	switch p := recover().(type) {
	case nil:
	case Fault:
		*err = fmt.Errorf("%s", string(p))
	default:
		panic(p)
	}
}

func (o Object) fail(field, what string) {
	if o.path != "" {
		field = o.path + "." + field
	}
	panic(Fault(field + ": " + what))
}

// Has says whether a field is there and not null.
func (o Object) Has(field string) bool { return o.fields[field] != nil }

// Number takes a field that must be there; MaybeNumber takes 0 for one that is not.
func (o Object) Number(field string) float64 {
	f, ok := AsNumber(o.fields[field])
	if !ok {
		o.failKind(field, "a number")
	}
	return f
}

func (o Object) MaybeNumber(field string) float64 {
	if !o.Has(field) {
		return 0
	}
	return o.Number(field)
}

// AsNumber reads an item of a list as a number.
func AsNumber(v any) (float64, bool) {
	n, ok := v.(json.Number)
	f, err := n.Float64()
	return f, ok && err == nil
}

// Integer takes what 64 bits hold, with or without a sign.
func (o Object) Integer(field string) int64 {
	n, ok := o.fields[field].(json.Number)
	if ok {
		if i, err := n.Int64(); err == nil {
			return i
		}
		if f, err := n.Float64(); err == nil && f == math.Trunc(f) && f >= 0 && f < math.MaxUint64 {
			return int64(uint64(f))
		}
	}
	o.failKind(field, "a whole number")
	return 0
}

func (o Object) Text(field string) string {
	s, ok := o.fields[field].(string)
	if !ok {
		o.failKind(field, "a text")
	}
	return s
}

func (o Object) MaybeText(field string) string {
	s, _ := o.fields[field].(string)
	return s
}

// optionalAtLeast is a number that may be left out, and is not under the floor.
func (o Object) optionalAtLeast(field string, floor float64) float64 {
	v := o.MaybeNumber(field)
	if o.Has(field) && v < floor {
		o.fail(field, "less than "+strconv.FormatFloat(floor, 'f', -1, 64))
	}
	return v
}

// oneOf is one of some words; left out, it is the first.
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

func (o Object) Flag(field string) bool {
	b, ok := o.fields[field].(bool)
	if !ok && o.Has(field) {
		o.failKind(field, "a bool")
	}
	return b
}

func (o Object) List(field string) []any {
	l, ok := o.fields[field].([]any)
	if !ok {
		o.failKind(field, "an array")
	}
	return l
}

func (o Object) MaybeList(field string) []any {
	if !o.Has(field) {
		return nil
	}
	return o.List(field)
}

// Objects takes a list of objects.
func (o Object) Objects(field string) []Object {
	l := o.List(field)
	all := make([]Object, len(l))
	for i, v := range l {
		m, ok := v.(map[string]any)
		if !ok {
			o.fail(field+"["+strconv.Itoa(i)+"]", "not an object")
		}
		all[i] = Object{field + "[" + strconv.Itoa(i) + "]", m}
		if o.path != "" {
			all[i].path = o.path + "." + all[i].path
		}
	}
	return all
}

func (o Object) Within(field string) Object {
	m, ok := o.fields[field].(map[string]any)
	if !ok {
		o.failKind(field, "an object")
	}
	if o.path != "" {
		field = o.path + "." + field
	}
	return Object{field, m}
}

func (o Object) failKind(field, kind string) {
	if !o.Has(field) {
		o.fail(field, "missing")
	}
	o.fail(field, "not "+kind)
}

// Up and Down round milliseconds to the module's tenths.
func Up(ms float64) policy.Tenth   { return policy.Tenth(math.Ceil(ms*10 - 1e-3)) }
func Down(ms float64) policy.Tenth { return policy.Tenth(math.Floor(ms*10 + 1e-3)) }
