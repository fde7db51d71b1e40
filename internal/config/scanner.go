package config

// scanner finds where JSON values end, without checking what is inside. Its methods move offset behind what they name. Those that
// return false leave it undefined.
type scanner struct {
	body   []byte
	offset int
}

func (s *scanner) atEnd() bool { return s.offset >= len(s.body) }

// accept moves behind a character if it is the next one, and returns whether it is.
func (s *scanner) accept(character byte) bool {
	if s.atEnd() || s.body[s.offset] != character {
		return false
	}
	s.offset++
	return true
}

func (s *scanner) skipSpace() {
	for !s.atEnd() && isSpace(s.body[s.offset]) {
		s.offset++
	}
}

// skipString moves behind a string.
func (s *scanner) skipString() bool {
	if !s.accept('"') {
		return false
	}
	for ; !s.atEnd(); s.offset++ {
		switch s.body[s.offset] {
		case '"':
			s.offset++
			return true
		case '\\':
			s.offset++
		}
	}
	return false
}

// skipValue moves behind a value of any type.
func (s *scanner) skipValue() bool {
	from := s.offset
	depth := 0
	for !s.atEnd() {
		character := s.body[s.offset]
		if depth == 0 && (character == '}' || endsScalar(character)) {
			return s.offset > from // a number or literal; without any character there is no value
		}
		if character == '"' {
			if !s.skipString() {
				return false
			}
			if depth == 0 {
				return true
			}
			continue
		}
		s.offset++
		switch character {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return true
			}
		}
	}
	return false
}

// endsScalar reports whether a number or literal, or an item of a list, may end before a character.
func endsScalar(character byte) bool {
	return character == ',' || character == ']' || isSpace(character)
}

func isSpace(character byte) bool {
	return character == ' ' || character == '\n' || character == '\t' || character == '\r'
}
