package format

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	fileMagic        = "FPTRACE\n"
	blockMark        = "FPBK"
	indexMark        = "FPIX"
	endMagic         = "FPTEND\r\n"
	frameHeaderBytes = 4 + 4 + 8 // mark, length, checksum of the payload
	trailerBytes     = 8 + len(endMagic)

	// MaxHeaderBytes, BlockMost and IndexMost bound what a reader takes; Unpacked what a block may hold.
	MaxHeaderBytes   = 1 << 20
	MaxBlockBytes    = 4 << 20
	MaxIndexBytes    = 64 << 20
	MaxUnpackedBytes = 16 << 20
	// MaxBlockEvents is how many events a block may have.
	MaxBlockEvents = 1 << 16
)

var (
	ErrNotTrace     = errors.New("not a trace file")
	ErrNewerVersion = errors.New("of a newer version")
	ErrTruncated    = errors.New("the file breaks off")
	ErrCorrupt      = errors.New("a checksum differs")
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1024, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
	compressor   = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<18), zstd.WithLowerEncoderMem(true)))
	decompressor = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxUnpackedBytes), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// AppendHeader appends a file's beginning.
func AppendHeader(b []byte, h Header) ([]byte, error) {
	if err := h.Schema.Validate(); err != nil {
		return b, err
	}
	body, err := encoder.Marshal(h)
	if err != nil {
		return b, err
	}
	if len(body) > MaxHeaderBytes {
		return b, fmt.Errorf("a header of %d bytes, over %d", len(body), MaxHeaderBytes)
	}
	b = append(b, fileMagic...)
	b = binary.LittleEndian.AppendUint32(b, Version)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(body))
	return append(b, body...), nil
}

// Span is what an index says of a block, and the block's own head.
type Span struct {
	First  int64          `cbor:"1,keyasint"`
	Last   int64          `cbor:"2,keyasint"`
	Count  uint32         `cbor:"3,keyasint"`
	Lost   uint64         `cbor:"4,keyasint,omitempty"` // events that did not fit before this block's first
	Offset int64          `cbor:"5,keyasint,omitempty"`
	Length uint32         `cbor:"6,keyasint,omitempty"`
	Kinds  map[int]uint32 `cbor:"7,keyasint,omitempty"` // how many of each
}

// column is one column of a block: texts by number in the block's own table.
type column []int64

// blockPayload is a block's payload: its head, then the packed rest.
type blockPayload struct {
	Info         Span   `cbor:"1,keyasint"`
	ContentBytes uint32 `cbor:"2,keyasint"` // length of the rest, unpacked
	Content      []byte `cbor:"3,keyasint"`
}

// blockContent is columns as differences from the value before, which pack well.
type blockContent struct {
	Kinds   []int64    `cbor:"1,keyasint"`
	Times   []int64    `cbor:"2,keyasint"`
	Texts   []string   `cbor:"3,keyasint"`
	Columns [][]column `cbor:"4,keyasint"` // by kind, in the order of its columns
}

// Block gathers events. It is not safe for two goroutines.
type Block struct {
	schema      Schema
	info        Span
	kinds       []int64
	times       []int64
	columns     [][]column
	texts       []string
	textNumbers map[string]int64
	size        int
}

// NewBlock gathers events of a schema.
func NewBlock(s Schema) *Block {
	b := &Block{schema: s, textNumbers: map[string]int64{}, columns: make([][]column, len(s))}
	for i, k := range s {
		b.columns[i] = make([]column, len(k.Columns))
	}
	return b
}

// Reset empties a block, keeping its room.
func (b *Block) Reset() {
	for _, cols := range b.columns {
		for i := range cols {
			cols[i] = cols[i][:0]
		}
	}
	clear(b.textNumbers)
	clear(b.texts)
	b.kinds, b.times, b.texts, b.info, b.size = b.kinds[:0], b.times[:0], b.texts[:0], Span{}, 0
}

// Len and Size are how many events it holds, and their size in memory, about.
func (b *Block) Len() int  { return len(b.kinds) }
func (b *Block) Size() int { return b.size }

// Lost notes events that did not fit before this block.
func (b *Block) Lost(n uint64) { b.info.Lost += n }

