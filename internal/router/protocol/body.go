package protocol

import (
	"bytes"
	"encoding/binary"
	"math"
	"strconv"
	"strings"
)

const (
	errorFieldCode = 'C' // type of the ErrorResponse field that holds the SQLSTATE code
	sqlStateLength = 5   // characters of an SQLSTATE code

	columnCountBytes       = 2  // length of the column count in RowDescription and DataRow
	columnLengthBytes      = 4  // length of a column's length in DataRow
	columnDescriptionBytes = 18 // length of a column's description in RowDescription, after its name
)

// ErrorCode returns the SQLSTATE code in an ErrorResponse's body, or "" if it has none or is malformed.
func ErrorCode(body []byte) string {
	code := ""
	for len(body) > 1 && body[0] != 0 {
		value, rest, complete := bytes.Cut(body[1:], []byte{0})
		if !complete {
			return ""
		}
		if body[0] == errorFieldCode {
			code = string(value)
		}
		body = rest
	}
	if len(body) != 1 || body[0] != 0 || len(code) != sqlStateLength {
		return ""
	}
	return code
}

// Parameter returns the name and value in the body of a ParameterStatus. ok is false if the body is malformed.
func Parameter(body []byte) (name, value string, ok bool) {
	nameText, rest, nameEnds := bytes.Cut(body, []byte{0})
	valueText, rest, valueEnds := bytes.Cut(rest, []byte{0})
	return string(nameText), string(valueText), nameEnds && valueEnds && len(rest) == 0
}

// SingleValue returns the column value in a DataRow's body. ok is false unless it has exactly one column, which is not null.
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

// IsCommandTag reports whether a CommandComplete's body is a valid command tag, such as INSERT 0 1.
func IsCommandTag(body []byte) bool {
	tag, rest, complete := bytes.Cut(body, []byte{0})
	for _, b := range tag {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return complete && len(rest) == 0 && len(tag) > 0
}

// QueryText returns the statement in a Query's body. ok is false if the body does not end at its only zero byte.
func QueryText(body []byte) (statement []byte, ok bool) {
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, false
	}
	return body[:len(body)-1], true
}

// LoadReportField returns the value of a field in a load report such as inflight=7,util=0.61.
func LoadReportField(report, name string) (float64, bool) {
	for item := range strings.SplitSeq(report, ",") {
		if itemName, text, ok := strings.Cut(item, "="); ok && itemName == name {
			value, err := strconv.ParseFloat(text, 64)
			return value, err == nil && !math.IsNaN(value) && !math.IsInf(value, 0)
		}
	}
	return 0, false
}
