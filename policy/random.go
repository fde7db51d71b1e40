package policy

import (
	"hash/crc32"
	"strconv"
)

// random returns the next number, in [0, 1), of the pseudorandom sequence that the seed determines: the CRC-32 of the seed and
// the number of the draw.
func (r *Router) random() float64 {
	r.randomDraws++
	text := strconv.AppendUint(nil, uint64(r.Seed)<<32|uint64(r.randomDraws), 36)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}
