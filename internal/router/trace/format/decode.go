package format

import "fmt"

// initialContentBytes bounds the memory that is allocated on the word of a length;
// more is allocated as it is filled.
const initialContentBytes = 1 << 20

// decodeBlock decodes the payload of a block. All its errors are ErrCorrupt.
func decodeBlock(schema Schema, payload []byte) (BlockInfo, []Event, error) {
	var block blockPayload
	if err := decoder.Unmarshal(payload, &block); err != nil {
		return BlockInfo{}, nil, corruptBecause(err)
	}
	if block.ContentBytes > MaxUnpackedBytes || block.Info.Count > MaxBlockEvents {
		return BlockInfo{}, nil, fmt.Errorf("%w: %d bytes and %d events in a block", ErrCorrupt, block.ContentBytes, block.Info.Count)
	}
	content, err := block.decodeContent()
	if err != nil {
		return BlockInfo{}, nil, err
	}
	if err := content.validate(schema, int(block.Info.Count)); err != nil {
		return BlockInfo{}, nil, corruptBecause(err)
	}
	undoDeltas(content.Times)
	for _, columns := range content.Columns {
		for _, values := range columns {
			undoDeltas(values)
		}
	}
	events, err := content.events(schema)
	if err != nil {
		return BlockInfo{}, nil, err
	}
	return block.Info, events, nil
}

func (b *blockPayload) decodeContent() (blockContent, error) {
	var content blockContent
	buffer := make([]byte, 0, min(int(b.ContentBytes), initialContentBytes))
	raw, err := decompressor.DecodeAll(b.Content, buffer)
	if err != nil || len(raw) != int(b.ContentBytes) {
		//nolint:errorlint // the cause may be io.EOF, see corruptBecause
		return content, fmt.Errorf("%w: a block of %d bytes, %d said: %v", ErrCorrupt, len(raw), b.ContentBytes, err)
	}
	if err := decoder.Unmarshal(raw, &content); err != nil {
		return content, corruptBecause(err)
	}
	return content, nil
}

// validate checks the shape of a block against the schema, before anything is indexed by it.
func (c *blockContent) validate(schema Schema, count int) error {
	if len(c.Kinds) != count || len(c.Times) != count || len(c.Columns) > len(schema) {
		return fmt.Errorf("%d kinds and %d times for %d events", len(c.Kinds), len(c.Times), count)
	}
	eventsOfKind := make([]int, len(schema))
	for _, kind := range c.Kinds {
		if kind < 0 || int(kind) >= len(schema) {
			return fmt.Errorf("kind %d of %d", kind, len(schema))
		}
		eventsOfKind[kind]++
	}
	for kind, events := range eventsOfKind {
		if events == 0 || len(schema[kind].Columns) == 0 {
			continue
		}
		if kind >= len(c.Columns) || len(c.Columns[kind]) != len(schema[kind].Columns) {
			return fmt.Errorf("kind %s: columns are missing", schema[kind].Name)
		}
		for _, values := range c.Columns[kind] {
			if len(values) != events {
				return fmt.Errorf("kind %s: %d values for %d events", schema[kind].Name, len(values), events)
			}
		}
	}
	return nil
}

// events returns the events, whose columns hold values by now.
func (c *blockContent) events(schema Schema) ([]Event, error) {
	nextRow := make([]int, len(schema)) // of each kind
	events := make([]Event, len(c.Kinds))
	for i, kind := range c.Kinds {
		event := Event{At: c.Times[i], Kind: int(kind)}
		row := nextRow[kind]
		nextRow[kind]++
		for number, column := range schema[kind].Columns {
			value := c.Columns[kind][number][row]
			switch {
			case column.Type == Int:
				event.Ints = append(event.Ints, value)
			case value < 0 || value >= int64(len(c.Texts)):
				return nil, fmt.Errorf("%w: text %d of %d", ErrCorrupt, value, len(c.Texts))
			default:
				event.Texts = append(event.Texts, c.Texts[value])
			}
		}
		events[i] = event
	}
	return events, nil
}
