package tool

import (
	"io"

	"ferrypitch/internal/router/trace/format"
)

// outputBlockBytes is the approximate size in memory at which a block is written.
const outputBlockBytes = 256 << 10

// Output writes a trace file.
type Output struct {
	Events int64 // number of events added

	out    io.Writer
	block  *format.Block
	offset int64 // file offset of the next write, in bytes
	index  []format.BlockInfo
	buffer []byte
}

// NewOutput writes a header to out. The caller must call Close at the end, which does not close out.
func NewOutput(out io.Writer, header format.Header) (*Output, error) {
	o := &Output{out: out, block: format.NewBlock(header.Schema)}
	encoded, err := format.AppendHeader(nil, header)
	if err != nil {
		return nil, err
	}
	return o, o.write(encoded)
}

func (o *Output) write(data []byte) error {
	n, err := o.out.Write(data)
	o.offset += int64(n)
	return err
}

// Add adds an event, whose kind is an index in the header's schema.
func (o *Output) Add(event format.Event) error {
	o.block.Add(event.At, event.Kind, event.Ints, event.Texts)
	o.Events++
	if o.block.Full(outputBlockBytes) {
		return o.flush()
	}
	return nil
}

// flush writes the buffered events as a block.
func (o *Output) flush() error {
	if o.block.Len() == 0 {
		return nil
	}
	encoded, info, err := o.block.Append(o.buffer[:0], o.offset)
	if err != nil {
		return err
	}
	o.buffer = encoded
	o.block.Reset()
	o.index = append(o.index, info)
	return o.write(encoded)
}

// Close writes the buffered events and the index.
func (o *Output) Close() error {
	if err := o.flush(); err != nil {
		return err
	}
	encoded, err := format.AppendIndex(nil, o.index, o.offset)
	if err != nil {
		return err
	}
	return o.write(encoded)
}