// Full says that the next event needs another block.
func (b *Block) Full(size int) bool { return len(b.kinds) >= MaxBlockEvents || b.size >= size }

// Add adds an event. Its values are in the order of the kind's columns of each
// type; too few or too many are an error of the caller's.
func (b *Block) Add(at int64, kind int, ints []int64, texts []string) {
	k := b.schema[kind]
	if len(ints) != k.Count(Int) || len(texts) != k.Count(Text) {
		panic("an event of " + k.Name + " with other values than its columns")
	}
	if len(b.kinds) == 0 {
		b.info.First, b.info.Last = at, at
	}
	b.info.First, b.info.Last = min(b.info.First, at), max(b.info.Last, at)
	b.kinds, b.times = append(b.kinds, int64(kind)), append(b.times, at)
	i, t := 0, 0
	for c, col := range k.Columns {
		v := int64(0)
		if col.Type == Int {
			v = ints[i]
			i++
		} else {
			v = b.textNumber(texts[t])
			t++
		}
		b.columns[kind][c] = append(b.columns[kind][c], v)
	}
	b.size += 16 + 8*len(k.Columns)
}

func (b *Block) textNumber(s string) int64 {
	n, ok := b.textNumbers[s]
	if !ok {
		n = int64(len(b.texts))
		b.texts = append(b.texts, s)
		b.textNumbers[s] = n
		b.size += 32 + len(s)
	}
	return n
}

// deltas replaces values by what they differ from the one before; sums undoes it.
func deltas(c []int64) []int64 {
	out, last := make([]int64, len(c)), int64(0)
	for i, v := range c {
		out[i], last = v-last, v
	}
	return out
}

func undoDeltas(c []int64) {
	last := int64(0)
	for i := range c {
		last += c[i]
		c[i] = last
	}
}

// Append appends the block as a frame, and says what an index is to hold of it.
// offset is where the frame will be in its file.
func (b *Block) Append(out []byte, offset int64) ([]byte, Span, error) {
	r := blockContent{Kinds: b.kinds, Times: deltas(b.times), Texts: b.texts, Columns: make([][]column, len(b.columns))}
	b.info.Count, b.info.Kinds = uint32(len(b.kinds)), map[int]uint32{}
	for _, k := range b.kinds {
		b.info.Kinds[int(k)]++
	}
	for k, cols := range b.columns {
		if len(cols) == 0 || len(cols[0]) == 0 {
			continue
		}
		for _, c := range cols {
			r.Columns[k] = append(r.Columns[k], deltas(c))
		}
	}
	raw, err := encoder.Marshal(r)
	if err != nil {
		return out, Span{}, err
	}
	if len(raw) > MaxUnpackedBytes {
		return out, Span{}, fmt.Errorf("a block of %d bytes, over %d", len(raw), MaxUnpackedBytes)
	}
	payload, err := encoder.Marshal(blockPayload{Info: b.info, ContentBytes: uint32(len(raw)), Content: compressor.EncodeAll(raw, nil)})
	if err != nil {
		return out, Span{}, err
	}
	if len(payload) > MaxBlockBytes {
		return out, Span{}, fmt.Errorf("a packed block of %d bytes, over %d", len(payload), MaxBlockBytes)
	}
	span := b.info
	span.Offset, span.Length = offset, uint32(frameHeaderBytes+len(payload))
	return appendFrame(out, blockMark, payload), span, nil
}

func appendFrame(b []byte, mark string, payload []byte) []byte {
	b = append(b, mark...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...)
}

// AppendIndex appends a file's end. offset is where it will be.
func AppendIndex(b []byte, spans []Span, offset int64) ([]byte, error) {
	payload, err := encoder.Marshal(spans)
	if err != nil {
		return b, err
	}
	if len(payload) > MaxIndexBytes {
		return b, fmt.Errorf("an index of %d bytes, over %d", len(payload), MaxIndexBytes)
	}
	b = appendFrame(b, indexMark, payload)
	b = binary.LittleEndian.AppendUint64(b, uint64(offset))
	return append(b, endMagic...), nil
}

