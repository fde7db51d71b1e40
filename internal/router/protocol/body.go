package protocol

import (
	"bytes"
	"encoding/binary"
	"math"
	"strconv"
	"strings"
)

const (
	fieldCode = 'C' // the field of an ErrorResponse that holds the SQLSTATE code
	codeChars = 5   // of an SQLSTATE code

	columnCountBytes       = 2
	columnLengthBytes      = 4
	columnDescriptionBytes = 18 // of RowDescription, after the column's name
)

// ErrorCode returns the SQLSTATE code of an ErrorResponse's body, or "" where it has none or is malformed.
func ErrorCode(body []byte) string {
	code := ""
	for len(body) > 1 && body[0] != 0 {
		value, rest, complete := bytes.Cut(body[1:], []byte{0})
		if !complete {
			return ""
		}
		if body[0] == fieldCode {
			code = string(value)
		}
		body = rest
	}
	if len(body) != 1 || body[0] != 0 || len(code) != codeChars {
		return ""
	}
	return code
}

// Parameter returns the name and the value of a ParameterStatus body.
func Parameter(body []byte) (name, value string, ok bool) {
	nameText, rest, nameEnds := bytes.Cut(body, []byte{0})
	valueText, rest, valueEnds := bytes.Cut(rest, []byte{0})
	return string(nameText), string(valueText), nameEnds && valueEnds && len(rest) == 0
}

// SingleValue returns the column of a DataRow's body, if it has exactly one that is not null.
func SingleValue(body []byte) ([]byte, bool) {
	const start = columnCountBytes + columnLengthBytes
	if len(body) < start || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	size := binary.BigEndian.Uint32(body[columnCountBytes:])
	if uint64(size) != uint64(len(body)-start) {
		return nil, false
	}
	return body[start:], true
}

// IsSingleColumn reports whether a RowDescription's body describes exactly one column.
func IsSingleColumn(body []byte) bool {
	if len(body) < columnCountBytes || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, complete := bytes.Cut(body[columnCountBytes:], []byte{0})
	return complete && len(rest) == columnDescriptionBytes
}

// IsCommandTag reports whether a CommandComplete's body is a tag, as in INSERT 0 1.
func IsCommandTag(body []byte) bool {
	tag, rest, complete := bytes.Cut(body, []byte{0})
	for _, b := range tag {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return complete && len(rest) == 0 && len(tag) > 0
}

// QueryText returns the text of a Query's body; ok is false if it does not end at its only zero byte.
func QueryText(body []byte) (statement []byte, ok bool) {
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, false
	}
	return body[:len(body)-1], true
}

// LoadReportField returns the value of a name in a load report, as in inflight=7,util=0.61.
func LoadReportField(report, name string) (float64, bool) {
	for item := range strings.SplitSeq(report, ",") {
		if itemName, text, ok := strings.Cut(item, "="); ok && itemName == name {
			value, err := strconv.ParseFloat(text, 64)
			return value, err == nil && !math.IsNaN(value) && !math.IsInf(value, 0)
		}
	}
	return 0, false
}
