package storage

import (
	"encoding/base64"
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var errTorn = errors.New("not what was stored")

// seal makes a body a value that tells whether it is whole. Guards against torn writes that buntdb reads as values.
func seal(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 36) + "." + base64.RawStdEncoding.EncodeToString(body)
}

func unseal(text string) ([]byte, error) {
	sum, coded, ok := strings.Cut(text, ".")
	if !ok {
		return nil, errTorn
	}
	body, err := base64.RawStdEncoding.DecodeString(coded)
	if err != nil || strconv.FormatUint(xxhash.Sum64(body), 36) != sum {
		return nil, errTorn
	}
	return body, nil
}
