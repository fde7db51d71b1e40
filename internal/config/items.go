package config

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// span is where an item stands in a body.
type span struct{ from, to int }

// layout is where a body's routes and services stand; of a body of another shape nothing is known.
type layout struct{ routes, services []span }

// few is how many new items are compared with all others one by one, and how many are looked for nearby only.
const (
	few  = 8
	near = 4
)

// finder finds items of an older plan by their bytes. Most stand where they stood.
type finder struct {
	body   []byte
	items  []span
	at     int
	missed int
	by     map[string]int
}

func (f *finder) item(k int) []byte { return f.body[f.items[k].from:f.items[k].to] }

// begins gives the place of an older item that stands at the beginning of what is here; below 0: none nearby does.
func (f *finder) begins(rest []byte) int {
	for k := f.at; k < min(len(f.items), f.at+near); k++ {
		if n := f.items[k].to - f.items[k].from; n < len(rest) && ends(rest[n]) && bytes.Equal(rest[:n], f.item(k)) {
			f.at = k + 1
			return k
		}
	}
	return -1
}

// find gives an item's place among the older ones, if it does not begin one nearby; below 0: it is new.
func (f *finder) find(item []byte) int {
	if f.missed++; f.missed > few {
		if f.by == nil {
			f.by = make(map[string]int, len(f.items))
			for k := range f.items {
				f.by[string(f.item(k))] = k
			}
		}
		if k, ok := f.by[string(item)]; ok {
			f.at = k + 1
			return k
		}
	}
	f.at++ // it may stand for the one that stood there
	return -1
}

// ReadNext reads a whole configuration that takes the place of an older one (nil: none). Items that stood in that one are
// not read and checked again; the verdict is the same as Read's.
func ReadNext(old *Config, body []byte) (*Config, error) {
	if p := next(old, body); p != nil {
		return p, nil
	}
	return whole(body) // it names the fault
}

// next gives nil where there may be a fault, or where the body has a shape of its own.
func next(old *Config, body []byte) *Config {
	if old == nil {
		old = &Config{}
	}
	was := [2]*finder{{body: old.Body, items: old.at.routes}, {body: old.Body, items: old.at.services}}
	at, places, skeleton, ok := split(body, was)
	p := &Config{}
	if !ok || len(body) > MaxBodyBytes || top(skeleton, p) != nil {
		return nil
	}
	p.Body, p.at = body, at
	var fresh []int
	if p.Routes, fresh = items(old.Routes, body, at.routes, places[0]); p.Routes == nil {
		return nil
	}
	if p.Services, _ = items(old.Services, body, at.services, places[1]); p.Services == nil {
		return nil
	}
	if tags("", p) != nil || tags("Limits.", &p.Limits) != nil || p.cross(fresh, was[0].by == nil) != nil {
		return nil
	}
	return p
}

// items reads those that are new, and takes the others from an older plan; nil where one is not right.
func items[T any](old []T, body []byte, at []span, places []int) (all []T, fresh []int) {
	all = make([]T, len(at))
	for i, k := range places {
		if k >= 0 {
			all[i] = old[k]
			continue
		}
		fresh = append(fresh, i)
		if json.Unmarshal(body[at[i].from:at[i].to], &all[i]) != nil || tags("", &all[i]) != nil {
			return nil, nil
		}
	}
	return all, fresh
}

