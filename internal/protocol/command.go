package protocol

import (
	"bytes"
	"errors"
	"math"
	"strconv"
)

// ErrComment tells of a statement without a usable comment.
var ErrComment = errors.New("no comment with id, c, d and cluster before the statement")

// Comment reads what a statement's leading comment and its first quoted word
// say. wait is in milliseconds, after a Unix time in them, 0 where there is none.
func Comment(statement []byte) (group, key string, set int64, wait, after float64, again bool, err error) {
	inside, rest, ok := comment(statement)
	if !ok {
		return "", "", 0, 0, 0, false, ErrComment
	}
	id := false
	for len(inside) > 0 {
		var item []byte
		item, inside, _ = bytes.Cut(inside, []byte{','})
		name, value, ok := bytes.Cut(bytes.TrimSpace(item), []byte{'='})
		if !ok {
			return "", "", 0, 0, 0, false, ErrComment
		}
		var bad error
		switch string(name) {
		case "id":
			id = len(value) > 0
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
		if bad != nil {
			return "", "", 0, 0, 0, false, ErrComment
		}
	}
	if !id || group == "" || wait <= 0 {
		return "", "", 0, 0, 0, false, ErrComment
	}
	return group, quoted(rest), set, wait, after, again, nil
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

func figure(b []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(b), 64)
	if err == nil && (math.IsNaN(v) || v < 0 || v > 1e15) {
		err = ErrComment
	}
	return v, err
}

// quoted is the first quoted word of a statement.
func quoted(s []byte) string {
	_, s, ok := bytes.Cut(s, []byte{'\''})
	if !ok {
		return ""
	}
	var word []byte
	for {
		part, rest, ok := bytes.Cut(s, []byte{'\''})
		if !ok {
			return ""
		}
		word = append(word, part...)
		if len(rest) == 0 || rest[0] != '\'' {
			return string(word)
		}
		word, s = append(word, '\''), rest[1:]
	}
}
