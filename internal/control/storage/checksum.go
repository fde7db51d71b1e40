package storage

import (
	"encoding/base64"
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var errChecksum = errors.New("not what was stored")

// encodeSealed makes a body a value that tells whether it is whole. Guards against torn writes that buntdb reads as values.
func encodeSealed(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 36) + "." + base64.RawStdEncoding.EncodeToString(body)
}

func decodeSealed(text string) ([]byte, error) {
	sum, coded, ok := strings.Cut(text, ".")
	if !ok {
		return nil, errChecksum
	}
	body, err := base64.RawStdEncoding.DecodeString(coded)
	if err != nil || strconv.FormatUint(xxhash.Sum64(body), 36) != sum {
		return nil, errChecksum
	}
	return body, nil
}
