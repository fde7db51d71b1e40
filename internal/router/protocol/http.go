package protocol

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// ErrHTTP tells of an answer that is no HTTP/1.1 that is understood here.
var ErrHTTP = errors.New("not an HTTP answer that is understood")

// AppendWatchRequest appends the request for the list and its changes after a version.
func AppendWatchRequest(b []byte, host string, rev int64) []byte {
	b = append(b, "GET /catalog/members?follow=1&since="...)
	b = strconv.AppendInt(b, rev, 10)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	return append(append(b, host...), "\r\nAccept: application/json\r\n\r\n"...)
}

// NextResponseHead reads the head of an answer. n is 0 while it is not whole.
func NextResponseHead(b []byte) (status int, chunked bool, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, false, 0, nil
	}
	for i, line := range strings.Split(string(b[:end]), "\r\n") {
		if i == 0 {
			version, rest, _ := strings.Cut(line, " ")
			code, _, _ := strings.Cut(rest, " ")
			status, err = strconv.Atoi(code)
			if err != nil || !strings.HasPrefix(version, "HTTP/1.") {
				return 0, false, 0, ErrHTTP
			}
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(name, "Transfer-Encoding") {
			chunked = strings.EqualFold(strings.TrimSpace(value), "chunked")
		}
	}
	return status, chunked, end + 4, nil
}

// NextChunk cuts the first chunk off b. n is 0 while it is not whole; a chunk of
// nothing is the last.
func NextChunk(b []byte, maxSize int) (data []byte, n int, err error) {
	head, _, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok {
		if len(b) > 256 {
			return nil, 0, ErrHTTP
		}
		return nil, 0, nil
	}
	digits, _, _ := bytes.Cut(head, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	from := len(head) + 2
	switch {
	case err != nil:
		return nil, 0, ErrHTTP
	case int(size) > maxSize:
		return nil, 0, ErrTooLong
	case len(b) < from+int(size)+2:
		return nil, 0, nil
	case b[from+int(size)] != '\r' || b[from+int(size)+1] != '\n':
		return nil, 0, ErrHTTP
	}
	return b[from : from+int(size)], from + int(size) + 2, nil
}
