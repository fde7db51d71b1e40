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
	opening   = "FPTRACE\n"
	blockMark = "FPBK"
	indexMark = "FPIX"
	closing   = "FPTEND\r\n"
	frameHead = 4 + 4 + 8 // mark, length, checksum of the payload
	tailSize  = 8 + len(closing)

	// HeaderMost, BlockMost and IndexMost bound what a reader takes; Unpacked what a block may hold.
	HeaderMost = 1 << 20
	BlockMost  = 4 << 20
	IndexMost  = 64 << 20
	Unpacked   = 16 << 20
	// EventsMost is how many events a block may have.
	EventsMost = 1 << 16
)

var (
	ErrForm  = errors.New("not a trace file")
	ErrNewer = errors.New("of a newer version")
	ErrBreak = errors.New("the file breaks off")
	ErrSum   = errors.New("a checksum differs")
)

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1024, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
	packer   = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<18), zstd.WithLowerEncoderMem(true)))
	unpacker = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(Unpacked), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// AppendHeader appends a file's beginning.
func AppendHeader(b []byte, h Header) ([]byte, error) {
	if err := h.Schema.Check(); err != nil {
		return b, err
	}
	body, err := encoding.Marshal(h)
	if err != nil {
		return b, err
	}
	if len(body) > HeaderMost {
		return b, fmt.Errorf("a header of %d bytes, over %d", len(body), HeaderMost)
	}
	b = append(b, opening...)
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

// packed is a block's payload: its head, then the packed rest.
type packed struct {
	Span Span   `cbor:"1,keyasint"`
	Raw  uint32 `cbor:"2,keyasint"` // length of the rest, unpacked
	Rest []byte `cbor:"3,keyasint"`
}

// rest is columns as differences from the value before, which pack well.
type rest struct {
	Kinds []int64    `cbor:"1,keyasint"`
	Times []int64    `cbor:"2,keyasint"`
	Texts []string   `cbor:"3,keyasint"`
	Cols  [][]column `cbor:"4,keyasint"` // by kind, in the order of its columns
}

// Block gathers events. It is not safe for two goroutines.
type Block struct {
	schema Schema
	span   Span
	kinds  []int64
	times  []int64
	cols   [][]column
	texts  []string
	known  map[string]int64
	size   int
}

// NewBlock gathers events of a schema.
func NewBlock(s Schema) *Block {
	b := &Block{schema: s, known: map[string]int64{}, cols: make([][]column, len(s))}
	for i, k := range s {
		b.cols[i] = make([]column, len(k.Columns))
	}
	return b
}

// Reset empties a block, keeping its room.
func (b *Block) Reset() {
	for _, cols := range b.cols {
		for i := range cols {
			cols[i] = cols[i][:0]
		}
	}
	clear(b.known)
	clear(b.texts)
	b.kinds, b.times, b.texts, b.span, b.size = b.kinds[:0], b.times[:0], b.texts[:0], Span{}, 0
}

// Len and Size are how many events it holds, and their size in memory, about.
func (b *Block) Len() int  { return len(b.kinds) }
func (b *Block) Size() int { return b.size }

// Lost notes events that did not fit before this block.
func (b *Block) Lost(n uint64) { b.span.Lost += n }

// Full says that the next event needs another block.
func (b *Block) Full(size int) bool { return len(b.kinds) >= EventsMost || b.size >= size }

// Add adds an event. Its values are in the order of the kind's columns of each
// type; too few or too many are an error of the caller's.
func (b *Block) Add(at int64, kind int, ints []int64, texts []string) {
	k := b.schema[kind]
	if len(ints) != k.Count(Int) || len(texts) != k.Count(Text) {
		panic("an event of " + k.Name + " with other values than its columns")
	}
	if len(b.kinds) == 0 {
		b.span.First, b.span.Last = at, at
	}
	b.span.First, b.span.Last = min(b.span.First, at), max(b.span.Last, at)
	b.kinds, b.times = append(b.kinds, int64(kind)), append(b.times, at)
	i, t := 0, 0
	for c, col := range k.Columns {
		v := int64(0)
		if col.Type == Int {
			v = ints[i]
			i++
		} else {
			v = b.text(texts[t])
			t++
		}
		b.cols[kind][c] = append(b.cols[kind][c], v)
	}
	b.size += 16 + 8*len(k.Columns)
}

func (b *Block) text(s string) int64 {
	n, ok := b.known[s]
	if !ok {
		n = int64(len(b.texts))
		b.texts = append(b.texts, s)
		b.known[s] = n
		b.size += 32 + len(s)
	}
	return n
}

// differences replaces values by what they differ from the one before; sums undoes it.
func differences(c []int64) []int64 {
	out, last := make([]int64, len(c)), int64(0)
	for i, v := range c {
		out[i], last = v-last, v
	}
	return out
}

func sums(c []int64) {
	last := int64(0)
	for i := range c {
		last += c[i]
		c[i] = last
	}
}

// Append appends the block as a frame, and says what an index is to hold of it.
// offset is where the frame will be in its file.
func (b *Block) Append(out []byte, offset int64) ([]byte, Span, error) {
	r := rest{Kinds: b.kinds, Times: differences(b.times), Texts: b.texts, Cols: make([][]column, len(b.cols))}
	b.span.Count, b.span.Kinds = uint32(len(b.kinds)), map[int]uint32{}
	for _, k := range b.kinds {
		b.span.Kinds[int(k)]++
	}
	for k, cols := range b.cols {
		if len(cols) == 0 || len(cols[0]) == 0 {
			continue
		}
		for _, c := range cols {
			r.Cols[k] = append(r.Cols[k], differences(c))
		}
	}
	raw, err := encoding.Marshal(r)
	if err != nil {
		return out, Span{}, err
	}
	if len(raw) > Unpacked {
		return out, Span{}, fmt.Errorf("a block of %d bytes, over %d", len(raw), Unpacked)
	}
	payload, err := encoding.Marshal(packed{Span: b.span, Raw: uint32(len(raw)), Rest: packer.EncodeAll(raw, nil)})
	if err != nil {
		return out, Span{}, err
	}
	if len(payload) > BlockMost {
		return out, Span{}, fmt.Errorf("a packed block of %d bytes, over %d", len(payload), BlockMost)
	}
	span := b.span
	span.Offset, span.Length = offset, uint32(frameHead+len(payload))
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
	payload, err := encoding.Marshal(spans)
	if err != nil {
		return b, err
	}
	if len(payload) > IndexMost {
		return b, fmt.Errorf("an index of %d bytes, over %d", len(payload), IndexMost)
	}
	b = appendFrame(b, indexMark, payload)
	b = binary.LittleEndian.AppendUint64(b, uint64(offset))
	return append(b, closing...), nil
}

// readFrame reads a frame's mark and payload. io.EOF is a clean end before it.
func readFrame(in io.Reader, most int) (mark string, payload []byte, err error) {
	var head [frameHead]byte
	switch n, err := io.ReadFull(in, head[:]); {
	case err == io.EOF:
		return "", nil, io.EOF
	case err != nil:
		return "", nil, fmt.Errorf("%w: %d of %d bytes of a frame's head", ErrBreak, n, frameHead)
	}
	mark = string(head[:4])
	size := binary.LittleEndian.Uint32(head[4:])
	if mark == indexMark {
		most = IndexMost
	} else if mark != blockMark {
		return "", nil, fmt.Errorf("%w: neither a block nor an index", ErrSum)
	}
	if int64(size) > int64(most) {
		return "", nil, fmt.Errorf("%w: a length of %d, over %d", ErrSum, size, most)
	}
	var body bytes.Buffer // grows with what comes, not with what a length claims
	n, err := io.CopyN(&body, in, int64(size))
	if err != nil {
		return "", nil, fmt.Errorf("%w: %d of %d bytes of a frame", ErrBreak, n, size)
	}
	if xxhash.Sum64(body.Bytes()) != binary.LittleEndian.Uint64(head[8:]) {
		return mark, body.Bytes(), ErrSum
	}
	return mark, body.Bytes(), nil
}

// unpack reads a block's payload into events.
func unpack(s Schema, payload []byte) (span Span, events []Event, err error) {
	var p packed
	if err := decoding.Unmarshal(payload, &p); err != nil {
		return span, nil, fmt.Errorf("%w: %v", ErrSum, err)
	}
	if p.Raw > Unpacked || p.Span.Count > EventsMost {
		return span, nil, fmt.Errorf("%w: %d bytes and %d events in a block", ErrSum, p.Raw, p.Span.Count)
	}
	raw, err := unpacker.DecodeAll(p.Rest, make([]byte, 0, min(int(p.Raw), 1<<20)))
	if err != nil || len(raw) != int(p.Raw) {
		return span, nil, fmt.Errorf("%w: a block of %d bytes, %d said: %v", ErrSum, len(raw), p.Raw, err)
	}
	var r rest
	if err := decoding.Unmarshal(raw, &r); err != nil {
		return span, nil, fmt.Errorf("%w: %v", ErrSum, err)
	}
	if err := r.check(s, int(p.Span.Count)); err != nil {
		return span, nil, fmt.Errorf("%w: %v", ErrSum, err)
	}
	sums(r.Times)
	for _, cols := range r.Cols {
		for _, c := range cols {
			sums(c)
		}
	}
	at := make([]int, len(s))
	events = make([]Event, len(r.Kinds))
	for i, kind := range r.Kinds {
		e := Event{At: r.Times[i], Kind: int(kind)}
		for c, col := range s[kind].Columns {
			v := r.Cols[kind][c][at[kind]]
			switch {
			case col.Type == Int:
				e.Ints = append(e.Ints, v)
			case v < 0 || v >= int64(len(r.Texts)):
				return span, nil, fmt.Errorf("%w: text %d of %d", ErrSum, v, len(r.Texts))
			default:
				e.Texts = append(e.Texts, r.Texts[v])
			}
		}
		at[kind]++
		events[i] = e
	}
	return p.Span, events, nil
}

// check holds a block's shape against the schema before anything is indexed by it.
func (r *rest) check(s Schema, count int) error {
	if len(r.Kinds) != count || len(r.Times) != count || len(r.Cols) > len(s) {
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
		if k >= len(r.Cols) || len(r.Cols[k]) != len(s[k].Columns) {
			return fmt.Errorf("kind %s: columns are missing", s[k].Name)
		}
		for _, c := range r.Cols[k] {
			if len(c) != n {
				return fmt.Errorf("kind %s: %d values for %d events", s[k].Name, len(c), n)
			}
		}
	}
	return nil
}
