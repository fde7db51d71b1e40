package storage

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Keys of the records. They are part of the stored format and must never change.
const (
	keyIdentity    = "identity"
	keyHardState   = "meta"
	keySnapshot    = "snapshot"
	entryKeyPrefix = "n" // followed by the entry's index as 16 hexadecimal digits, so that keys sort in index order

	entryKeyBytes = len(entryKeyPrefix) + 16
	checksumBase  = 36 // checksums are stored as text of digits and letters
)

// errChecksum reports that a record's value differs from what was stored.
var errChecksum = errors.New("checksum mismatch")

func entryKey(index uint64) string { return fmt.Sprintf("%s%016x", entryKeyPrefix, index) }

// entryIndex parses the key of an entry. It returns false for any other key.
func entryIndex(key string) (uint64, bool) {
	if len(key) != entryKeyBytes || !strings.HasPrefix(key, entryKeyPrefix) {
		return 0, false
	}
	index, err := strconv.ParseUint(key[len(entryKeyPrefix):], 16, 64)
	return index, err == nil
}

// encodeChecksummed encodes a body as the value of a record: its checksum, a dot, and the body in base64. The checksum is needed
// because buntdb accepts a torn value if its length is right.
func encodeChecksummed(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), checksumBase) + "." + base64.RawStdEncoding.EncodeToString(body)
}

// decodeChecksummed decodes a value written by encodeChecksummed and verifies its checksum.
func decodeChecksummed(value string) ([]byte, error) {
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
