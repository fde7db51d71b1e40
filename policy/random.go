package policy

import (
	"hash/crc32"
	"strconv"
)

// random is the next number of a sequence that the seed fixes, in [0, 1).
func (r *Router) random() float64 {
	r.randomDraws++
	text := strconv.AppendUint(nil, uint64(r.Seed)<<32|uint64(r.randomDraws), 36)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}
