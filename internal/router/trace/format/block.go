package format

import "fmt"

// BlockInfo describes a block, in the block itself and in the index. Its keys never change.
type BlockInfo struct {
	First  int64          `cbor:"1,keyasint"`           // the earliest time of an event, in tenths of a millisecond
	Last   int64          `cbor:"2,keyasint"`           // the latest one
	Count  uint32         `cbor:"3,keyasint"`           // of events
	Lost   uint64         `cbor:"4,keyasint,omitempty"` // events that were not recorded before the first of the block
	Offset int64          `cbor:"5,keyasint,omitempty"` // of the frame in the file, in bytes
	Length uint32         `cbor:"6,keyasint,omitempty"` // of the frame, in bytes
	Kinds  map[int]uint32 `cbor:"7,keyasint,omitempty"` // events by kind
}

// column is the values of one column of a block. A text is its number in the
// block's table of texts.
type column []int64

// blockPayload is the payload of a block's frame.
type blockPayload struct {
	Info         BlockInfo `cbor:"1,keyasint"`
	ContentBytes uint32    `cbor:"2,keyasint"`
	Content      []byte    `cbor:"3,keyasint"` // a blockContent, compressed
}

// blockContent is the events of a block. Times and columns hold the difference of
// each value to the one before, which compresses well.
type blockContent struct {
	Kinds   []int64    `cbor:"1,keyasint"` // of each event
	Times   []int64    `cbor:"2,keyasint"` // of each event
	Texts   []string   `cbor:"3,keyasint"`
	Columns [][]column `cbor:"4,keyasint"` // by kind, in the order of its columns
}

// About what events take in memory, in bytes.
const (
	eventBytes      = 16
	valueBytes      = 8
	textHeaderBytes = 32
)

// Block gathers events. It is not safe for concurrent use.
type Block struct {
	schema      Schema
	info        BlockInfo
	kinds       []int64
	times       []int64
	columns     [][]column
	texts       []string
	textNumbers map[string]int64
	size        int
}

// NewBlock returns an empty block for events of a schema.
func NewBlock(schema Schema) *Block {
	b := &Block{schema: schema, textNumbers: map[string]int64{}, columns: make([][]column, len(schema))}
	for i, kind := range schema {
		b.columns[i] = make([]column, len(kind.Columns))
	}
	return b
}

// Reset empties the block and keeps its memory.
func (b *Block) Reset() {
	for _, columns := range b.columns {
		for i := range columns {
			columns[i] = columns[i][:0]
		}
	}
	clear(b.textNumbers)
	clear(b.texts)
	b.kinds, b.times, b.texts = b.kinds[:0], b.times[:0], b.texts[:0]
	b.info, b.size = BlockInfo{}, 0
}

// Len returns how many events the block holds.
func (b *Block) Len() int { return len(b.kinds) }

// Size returns about how many bytes the events take in memory.
func (b *Block) Size() int { return b.size }

// AddLost notes that n events were not recorded before the block.
func (b *Block) AddLost(n uint64) { b.info.Lost += n }

// Full reports whether the next event needs another block, by the limit of the
// format and a size in bytes.
func (b *Block) Full(size int) bool { return len(b.kinds) >= MaxBlockEvents || b.size >= size }

// Add adds an event. Its values are in the order of the kind's columns of each
// type. It panics if there are more or fewer than columns.
func (b *Block) Add(at int64, kind int, ints []int64, texts []string) {
	described := b.schema[kind]
	if len(ints) != described.Count(Int) || len(texts) != described.Count(Text) {
		panic("an event of " + described.Name + " with other values than its columns")
	}
	if len(b.kinds) == 0 {
		b.info.First, b.info.Last = at, at
	}
	b.info.First, b.info.Last = min(b.info.First, at), max(b.info.Last, at)
	b.kinds = append(b.kinds, int64(kind))
	b.times = append(b.times, at)
	for i, column := range described.Columns {
		var value int64
		if column.Type == Int {
			value, ints = ints[0], ints[1:]
		} else {
			value, texts = b.textNumber(texts[0]), texts[1:]
		}
		b.columns[kind][i] = append(b.columns[kind][i], value)
	}
	b.size += eventBytes + valueBytes*len(described.Columns)
}

// textNumber returns the number of a text in the block's table.
func (b *Block) textNumber(text string) int64 {
	number, known := b.textNumbers[text]
	if !known {
		number = int64(len(b.texts))
		b.texts = append(b.texts, text)
		b.textNumbers[text] = number
		b.size += textHeaderBytes + len(text)
	}
	return number
}

// Append appends the block as a frame, which will be at an offset of the file, and
// returns what the index says of it.
func (b *Block) Append(buffer []byte, offset int64) ([]byte, BlockInfo, error) {
	b.info.Count, b.info.Kinds = uint32(len(b.kinds)), map[int]uint32{}
	for _, kind := range b.kinds {
		b.info.Kinds[int(kind)]++
	}
	content, err := encoder.Marshal(b.content())
	if err != nil {
		return buffer, BlockInfo{}, err
	}
	if len(content) > MaxUnpackedBytes {
		return buffer, BlockInfo{}, fmt.Errorf("a block of %d bytes, over %d", len(content), MaxUnpackedBytes)
	}
	payload, err := encoder.Marshal(blockPayload{
		Info: b.info, ContentBytes: uint32(len(content)), Content: compressor.EncodeAll(content, nil),
	})
	if err != nil {
		return buffer, BlockInfo{}, err
	}
	if len(payload) > MaxBlockBytes {
		return buffer, BlockInfo{}, fmt.Errorf("a packed block of %d bytes, over %d", len(payload), MaxBlockBytes)
	}
	info := b.info
	info.Offset, info.Length = offset, uint32(frameHeaderBytes+len(payload))
	return appendFrame(buffer, blockMark, payload), info, nil
}

// content returns the events in the form that is stored. Kinds without events have no columns.
func (b *Block) content() blockContent {
	content := blockContent{
		Kinds: b.kinds, Times: deltas(b.times), Texts: b.texts, Columns: make([][]column, len(b.columns)),
	}
	for kind, columns := range b.columns {
		if len(columns) == 0 || len(columns[0]) == 0 {
			continue
		}
		for _, values := range columns {
			content.Columns[kind] = append(content.Columns[kind], deltas(values))
		}
	}
	return content
}

// deltas returns the difference of each value to the one before. undoDeltas is its inverse.
func deltas(values []int64) []int64 {
	differences, previous := make([]int64, len(values)), int64(0)
	for i, value := range values {
		differences[i], previous = value-previous, value
	}
	return differences
}

// undoDeltas replaces differences by values.
func undoDeltas(values []int64) {
	previous := int64(0)
	for i := range values {
		previous += values[i]
		values[i] = previous
	}
}
