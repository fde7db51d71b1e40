package config

import "bytes"

// listIndex identifies a list of a configuration whose items are split.
type listIndex int

const (
	routesList listIndex = iota
	servicesList
	listCount
)

// listKeys has the keys of the lists, as they are written in a body.
var listKeys = [listCount]string{routesList: `"Routes"`, servicesList: `"Services"`}

// span is a range of bytes in a body.
type span struct{ from, to int }

func (s span) slice(body []byte) []byte { return body[s.from:s.to] }

// layout has the positions of the items of each list in a body.
type layout [listCount][]span

// splitBody is a body split into the items of its lists and the rest.
type splitBody struct {
	layout   layout
	origins  [listCount][]int // index of each item in the previous list, or newItem
	skeleton []byte           // the body without the items of its lists
}

// split splits a body and looks up its items in the previous lists. It only considers where strings, lists and objects begin and
// end; invalid JSON in between is detected when the skeleton and the new items are decoded. ok is false for any body that
// encoding/json might interpret differently, for example one with a duplicate list or a key in another case.
func split(body []byte, finders [listCount]*itemFinder) (parts splitBody, ok bool) {
	s := splitter{scanner: scanner{body: body}, finders: finders}
	if !s.splitObject() {
		return splitBody{}, false
	}
	return s.parts, true
}

// splitter has the state of a split. Its methods return false if the body cannot be split.
type splitter struct {
	scanner
	finders      [listCount]*itemFinder
	parts        splitBody
	seen         [listCount]bool
	skeletonFrom int // end of the part that is already in the skeleton or in an item
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

// splitMember reads a key of the object and its value.
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

// splitItems reads the items of a list up to and including the closing bracket.
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
	return item, finder.find(item.slice(s.body)), true
}
