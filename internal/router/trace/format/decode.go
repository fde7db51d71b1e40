package format

import "fmt"

// initialContentBytes bounds the memory that is allocated up front for a stated content
// length, which is not trusted; the buffer grows as it is filled.
const initialContentBytes = 1 << 20

// decodeBlock decodes the payload of a block's frame. All its errors wrap ErrCorrupt.
func decodeBlock(schema Schema, payload []byte) (BlockInfo, []Event, error) {
	var block blockPayload
	if err := decoder.Unmarshal(payload, &block); err != nil {
		return BlockInfo{}, nil, newCorruptError(err)
	}
	if block.ContentBytes > MaxContentBytes || block.Info.Count > MaxBlockEvents {
		return BlockInfo{}, nil, fmt.Errorf("%w: a block of %d bytes and %d events is too large", ErrCorrupt, block.ContentBytes, block.Info.Count)
	}
	content, err := block.decodeContent()
	if err != nil {
		return BlockInfo{}, nil, err
	}
	if err := content.validate(schema, int(block.Info.Count)); err != nil {
		return BlockInfo{}, nil, newCorruptError(err)
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
		//nolint:errorlint // the cause may be io.EOF, see newCorruptError
		return content, fmt.Errorf("%w: block content has %d bytes instead of %d: %v", ErrCorrupt, len(raw), b.ContentBytes, err)
	}
	if err := decoder.Unmarshal(raw, &content); err != nil {
		return content, newCorruptError(err)
	}
	return content, nil
}

// validate checks the content against the schema and the event count, so that it is safe to index.
func (c *blockContent) validate(schema Schema, count int) error {
	if len(c.Kinds) != count || len(c.Times) != count || len(c.Columns) > len(schema) {
		return fmt.Errorf("%d kinds and %d times for %d events, or too many columns", len(c.Kinds), len(c.Times), count)
	}
	eventsOfKind := make([]int, len(schema))
	for _, kind := range c.Kinds {
		if kind < 0 || int(kind) >= len(schema) {
			return fmt.Errorf("kind %d is not in the schema of %d kinds", kind, len(schema))
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

// events returns the events. The columns must be delta-decoded.
func (c *blockContent) events(schema Schema) ([]Event, error) {
	nextRow := make([]int, len(schema)) // by kind, the row of its next event
	events := make([]Event, len(c.Kinds))
	for i, kind := range c.Kinds {
		event := Event{At: c.Times[i], Kind: int(kind)}
		row := nextRow[kind]
		nextRow[kind]++
		for columnIndex, column := range schema[kind].Columns {
			value := c.Columns[kind][columnIndex][row]
			switch {
			case column.Type == Int:
				event.Ints = append(event.Ints, value)
			case value < 0 || value >= int64(len(c.Texts)):
				return nil, fmt.Errorf("%w: text index %d is not in the dictionary of %d texts", ErrCorrupt, value, len(c.Texts))
			default:
				event.Texts = append(event.Texts, c.Texts[value])
			}
		}
		events[i] = event
	}
	return events, nil
}
