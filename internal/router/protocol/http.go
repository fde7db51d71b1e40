package protocol

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// ErrInvalidResponse reports that a response is not valid HTTP/1.1 or uses features that are not supported.
var ErrInvalidResponse = errors.New("invalid or unsupported HTTP response")

const (
	crlf           = "\r\n"
	maxChunkHeader = 256 // maximum length of a chunk's size and extensions, in bytes
)

// AppendWatchRequest appends the request for the changes of the host list after a version, and for further changes as they
// occur.
func AppendWatchRequest(b []byte, host string, version int64) []byte {
	b = append(b, "GET /catalog/members?follow=1&since="...)
	b = strconv.AppendInt(b, version, 10)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	return append(append(b, host...), "\r\nAccept: application/json\r\n\r\n"...)
}

// NextResponseHead decodes the status line and the header at the start of b. It fails with ErrInvalidResponse.
func NextResponseHead(b []byte) (status int, chunked bool, n int, err error) {
	end := bytes.Index(b, []byte(crlf+crlf))
	if end < 0 {
		return 0, false, 0, nil
	}
	lines := strings.Split(string(b[:end]), crlf)
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") {
		return 0, false, 0, ErrInvalidResponse
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(name, "Transfer-Encoding") {
			chunked = strings.EqualFold(strings.TrimSpace(value), "chunked")
		}
	}
	return status, chunked, end + len(crlf+crlf), nil
}

// NextChunk decodes the first chunk of a chunked body in b. The last chunk has no data. It fails with ErrInvalidResponse, or with
// ErrTooLong if the chunk is longer than maxSize.
func NextChunk(b []byte, maxSize int) (data []byte, n int, err error) {
	header, _, ok := bytes.Cut(b, []byte(crlf))
	if !ok {
		if len(b) > maxChunkHeader {
			return nil, 0, ErrInvalidResponse
		}
		return nil, 0, nil
	}
	digits, _, _ := bytes.Cut(header, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	start := len(header) + len(crlf)
	end := start + int(size)
	switch {
	case err != nil:
		return nil, 0, ErrInvalidResponse
	case int(size) > maxSize:
		return nil, 0, ErrTooLong
	case len(b) < end+len(crlf):
		return nil, 0, nil
	case string(b[end:end+len(crlf)]) != crlf:
		return nil, 0, ErrInvalidResponse
	}
	return b[start:end], end + len(crlf), nil
}
