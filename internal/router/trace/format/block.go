package format

import "fmt"

// BlockInfo describes a block. It is stored in the block itself and in the index. Its CBOR keys never change.
type BlockInfo struct {
	First        int64          `cbor:"1,keyasint"`           // time of the earliest event, in tenths of a millisecond
	Last         int64          `cbor:"2,keyasint"`           // time of the latest event, in tenths of a millisecond
	Count        uint32         `cbor:"3,keyasint"`           // number of events
	Lost         uint64         `cbor:"4,keyasint,omitempty"` // number of events lost in recording before the first event of the block
	Offset       int64          `cbor:"5,keyasint,omitempty"` // file offset of the block's frame, in bytes; only in the index
	Length       uint32         `cbor:"6,keyasint,omitempty"` // length of the block's frame, in bytes; only in the index
	EventsByKind map[int]uint32 `cbor:"7,keyasint,omitempty"` // number of events by index of their kind
}

// column holds the values of one column of a block. A text is stored as its index in
// the block's dictionary of texts.
type column []int64

// blockPayload is the encoded payload of a block's frame.
type blockPayload struct {
	Info         BlockInfo `cbor:"1,keyasint"`
	ContentBytes uint32    `cbor:"2,keyasint"` // length of Content after decompression
	Content      []byte    `cbor:"3,keyasint"` // an encoded blockContent, compressed
}

// blockContent holds the events of a block. Times and columns are delta-encoded,
// which compresses well.
type blockContent struct {
	Kinds   []int64    `cbor:"1,keyasint"` // the kind of each event, as an index in the schema
	Times   []int64    `cbor:"2,keyasint"` // the time of each event
	Texts   []string   `cbor:"3,keyasint"` // dictionary of the values of text columns
	Columns [][]column `cbor:"4,keyasint"` // by kind and column, in the order of the schema
}

// Estimated memory of an event, a value and a text without its bytes, in bytes.
const (
	eventBytes      = 16
	valueBytes      = 8
	textHeaderBytes = 32
)

// Block collects events in columns. It is not safe for concurrent use.
type Block struct {
	schema      Schema
	info        BlockInfo
	kinds       []int64
	times       []int64
	columns     [][]column
	texts       []string
	textIndexes map[string]int64 // by text, the index in texts
	size        int              // estimated memory of the events, in bytes
}

// NewBlock returns an empty block for the events of a schema.
func NewBlock(schema Schema) *Block {
	b := &Block{schema: schema, textIndexes: map[string]int64{}, columns: make([][]column, len(schema))}
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
	clear(b.textIndexes)
	clear(b.texts)
	b.kinds, b.times, b.texts = b.kinds[:0], b.times[:0], b.texts[:0]
	b.info, b.size = BlockInfo{}, 0
}

// Len returns the number of events in the block.
func (b *Block) Len() int { return len(b.kinds) }

// Size returns the estimated memory of the events in bytes.
func (b *Block) Size() int { return b.size }

// AddLost adds n to the number of events lost before the block.
func (b *Block) AddLost(n uint64) { b.info.Lost += n }

// Full reports whether the block has reached a size in bytes or the format's limit of events,
// so that the next event must go into another block.
func (b *Block) Full(size int) bool { return len(b.kinds) >= MaxBlockEvents || b.size >= size }

// Add adds an event. ints and texts are the values of the kind's columns of each type, in
// the order of the schema. It panics if their number differs from that of the columns.
func (b *Block) Add(at int64, kind int, ints []int64, texts []string) {
	eventKind := b.schema[kind]
	if len(ints) != eventKind.Count(Int) || len(texts) != eventKind.Count(Text) {
		panic("event of kind " + eventKind.Name + ": the number of values differs from the number of columns")
	}
	if len(b.kinds) == 0 {
		b.info.First, b.info.Last = at, at
	}
	b.info.First, b.info.Last = min(b.info.First, at), max(b.info.Last, at)
	b.kinds = append(b.kinds, int64(kind))
	b.times = append(b.times, at)
	for i, column := range eventKind.Columns {
		var value int64
		if column.Type == Int {
			value, ints = ints[0], ints[1:]
		} else {
			value, texts = b.textIndex(texts[0]), texts[1:]
		}
		b.columns[kind][i] = append(b.columns[kind][i], value)
	}
	b.size += eventBytes + valueBytes*len(eventKind.Columns)
}

// textIndex returns the index of a text in the block's dictionary, and adds it if it is missing.
func (b *Block) textIndex(text string) int64 {
	index, known := b.textIndexes[text]
	if !known {
		index = int64(len(b.texts))
		b.texts = append(b.texts, text)
		b.textIndexes[text] = index
		b.size += textHeaderBytes + len(text)
	}
	return index
}

// Append appends the block to buffer as a frame and returns its entry for the index.
// offset is the file offset at which the frame will be written.
func (b *Block) Append(buffer []byte, offset int64) ([]byte, BlockInfo, error) {
	b.info.Count, b.info.EventsByKind = uint32(len(b.kinds)), map[int]uint32{}
	for _, kind := range b.kinds {
		b.info.EventsByKind[int(kind)]++
	}
	content, err := encoder.Marshal(b.content())
	if err != nil {
		return buffer, BlockInfo{}, err
	}
	if len(content) > MaxContentBytes {
		return buffer, BlockInfo{}, fmt.Errorf("block content is %d bytes long; the limit is %d", len(content), MaxContentBytes)
	}
	payload, err := encoder.Marshal(blockPayload{
		Info: b.info, ContentBytes: uint32(len(content)), Content: compressor.EncodeAll(content, nil),
	})
	if err != nil {
		return buffer, BlockInfo{}, err
	}
	if len(payload) > MaxBlockBytes {
		return buffer, BlockInfo{}, fmt.Errorf("compressed block is %d bytes long; the limit is %d", len(payload), MaxBlockBytes)
	}
	info := b.info
	info.Offset, info.Length = offset, uint32(frameHeaderBytes+len(payload))
	return appendFrame(buffer, blockMagic, payload), info, nil
}

// content returns the events as they are stored. Kinds without events have no columns.
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

// deltas returns the difference of each value from its predecessor. undoDeltas is its inverse.
func deltas(values []int64) []int64 {
	differences, previous := make([]int64, len(values)), int64(0)
	for i, value := range values {
		differences[i], previous = value-previous, value
	}
	return differences
}

// undoDeltas decodes delta-encoded values in place.
func undoDeltas(values []int64) {
	previous := int64(0)
	for i := range values {
		previous += values[i]
		values[i] = previous
	}
}
