package storage

import (
	"bytes"
	"os"
	"strconv"

	"github.com/gravitational/trace"
)

// truncateTornTail cuts a file after the last change that is whole. Each change was synced before the next was written, so
// only the last can be torn, and that was acknowledged to nobody. Without this a torn end could make buntdb turn the
// whole file away.
func truncateTornTail(path string) error {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	n := validPrefix(text)
	if n == len(text) {
		return nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	if err := f.Truncate(int64(n)); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(f.Sync())
}

// validPrefix is how many bytes at the start are changes that are whole, by their form and their seals.
func validPrefix(text []byte) (n int) {
	for rest := text; len(rest) > 0; {
		parts, size := parseCommand(rest)
		if size == 0 || len(parts) < 2 {
			return n
		}
		switch string(parts[0]) {
		case "set":
			if len(parts) != 3 {
				return n
			}
			if _, err := decodeSealed(string(parts[2])); err != nil {
				return n
			}
		case "del":
		default:
			return n
		}
		n, rest = n+size, rest[size:]
	}
	return n
}

// parseCommand reads one of buntdb's commands: *PARTS, then $LENGTH and so many bytes for each, each line ended by CR LF.
func parseCommand(b []byte) (parts [][]byte, size int) {
	count, n := parseLength(b, '*')
	if n == 0 || count > 8 {
		return nil, 0
	}
	for range count {
		length, k := parseLength(b[n:], '$')
		if k == 0 || length > len(b)-n-k-2 {
			return nil, 0
		}
		n += k
		parts = append(parts, b[n:n+length])
		if n += length; b[n] != '\r' || b[n+1] != '\n' {
			return nil, 0
		}
		n += 2
	}
	return parts, n
}

// parseLength reads a mark, a number and CR LF; n is 0 where there is no such thing.
func parseLength(b []byte, mark byte) (value, n int) {
	end := bytes.Index(b[:min(len(b), 24)], []byte("\r\n"))
	if end < 2 || b[0] != mark {
		return 0, 0
	}
	value, err := strconv.Atoi(string(b[1:end]))
	if err != nil || value < 0 {
		return 0, 0
	}
	return value, end + 2
}
