package storage

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Keys of the records. Stored: they never change.
const (
	keyIdentity    = "identity"
	keyHardState   = "meta"
	keySnapshot    = "snapshot"
	entryKeyPrefix = "n" // then the entry's index as 16 hexadecimal digits, so that keys sort as indices do

	entryKeyBytes = len(entryKeyPrefix) + 16
	checksumBase  = 36 // a checksum is written as text, in digits and letters
)

// errChecksum says that a record's value is not what was stored.
var errChecksum = errors.New("checksum mismatch")

func entryKey(index uint64) string { return fmt.Sprintf("%s%016x", entryKeyPrefix, index) }

// entryIndex reads the key of an entry. It reports false for any other key.
func entryIndex(key string) (uint64, bool) {
	if len(key) != entryKeyBytes || !strings.HasPrefix(key, entryKeyPrefix) {
		return 0, false
	}
	index, err := strconv.ParseUint(key[len(entryKeyPrefix):], 16, 64)
	return index, err == nil
}

// encodeSealed makes a body the value of a record: its checksum, a point, and the body in base64. The checksum is needed
// because buntdb reads a torn value as long as its length is right.
func encodeSealed(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), checksumBase) + "." + base64.RawStdEncoding.EncodeToString(body)
}

// decodeSealed reads what encodeSealed wrote.
func decodeSealed(value string) ([]byte, error) {
	checksum, encoded, found := strings.Cut(value, ".")
	if !found {
		return nil, errChecksum
	}
	body, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil || strconv.FormatUint(xxhash.Sum64(body), checksumBase) != checksum {
		return nil, errChecksum
	}
	return body, nil
}