// readFrame reads a frame's mark and payload. io.EOF is a clean end before it.
func readFrame(in io.Reader, most int) (mark string, payload []byte, err error) {
	var head [frameHeaderBytes]byte
	switch n, err := io.ReadFull(in, head[:]); {
	case err == io.EOF:
		return "", nil, io.EOF
	case err != nil:
		return "", nil, fmt.Errorf("%w: %d of %d bytes of a frame's head", ErrTruncated, n, frameHeaderBytes)
	}
	mark = string(head[:4])
	size := binary.LittleEndian.Uint32(head[4:])
	if mark == indexMark {
		most = MaxIndexBytes
	} else if mark != blockMark {
		return "", nil, fmt.Errorf("%w: neither a block nor an index", ErrCorrupt)
	}
	if int64(size) > int64(most) {
		return "", nil, fmt.Errorf("%w: a length of %d, over %d", ErrCorrupt, size, most)
	}
	var body bytes.Buffer // grows with what comes, not with what a length claims
	n, err := io.CopyN(&body, in, int64(size))
	if err != nil {
		return "", nil, fmt.Errorf("%w: %d of %d bytes of a frame", ErrTruncated, n, size)
	}
	if xxhash.Sum64(body.Bytes()) != binary.LittleEndian.Uint64(head[8:]) {
		return mark, body.Bytes(), ErrCorrupt
	}
	return mark, body.Bytes(), nil
}

// decodeBlock reads a block's payload into events.
func decodeBlock(s Schema, payload []byte) (span Span, events []Event, err error) {
	var p blockPayload
	if err := decoder.Unmarshal(payload, &p); err != nil {
		return span, nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if p.ContentBytes > MaxUnpackedBytes || p.Info.Count > MaxBlockEvents {
		return span, nil, fmt.Errorf("%w: %d bytes and %d events in a block", ErrCorrupt, p.ContentBytes, p.Info.Count)
	}
	raw, err := decompressor.DecodeAll(p.Content, make([]byte, 0, min(int(p.ContentBytes), 1<<20)))
	if err != nil || len(raw) != int(p.ContentBytes) {
		return span, nil, fmt.Errorf("%w: a block of %d bytes, %d said: %v", ErrCorrupt, len(raw), p.ContentBytes, err)
	}
	var r blockContent
	if err := decoder.Unmarshal(raw, &r); err != nil {
		return span, nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if err := r.validate(s, int(p.Info.Count)); err != nil {
		return span, nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	undoDeltas(r.Times)
	for _, cols := range r.Columns {
		for _, c := range cols {
			undoDeltas(c)
		}
	}
	at := make([]int, len(s))
	events = make([]Event, len(r.Kinds))
	for i, kind := range r.Kinds {
		e := Event{At: r.Times[i], Kind: int(kind)}
		for c, col := range s[kind].Columns {
			v := r.Columns[kind][c][at[kind]]
			switch {
			case col.Type == Int:
				e.Ints = append(e.Ints, v)
			case v < 0 || v >= int64(len(r.Texts)):
				return span, nil, fmt.Errorf("%w: text %d of %d", ErrCorrupt, v, len(r.Texts))
			default:
				e.Texts = append(e.Texts, r.Texts[v])
			}
		}
		at[kind]++
		events[i] = e
	}
	return p.Info, events, nil
}

// validate holds a block's shape against the schema before anything is indexed by it.
func (r *blockContent) validate(s Schema, count int) error {
	if len(r.Kinds) != count || len(r.Times) != count || len(r.Columns) > len(s) {
		return fmt.Errorf("%d kinds and %d times for %d events", len(r.Kinds), len(r.Times), count)
	}
	each := make([]int, len(s))
	for _, k := range r.Kinds {
		if k < 0 || int(k) >= len(s) {
			return fmt.Errorf("kind %d of %d", k, len(s))
		}
		each[k]++
	}
	for k, n := range each {
		if n == 0 || len(s[k].Columns) == 0 {
			continue
		}
		if k >= len(r.Columns) || len(r.Columns[k]) != len(s[k].Columns) {
			return fmt.Errorf("kind %s: columns are missing", s[k].Name)
		}
		for _, c := range r.Columns[k] {
			if len(c) != n {
				return fmt.Errorf("kind %s: %d values for %d events", s[k].Name, len(c), n)
			}
		}
	}
	return nil
}
