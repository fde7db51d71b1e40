package protocol

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	ErrComment = errors.New("no comment with id, c, d and cluster before the statement")
	ErrForm    = errors.New("a statement of another form than is served")
)

const longestName = 1 << 10 // of an id or a key

// Comment reads what a statement's leading comment and the statement itself say. wait is in milliseconds,
// after a Unix time in them, 0 where there is none; writes says which of the two forms it has.
func Comment(statement []byte) (id, group, key string, set int64, wait, after float64, again, writes bool,
	err error) {
	inside, rest, ok := comment(statement)
	for ok && len(inside) > 0 {
		var item []byte
		item, inside, _ = bytes.Cut(inside, []byte{','})
		name, value, cut := bytes.Cut(bytes.TrimSpace(item), []byte{'='})
		ok = cut
		var bad error
		switch string(name) {
		case "id":
			id = string(value)
		case "c":
			group = string(value)
		case "d":
			wait, bad = figure(value)
		case "cluster":
			set, bad = strconv.ParseInt(string(value), 10, 64)
		case "after":
			after, bad = figure(value)
		case "r":
			again = string(value) == "1"
		}
		ok = ok && bad == nil
	}
	if !ok || id == "" || len(id) > longestName || group == "" || wait <= 0 {
		return "", "", "", 0, 0, 0, false, false, ErrComment
	}
	if key, writes, ok = form(rest); !ok {
		return "", "", "", 0, 0, 0, false, false, ErrForm
	}
	return id, group, key, set, wait, after, again, writes, nil
}

// form reads the two forms that statements have: of a read and of a write.
func form(s []byte) (key string, writes, ok bool) {
	s = bytes.TrimRight(bytes.TrimSpace(s), "; ")
	if inside, read := bytes.CutPrefix(s, []byte("SELECT v FROM records WHERE k = ")); read {
		key, rest, ok := quoted(inside)
		return key, false, ok && len(rest) == 0
	}
	inside, write := bytes.CutPrefix(s, []byte("INSERT INTO records (k, v) VALUES ("))
	if !write {
		return "", false, false
	}
	key, rest, ok := quoted(inside)
	value, lead := bytes.CutPrefix(rest, []byte(`, '\x`))
	value, tail := bytes.CutSuffix(value, []byte("') RETURNING v"))
	for _, d := range value {
		if !(d >= '0' && d <= '9' || d >= 'a' && d <= 'f' || d >= 'A' && d <= 'F') {
			return "", true, false
		}
	}
	return key, true, ok && lead && tail && len(value)%2 == 0
}

// AppendFor appends a statement with the time in its comment replaced; all
// else stays as it came.
func AppendFor(b, statement []byte, wait int64) []byte {
	inside, rest, ok := comment(statement)
	if !ok {
		return append(b, statement...)
	}
	from := len(statement) - len(rest) - 2 - len(inside)
	b = append(b, statement[:from]...)
	for i := 0; len(inside) > 0; i++ {
		item, more, cut := bytes.Cut(inside, []byte{','})
		if name := bytes.TrimLeft(item, " "); bytes.HasPrefix(name, []byte("d=")) {
			b = append(b, item[:len(item)-len(name)+2]...)
			b = strconv.AppendInt(b, wait, 10)
			b = append(b, item[len(bytes.TrimRight(item, " ")):]...)
		} else {
			b = append(b, item...)
		}
		if inside = more; cut {
			b = append(b, ',')
		}
	}
	return append(append(b, "*/"...), rest...)
}

// Empty says whether a statement has nothing to run.
func Empty(statement []byte) bool { return len(bytes.Trim(statement, " \t\r\n;")) == 0 }

func comment(statement []byte) (inside, rest []byte, ok bool) {
	s := bytes.TrimLeft(statement, " \t\r\n")
	if !bytes.HasPrefix(s, []byte("/*")) {
		return nil, nil, false
	}
	return bytes.Cut(s[2:], []byte("*/"))
}

// figure reads digits, perhaps with a fraction.
func figure(b []byte) (float64, error) {
	for _, d := range b {
		if (d < '0' || d > '9') && d != '.' {
			return 0, ErrComment
		}
	}
	v, err := strconv.ParseFloat(string(b), 64)
	if err == nil && v > 1e15 {
		err = ErrComment
	}
	return v, err
}

// quoted reads the quoted word that s begins with.
func quoted(s []byte) (word string, rest []byte, ok bool) {
	s, ok = bytes.CutPrefix(s, []byte{'\''})
	for ok {
		var part []byte
		if part, s, ok = bytes.Cut(s, []byte{'\''}); !ok || len(word)+len(part) > longestName {
			return "", nil, false
		}
		if word += string(part); len(s) == 0 || s[0] != '\'' {
			return word, s, word != ""
		}
		word, s = word+"'", s[1:]
	}
	return "", nil, false
}