// split finds the items of Routes and Services in an object, with their places in older lists, and gives the object
// without them. It only looks for where
// strings, lists and objects begin and end: that the rest is JSON is told by reading the skeleton and each new item.
// ok is false for any shape that could be read in two ways.
func split(body []byte, was [2]*finder) (at layout, places [2][]int, skeleton []byte, ok bool) {
	i, from := blank(body, 0), 0
	if i >= len(body) || body[i] != '{' {
		return at, places, nil, false
	}
	seen := [2]bool{}
	for i++; ; i++ {
		i = blank(body, i)
		end := text(body, i)
		if end < 0 {
			return at, places, nil, false
		}
		key := body[i:end]
		if i = blank(body, end); i >= len(body) || body[i] != ':' || bytes.IndexByte(key, '\\') >= 0 {
			return at, places, nil, false
		}
		i = blank(body, i+1)
		list := -1
		for n, name := range []string{`"Routes"`, `"Services"`} {
			if bytes.EqualFold(key, []byte(name)) {
				if string(key) != name || seen[n] {
					return at, places, nil, false
				}
				seen[n], list = true, n
			}
		}
		if list < 0 {
			i = value(body, i)
		} else {
			if i >= len(body) || body[i] != '[' {
				return at, places, nil, false
			}
			skeleton = append(skeleton, body[from:i+1]...)
			var found []span
			if found, places[list], i = elements(body, i, was[list]); i >= 0 {
				from = i - 1
			}
			if list == 0 {
				at.routes = found
			} else {
				at.services = found
			}
		}
		if i < 0 {
			return at, places, nil, false
		}
		if i = blank(body, i); i >= len(body) {
			return at, places, nil, false
		}
		if body[i] == '}' {
			break
		}
		if body[i] != ',' {
			return at, places, nil, false
		}
	}
	return at, places, append(skeleton, body[from:]...), blank(body, i+1) == len(body) && seen[0] && seen[1]
}

// elements are those of a list that begins at i; end is behind it, or below 0.
func elements(body []byte, i int, was *finder) (all []span, places []int, end int) {
	if i = blank(body, i+1); i < len(body) && body[i] == ']' {
		return nil, nil, i + 1
	}
	all, places = make([]span, 0, len(was.items)+1), make([]int, 0, len(was.items)+1)
	for {
		i = blank(body, i)
		place := was.begins(body[i:])
		if place >= 0 {
			end = i + len(was.item(place))
		} else {
			if end = value(body, i); end < 0 {
				return nil, nil, -1
			}
			place = was.find(body[i:end])
		}
		all, places = append(all, span{i, end}), append(places, place)
		if i = blank(body, end); i >= len(body) {
			return nil, nil, -1
		}
		switch body[i] {
		case ']':
			return all, places, i + 1
		case ',':
			i++
		default:
			return nil, nil, -1
		}
	}
}

// ends says whether a value that stands alone may end before a byte.
func ends(b byte) bool {
	return b == ',' || b == ']' || b == ' ' || b == '\n' || b == '\t' || b == '\r'
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

// cross checks what items say of each other. Where only few routes are new, and each other one stood once in a plan that
// was checked, those are compared with all.
func (p *Config) cross(fresh []int, once bool) error {
	services := make(map[string]bool, len(p.Services))
	for i := range p.Services {
		s := &p.Services[i]
		if services[s.Name] {
			return fmt.Errorf("Services[%d].Name: %q: named twice", i, s.Name)
		}
		services[s.Name] = true
	}
	var places map[[2]string]bool
	var names map[string]bool
	if once = once && len(fresh) <= few; !once {
		places, names = make(map[[2]string]bool, len(p.Routes)), make(map[string]bool, len(p.Routes))
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		place, at, named := [2]string{r.Host, r.PathPrefix}, false, false
		if once {
			for _, k := range fresh {
				o := &p.Routes[k]
				at, named = at || i != k && o.Host == r.Host && o.PathPrefix == r.PathPrefix, named || i != k && o.Name == r.Name
			}
		} else {
			at, named = places[place], names[r.Name]
			places[place], names[r.Name] = true, true
		}
		switch {
		case !services[r.Service]:
			return fmt.Errorf("Routes[%d].Service: %q: no such service", i, r.Service)
		case at:
			return fmt.Errorf("Routes[%d].Host: %q with %q: another route is there", i, r.Host, r.PathPrefix)
		case named:
			return fmt.Errorf("Routes[%d].Name: %q: named twice", i, r.Name)
		}
	}
	return nil
}
