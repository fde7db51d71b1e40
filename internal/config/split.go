package config

import "bytes"

// listIndex is one of the lists whose items are found in a body.
type listIndex int

const (
	routesList listIndex = iota
	servicesList
	listCount
)

// listKeys are the lists' keys as they stand in a body.
var listKeys = [listCount]string{routesList: `"Routes"`, servicesList: `"Services"`}

// span is a part of a body.
type span struct{ from, to int }

func (s span) of(body []byte) []byte { return body[s.from:s.to] }

// layout is where the items of each list are in a body.
type layout [listCount][]span

// splitBody is a body that was split into the items of its lists and the rest.
type splitBody struct {
	layout   layout
	origins  [listCount][]int // for each item its index in the previous list, or newItem
	skeleton []byte           // the body without the items
}

// split splits a body, and finds its items in previous lists. It looks only at where strings, lists and objects begin and end:
// whether the text between is valid JSON is found out when the skeleton and the new items are decoded. ok is false for every
// body that encoding/json may read in another way, such as one with a list given twice or with a key in another case.
func split(body []byte, finders [listCount]*itemFinder) (parts splitBody, ok bool) {
	s := splitter{scanner: scanner{body: body}, finders: finders}
	if !s.splitObject() {
		return splitBody{}, false
	}
	return s.parts, true
}

// splitter is a split in progress. Its methods return false for a body that can't be split.
type splitter struct {
	scanner
	finders      [listCount]*itemFinder
	parts        splitBody
	seen         [listCount]bool
	skeletonFrom int // what comes before is in the skeleton, or is an item
}

func (s *splitter) splitObject() bool {
	s.skipSpace()
	if !s.accept('{') {
		return false
	}
	for {
		if !s.splitMember() {
			return false
		}
		s.skipSpace()
		if s.accept('}') {
			break
		}
		if !s.accept(',') {
			return false
		}
	}
	s.parts.skeleton = append(s.parts.skeleton, s.body[s.skeletonFrom:]...)
	s.skipSpace()
	return s.atEnd() && s.seen[routesList] && s.seen[servicesList]
}

// splitMember reads a key and its value.
func (s *splitter) splitMember() bool {
	s.skipSpace()
	keyFrom := s.offset
	if !s.skipString() {
		return false
	}
	key := s.body[keyFrom:s.offset]
	s.skipSpace()
	if !s.accept(':') || bytes.IndexByte(key, '\\') >= 0 {
		return false
	}
	s.skipSpace()
	for list, listKey := range listKeys {
		if bytes.EqualFold(key, []byte(listKey)) {
			if string(key) != listKey || s.seen[list] {
				return false
			}
			s.seen[list] = true
			return s.splitList(listIndex(list))
		}
	}
	return s.skipValue()
}

func (s *splitter) splitList(list listIndex) bool {
	if !s.accept('[') {
		return false
	}
	s.parts.skeleton = append(s.parts.skeleton, s.body[s.skeletonFrom:s.offset]...)
	if !s.splitItems(list) {
		return false
	}
	s.skeletonFrom = s.offset - len("]")
	return true
}

// splitItems reads the items of a list to its closing bracket.
func (s *splitter) splitItems(list listIndex) bool {
	s.skipSpace()
	if s.accept(']') {
		return true
	}
	finder := s.finders[list]
	capacity := len(finder.items) + 1
	items, origins := make([]span, 0, capacity), make([]int, 0, capacity)
	for {
		s.skipSpace()
		item, origin, ok := s.splitItem(finder)
		if !ok {
			return false
		}
		items, origins = append(items, item), append(origins, origin)
		s.skipSpace()
		if s.accept(']') {
			s.parts.layout[list], s.parts.origins[list] = items, origins
			return true
		}
		if !s.accept(',') {
			return false
		}
	}
}

func (s *splitter) splitItem(finder *itemFinder) (item span, origin int, ok bool) {
	from := s.offset
	if origin = finder.matchPrefix(s.body[from:]); origin != newItem {
		s.offset += len(finder.item(origin))
		return span{from, s.offset}, origin, true
	}
	if !s.skipValue() {
		return span{}, newItem, false
	}
	item = span{from, s.offset}
	return item, finder.find(item.of(s.body)), true
}
