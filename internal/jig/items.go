package jig

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// span is where an item stands in a body.
type span struct{ from, to int }

// layout is where a body's routes and services stand; of a body of another shape nothing is known.
type layout struct{ routes, services []span }

// misses is how many items are looked for nearby only, before all are put in a map.
const (
	misses = 8
	near   = 4
)

// finder finds items of an older plan by their bytes. Most stand where they stood.
type finder struct {
	body   []byte
	items  []span
	at     int
	missed int
	by     map[string]int
}

// find gives an item's place among the older ones; known false: it is new, and place is the one that it may stand for.
func (f *finder) find(item []byte) (place int, known bool) {
	for k := f.at; k < min(len(f.items), f.at+near); k++ {
		if s := f.items[k]; bytes.Equal(f.body[s.from:s.to], item) {
			f.at = k + 1
			return k, true
		}
	}
	if f.missed++; f.missed > misses {
		if f.by == nil {
			f.by = make(map[string]int, len(f.items))
			for k, s := range f.items {
				f.by[string(f.body[s.from:s.to])] = k
			}
		}
		if k, ok := f.by[string(item)]; ok {
			f.at = k + 1
			return k, true
		}
	}
	f.at++
	return f.at - 1, false
}

// Next reads a whole configuration that takes the place of an older one (nil: none). Items that stood in that one are
// not read and checked again; the verdict is the same as Read's.
func Next(old *Plan, body []byte) (*Plan, error) {
	if p := next(old, body); p != nil {
		return p, nil
	}
	return whole(body) // it names the fault
}

// next gives nil where there may be a fault, or where the body has a shape of its own.
func next(old *Plan, body []byte) *Plan {
	at, skeleton, ok := split(body)
	if !ok || len(body) > Most {
		return nil
	}
	if old == nil {
		old = &Plan{}
	}
	p := &Plan{}
	if err := top(skeleton, p); err != nil {
		return nil
	}
	p.Body, p.at = body, at
	if p.Routes, ok = items(old.Body, old.at.routes, old.Routes, body, at.routes); !ok {
		return nil
	}
	if p.Services, ok = items(old.Body, old.at.services, old.Services, body, at.services); !ok {
		return nil
	}
	if tags("", p) != nil || tags("Limits.", &p.Limits) != nil || p.cross() != nil {
		return nil
	}
	return p
}

// items reads those that are new, and takes the others from an older plan.
func items[T any](oldBody []byte, oldAt []span, old []T, body []byte, at []span) ([]T, bool) {
	all := make([]T, len(at))
	f := finder{body: oldBody, items: oldAt}
	for i, s := range at {
		raw := body[s.from:s.to]
		if k, known := f.find(raw); known {
			all[i] = old[k]
		} else if json.Unmarshal(raw, &all[i]) != nil || tags("", &all[i]) != nil {
			return nil, false
		}
	}
	return all, true
}

// split finds the items of Routes and Services in an object, and gives the object without them. It only looks for where
// strings, lists and objects begin and end: that the rest is JSON is told by reading the skeleton and each new item.
// ok is false for any shape that could be read in two ways.
func split(body []byte) (at layout, skeleton []byte, ok bool) {
	i, from := blank(body, 0), 0
	if i >= len(body) || body[i] != '{' {
		return at, nil, false
	}
	seen := [2]bool{}
	for i++; ; i++ {
		i = blank(body, i)
		end := text(body, i)
		if end < 0 {
			return at, nil, false
		}
		key := body[i:end]
		if i = blank(body, end); i >= len(body) || body[i] != ':' || bytes.IndexByte(key, '\\') >= 0 {
			return at, nil, false
		}
		i = blank(body, i+1)
		list := -1
		for n, name := range []string{`"Routes"`, `"Services"`} {
			if bytes.EqualFold(key, []byte(name)) {
				if string(key) != name || seen[n] {
					return at, nil, false
				}
				seen[n], list = true, n
			}
		}
		if list < 0 {
			i = value(body, i)
		} else {
			if i >= len(body) || body[i] != '[' {
				return at, nil, false
			}
			skeleton = append(skeleton, body[from:i+1]...)
			var found []span
			if found, i = elements(body, i); i >= 0 {
				from = i - 1
			}
			if list == 0 {
				at.routes = found
			} else {
				at.services = found
			}
		}
		if i < 0 {
			return at, nil, false
		}
		if i = blank(body, i); i >= len(body) {
			return at, nil, false
		}
		if body[i] == '}' {
			break
		}
		if body[i] != ',' {
			return at, nil, false
		}
	}
	return at, append(skeleton, body[from:]...), blank(body, i+1) == len(body) && seen[0] && seen[1]
}

// elements are those of a list that begins at i; end is behind it, or below 0.
func elements(body []byte, i int) (all []span, end int) {
	if i = blank(body, i+1); i < len(body) && body[i] == ']' {
		return nil, i + 1
	}
	for {
		i = blank(body, i)
		end := value(body, i)
		if end < 0 {
			return nil, -1
		}
		all = append(all, span{i, end})
		if i = blank(body, end); i >= len(body) {
			return nil, -1
		}
		switch body[i] {
		case ']':
			return all, i + 1
		case ',':
			i++
		default:
			return nil, -1
		}
	}
}

func blank(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

// text is behind the string that begins at i, or below 0.
func text(b []byte, i int) int {
	if i >= len(b) || b[i] != '"' {
		return -1
	}
	for i++; i < len(b); i++ {
		switch b[i] {
		case '"':
			return i + 1
		case '\\':
			i++
		}
	}
	return -1
}

// value is behind the value that begins at i, or below 0.
func value(b []byte, i int) int {
	begin := i
	for depth := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			end := text(b, i)
			if end < 0 || depth == 0 {
				return end
			}
			i = end - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return scalar(begin, i)
			}
			if depth--; depth == 0 {
				return i + 1
			}
		case ',', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return scalar(begin, i)
			}
		}
	}
	return -1
}

func scalar(begin, end int) int {
	if begin == end {
		return -1
	}
	return end
}

// cross checks what items say of each other.
func (p *Plan) cross() error {
	services := make(map[string]bool, len(p.Services))
	for i := range p.Services {
		s := &p.Services[i]
		if services[s.Name] {
			return fmt.Errorf("Services[%d].Name: %q: named twice", i, s.Name)
		}
		services[s.Name] = true
	}
	places, names := make(map[[2]string]bool, len(p.Routes)), make(map[string]bool, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		switch place := [2]string{r.Host, r.PathPrefix}; {
		case !services[r.Service]:
			return fmt.Errorf("Routes[%d].Service: %q: no such service", i, r.Service)
		case places[place]:
			return fmt.Errorf("Routes[%d].Host: %q with %q: another route is there", i, r.Host, r.PathPrefix)
		case names[r.Name]:
			return fmt.Errorf("Routes[%d].Name: %q: named twice", i, r.Name)
		default:
			places[place], names[r.Name] = true, true
		}
	}
	return nil
}
