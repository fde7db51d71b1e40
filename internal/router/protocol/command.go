package protocol

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	// ErrInvalidComment reports that a statement's leading comment is missing, lacks a field, or has an invalid field.
	ErrInvalidComment = errors.New("no comment with id, c, d and cluster before the statement")
	// ErrUnsupportedStatement reports that a statement is neither the supported read nor the supported write.
	ErrUnsupportedStatement = errors.New("a statement of another form than is served")
)

const (
	maxNameBytes = 1 << 10 // maximum length of an id or a key
	maxNumber    = 1e15    // maximum number in a comment; above it, a float64 is too coarse for fractions of a millisecond
)

// Command is a parsed statement with its leading comment.
type Command struct {
	ID          string  // unique among the open commands
	Group       string  // name of the command group
	Key         string  // key of the record that is read or written
	ReplicaSet  int64   // the replica set that owns the key
	TimeoutMs   float64 // how long the client waits; positive
	WrittenAtMs float64 // Unix time of the commit that a read must see; 0 for none
	IsRetry     bool    // the client has sent this command before
	IsWrite     bool    // the statement is a write, not a read
}

// ParseCommand parses a statement. It fails with ErrInvalidComment or ErrUnsupportedStatement.
func ParseCommand(statement []byte) (Command, error) {
	comment, rest, ok := cutComment(statement)
	if !ok {
		return Command{}, ErrInvalidComment
	}
	command, err := parseComment(comment)
	if err != nil {
		return Command{}, err
	}
	if command.Key, command.IsWrite, ok = parseStatement(rest); !ok {
		return Command{}, ErrUnsupportedStatement
	}
	return command, nil
}

// parseComment parses the name=value items of a comment. Unknown names are ignored.
func parseComment(comment []byte) (command Command, err error) {
	for len(comment) > 0 {
		var item []byte
		item, comment, _ = bytes.Cut(comment, []byte{','})
		name, value, ok := bytes.Cut(bytes.TrimSpace(item), []byte{'='})
		if !ok {
			return Command{}, ErrInvalidComment
		}
		switch string(name) {
		case "id":
			command.ID = string(value)
		case "c":
			command.Group = string(value)
		case "d":
			command.TimeoutMs, err = parseNumber(value)
		case "cluster":
			command.ReplicaSet, err = strconv.ParseInt(string(value), 10, 64)
		case "after":
			command.WrittenAtMs, err = parseNumber(value)
		case "r":
			command.IsRetry = string(value) == "1"
		}
		if err != nil {
			return Command{}, ErrInvalidComment
		}
	}
	if command.ID == "" || len(command.ID) > maxNameBytes || command.Group == "" || command.TimeoutMs <= 0 {
		return Command{}, ErrInvalidComment
	}
	return command, nil
}

// Fixed parts of the two supported statements.
const (
	readPrefix   = "SELECT v FROM records WHERE k = "
	writePrefix  = "INSERT INTO records (k, v) VALUES ("
	valuePrefix  = `, '\x`
	writeSuffix  = "') RETURNING v"
	trailingText = "; " // characters that may follow a statement, in any number
)

// parseStatement parses one of the two supported statements and returns its key.
func parseStatement(statement []byte) (key string, isWrite, ok bool) {
	statement = bytes.TrimRight(bytes.TrimSpace(statement), trailingText)
	if literal, isRead := bytes.CutPrefix(statement, []byte(readPrefix)); isRead {
		key, rest, ok := cutLiteral(literal)
		return key, false, ok && len(rest) == 0
	}
	literals, isWrite := bytes.CutPrefix(statement, []byte(writePrefix))
	if !isWrite {
		return "", false, false
	}
	key, rest, ok := cutLiteral(literals)
	value, hasPrefix := bytes.CutPrefix(rest, []byte(valuePrefix))
	value, hasSuffix := bytes.CutSuffix(value, []byte(writeSuffix))
	return key, true, ok && hasPrefix && hasSuffix && isHex(value)
}

// isHex reports whether a text is an even number of hexadecimal digits.
func isHex(text []byte) bool {
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(text)%2 == 0
}

// AppendWithTimeout appends a statement with the timeout in its comment replaced by timeoutMs. The rest is copied unchanged.
func AppendWithTimeout(b, statement []byte, timeoutMs int64) []byte {
	comment, rest, ok := cutComment(statement)
	if !ok {
		return append(b, statement...)
	}
	start := len(statement) - len(rest) - len("*/") - len(comment)
	b = append(b, statement[:start]...)
	for len(comment) > 0 {
		item, after, hasMore := bytes.Cut(comment, []byte{','})
		if trimmed := bytes.TrimLeft(item, " "); bytes.HasPrefix(trimmed, []byte("d=")) {
			b = append(b, item[:len(item)-len(trimmed)+len("d=")]...)
			b = strconv.AppendInt(b, timeoutMs, 10)
			b = append(b, item[len(bytes.TrimRight(item, " ")):]...)
		} else {
			b = append(b, item...)
		}
		if comment = after; hasMore {
			b = append(b, ',')
		}
	}
	return append(append(b, "*/"...), rest...)
}

// IsEmptyStatement reports whether a statement consists of white space and semicolons only.
func IsEmptyStatement(statement []byte) bool { return len(bytes.Trim(statement, " \t\r\n;")) == 0 }

// cutComment splits a statement into the text of its leading comment and the rest. ok is false if it has no comment.
func cutComment(statement []byte) (comment, rest []byte, ok bool) {
	text := bytes.TrimLeft(statement, " \t\r\n")
	if !bytes.HasPrefix(text, []byte("/*")) {
		return nil, nil, false
	}
	return bytes.Cut(text[len("/*"):], []byte("*/"))
}

// parseNumber parses a decimal number, which may have a fraction but no sign or exponent.
func parseNumber(text []byte) (float64, error) {
	for _, c := range text {
		if (c < '0' || c > '9') && c != '.' {
			return 0, ErrInvalidComment
		}
	}
	value, err := strconv.ParseFloat(string(text), 64)
	if err == nil && value > maxNumber {
		err = ErrInvalidComment
	}
	return value, err
}

// cutLiteral parses the string literal at the start of a text, in which quotes are doubled. ok is false if the literal is empty,
// too long or malformed.
func cutLiteral(text []byte) (value string, rest []byte, ok bool) {
	text, ok = bytes.CutPrefix(text, []byte{'\''})
	for ok {
		var part []byte
		if part, text, ok = bytes.Cut(text, []byte{'\''}); !ok || len(value)+len(part) > maxNameBytes {
			return "", nil, false
		}
		if value += string(part); len(text) == 0 || text[0] != '\'' {
			return value, text, value != ""
		}
		value, text = value+"'", text[1:]
	}
	return "", nil, false
}
