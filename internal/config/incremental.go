package config

import (
	"bytes"
	"encoding/json"
)

// newItem is used in place of an index for an item that the previous configuration does not have.
const newItem = -1

// maxComparedRoutes is the maximum number of new routes that are compared one by one with all others. For more new routes, maps
// are built.
const maxComparedRoutes = 8

// ReadNext decodes and validates a complete configuration that replaces a previous one, which may be nil. Items that are
// unchanged from the previous configuration are not decoded and validated again. The result and the error are the same as those
// of Read.
func ReadNext(previous *Config, body []byte) (*Config, error) {
	if next := readIncrementally(previous, body); next != nil {
		return next, nil
	}
	return readFull(body) // reports the error, if there is one
}

// readIncrementally reads a configuration and reuses the items of the previous one. It returns nil if the body may be invalid or
// cannot be split.
func readIncrementally(previous *Config, body []byte) *Config {
	if previous == nil {
		previous = &Config{}
	}
	finders := previous.finders()
	parts, ok := split(body, finders)
	next := &Config{}
	if !ok || len(body) > MaxBodyBytes || decode(parts.skeleton, next) != nil {
		return nil
	}
	next.Body, next.layout = body, parts.layout
	if next.Routes, ok = decodeItems(previous.Routes, body, parts, routesList); !ok {
		return nil
	}
	if next.Services, ok = decodeItems(previous.Services, body, parts, servicesList); !ok {
		return nil
	}
	if validateFields(next) != nil || validateFields(&next.Limits) != nil || next.validateTenants() != nil {
		return nil
	}
	if next.validateReferences(next.conflictsWithNewRoutes(parts, finders)) != nil {
		return nil
	}
	return next
}

// conflictsWithNewRoutes compares routes only with the new ones if that is sufficient, and otherwise with all earlier ones. It is
// sufficient if all other routes are distinct routes of the previous configuration, because that had no duplicates.
func (c *Config) conflictsWithNewRoutes(parts splitBody, finders [listCount]*itemFinder) func(index int) routeConflict {
	var added []int
	for index, origin := range parts.origins[routesList] {
		if origin == newItem {
			added = append(added, index)
		}
	}
	if finders[routesList].hasContentIndex() || len(added) > maxComparedRoutes {
		return c.conflictsWithEarlier()
	}
	return c.conflictsWith(added)
}

// decodeItems decodes and validates the new items of a list, and takes the others from the previous list.
func decodeItems[T any](previous []T, body []byte, parts splitBody, list listIndex) (items []T, ok bool) {
	items = make([]T, len(parts.layout[list]))
	for i, origin := range parts.origins[list] {
		if origin != newItem {
			items[i] = previous[origin]
			continue
		}
		if json.Unmarshal(parts.layout[list][i].slice(body), &items[i]) != nil || validateFields(&items[i]) != nil {
			return nil, false
		}
	}
	return items, true
}

const (
	searchWindow = 4 // number of items from the expected one on that are compared first
	maxMisses    = 8 // number of misses after which all items are indexed by content
)

// itemFinder finds items in a list of the previous body by their bytes. Most items keep their order, so it first compares the
// items from the expected index on. Only after several misses does it index all items.
type itemFinder struct {
	body          []byte
	items         []span
	expectedIndex int // index of the item that is expected next
	misses        int
	byContent     map[string]int // index of each item by its bytes; nil until maxMisses is exceeded
}

func (c *Config) finders() (finders [listCount]*itemFinder) {
	for list, items := range c.layout {
		finders[list] = &itemFinder{body: c.Body, items: items}
	}
	return finders
}

func (f *itemFinder) item(index int) []byte { return f.items[index].slice(f.body) }

// matchPrefix looks for an item that text begins with, near the expected index. It returns the index of the item, or newItem.
func (f *itemFinder) matchPrefix(text []byte) int {
	for index := f.expectedIndex; index < min(len(f.items), f.expectedIndex+searchWindow); index++ {
		item := f.item(index)
		if len(item) < len(text) && endsScalar(text[len(item)]) && bytes.Equal(text[:len(item)], item) {
			f.expectedIndex = index + 1
			return index
		}
	}
	return newItem
}

// find looks for an item that matchPrefix did not find. It returns the index of the item, or newItem.
func (f *itemFinder) find(item []byte) int {
	f.misses++
	if f.misses > maxMisses {
		f.indexItems()
		if index, ok := f.byContent[string(item)]; ok {
			f.expectedIndex = index + 1
			return index
		}
	}
	f.expectedIndex++ // it may be a changed version of the expected item
	return newItem
}

func (f *itemFinder) indexItems() {
	if f.byContent != nil {
		return
	}
	f.byContent = make(map[string]int, len(f.items))
	for index := range f.items {
		f.byContent[string(f.item(index))] = index
	}
}

// hasContentIndex reports whether the items were indexed by content. Only then may an item have been found more than once, because
// matchPrefix only moves forward.
func (f *itemFinder) hasContentIndex() bool { return f.byContent != nil }
