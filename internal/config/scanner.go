package config

// scanner finds the ends of JSON values without validating their content. Its methods advance offset past what they accept or skip.
// If a method returns false, offset is undefined.
type scanner struct {
	body   []byte
	offset int
}

func (s *scanner) atEnd() bool { return s.offset >= len(s.body) }

// accept skips the given character if it is the next one, and returns whether it was.
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

// skipString skips a string.
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

// skipValue skips a value of any type.
func (s *scanner) skipValue() bool {
	from := s.offset
	depth := 0
	for !s.atEnd() {
		character := s.body[s.offset]
		if depth == 0 && (character == '}' || endsScalar(character)) {
			return s.offset > from // end of a number or literal, which has at least one character
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

// endsScalar reports whether a character may follow a number, a literal or an item of a list.
func endsScalar(character byte) bool {
	return character == ',' || character == ']' || isSpace(character)
}

func isSpace(character byte) bool {
	return character == ' ' || character == '\n' || character == '\t' || character == '\r'
}
