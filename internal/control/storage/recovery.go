package storage

import (
	"bytes"
	"errors"
	"os"
	"strconv"

	"github.com/gravitational/trace"
)

const (
	maxCommandParts    = 8  // more than any buntdb command has
	maxLengthLineBytes = 24 // bytes of a prefix, a number of up to 20 digits, and CR LF
	lineEnd            = "\r\n"
	commandPrefix      = '*' // before the number of parts
	partPrefix         = '$' // before the length of a part
	operationSet       = "set"
	operationDelete    = "del"
	setParts           = 3
	minCommandParts    = 2
)

// truncateTornTail truncates a file after its last valid command and reports whether the file had any content. Each commit is
// synced before the next is written, so only the last one can be torn, and it was not acknowledged. Without the truncation
// buntdb might reject the whole file.
func truncateTornTail(path string) (hadContent bool, err error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	hadContent = len(content) > 0
	valid := validPrefix(content)
	if valid == len(content) {
		return hadContent, nil
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return hadContent, trace.ConvertSystemError(err)
	}
	err = file.Truncate(int64(valid))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return hadContent, trace.ConvertSystemError(err)
}

// command is a buntdb command: it sets or deletes a record.
type command struct {
	operation, key string
	body           []byte // decoded value of a set command
}

// validPrefix returns the length of the longest prefix of a file that consists of well-formed commands with valid checksums.
func validPrefix(content []byte) int { return scanCommands(content, func(command) {}) }

// scanCommands calls visit for each command up to the first invalid one, and returns the total size of the visited commands.
func scanCommands(content []byte, visit func(command)) (valid int) {
	for valid < len(content) {
		parts, size := parseCommand(content[valid:])
		if size == 0 {
			return valid
		}
		next, err := decodeCommand(parts)
		if err != nil {
			return valid
		}
		visit(next)
		valid += size
	}
	return valid
}

var errInvalidCommand = errors.New("not a command of this package")

func decodeCommand(parts [][]byte) (command, error) {
	if len(parts) < minCommandParts {
		return command{}, errInvalidCommand
	}
	next := command{operation: string(parts[0]), key: string(parts[1])}
	switch next.operation {
	case operationDelete:
		return next, nil
	case operationSet:
		if len(parts) != setParts {
			return command{}, errInvalidCommand
		}
		body, err := decodeChecksummed(string(parts[2]))
		next.body = body
		return next, err
	}
	return command{}, errInvalidCommand
}

// parseCommand parses the parts of a command: the line *PARTS, then for each part the line $LENGTH and that many bytes. CR LF
// ends each line and each part. size is 0 if there is no complete command.
func parseCommand(content []byte) (parts [][]byte, size int) {
	count, size := parseLength(content, commandPrefix)
	if size == 0 || count > maxCommandParts {
		return nil, 0
	}
	for range count {
		length, lineBytes := parseLength(content[size:], partPrefix)
		if lineBytes == 0 || length > len(content)-size-lineBytes-len(lineEnd) {
			return nil, 0
		}
		size += lineBytes
		parts = append(parts, content[size:size+length])
		size += length
		if !bytes.HasPrefix(content[size:], []byte(lineEnd)) {
			return nil, 0
		}
		size += len(lineEnd)
	}
	return parts, size
}

// parseLength parses a line of a prefix and a number. size is 0 if there is no such line.
func parseLength(content []byte, prefix byte) (value, size int) {
	end := bytes.Index(content[:min(len(content), maxLengthLineBytes)], []byte(lineEnd))
	if end < 2 || content[0] != prefix {
		return 0, 0
	}
	value, err := strconv.Atoi(string(content[1:end]))
	if err != nil || value < 0 {
		return 0, 0
	}
	return value, end + len(lineEnd)
}
