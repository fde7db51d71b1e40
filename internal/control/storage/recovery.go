package storage

import (
	"bytes"
	"errors"
	"os"
	"strconv"

	"github.com/gravitational/trace"
)

const (
	maxCommandParts   = 8  // more than any of buntdb's commands has
	maxLengthLine     = 24 // bytes of a mark, a number of up to 20 digits, and CR LF
	lineEnd           = "\r\n"
	commandMark       = '*' // before the number of parts
	partMark          = '$' // before the length of a part
	operationSet      = "set"
	operationDelete   = "del"
	partsOfSet        = 3
	minPartsOfCommand = 2
)

// truncateTornTail cuts a file after its last valid command, and reports whether there was anything in it. Each commit was
// synced before the next was written, so only the last can be torn, and that one was not acknowledged. Without the cut
// buntdb might refuse the whole file.
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

// command is one of buntdb's commands: a record that is set or deleted.
type command struct {
	operation, key string
	body           []byte // of a record that is set
}

// validPrefix returns how many bytes at the start of a file are valid commands, by their form and their checksums.
func validPrefix(content []byte) int { return scanCommands(content, func(command) {}) }

// scanCommands calls visit for each valid command at the start of a file, and returns how many bytes they have.
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

var errCommand = errors.New("not a command of this package")

func decodeCommand(parts [][]byte) (command, error) {
	if len(parts) < minPartsOfCommand {
		return command{}, errCommand
	}
	next := command{operation: string(parts[0]), key: string(parts[1])}
	switch next.operation {
	case operationDelete:
		return next, nil
	case operationSet:
		if len(parts) != partsOfSet {
			return command{}, errCommand
		}
		body, err := decodeSealed(string(parts[2]))
		next.body = body
		return next, err
	}
	return command{}, errCommand
}

// parseCommand reads the parts of a command: *PARTS, then $LENGTH and so many bytes for each, each line ended by CR LF. size
// is 0 where there is no complete command.
func parseCommand(content []byte) (parts [][]byte, size int) {
	count, size := parseLength(content, commandMark)
	if size == 0 || count > maxCommandParts {
		return nil, 0
	}
	for range count {
		length, lineBytes := parseLength(content[size:], partMark)
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

// parseLength reads a line of a mark and a number. size is 0 where there is no such line.
func parseLength(content []byte, mark byte) (value, size int) {
	end := bytes.Index(content[:min(len(content), maxLengthLine)], []byte(lineEnd))
	if end < 2 || content[0] != mark {
		return 0, 0
	}
	value, err := strconv.Atoi(string(content[1:end]))
	if err != nil || value < 0 {
		return 0, 0
	}
	return value, end + len(lineEnd)
}
