// Package export writes the events of a trace as Parquet: events of one kind go
// into one file, with a column for their time and one for each of the kind's.
//
// It is a package of its own because the Parquet library is as large as the rest
// of a router, whose program does not contain it.
package export

import (
	"fmt"
	"io"

	"github.com/parquet-go/parquet-go"

	"ferrypitch/internal/router/trace/format"
)

// timeColumn is the name of the column of events' times, in tenths of a millisecond.
const timeColumn = "at"

// maxGroupRows is how many rows are gathered in memory before they are written.
const maxGroupRows = 64 << 10

// File writes the events of one kind.
type File struct {
	Rows int64 // written so far

	writer *parquet.GenericWriter[any]
	kind   format.Kind
	row    parquet.Row
	// timeIndex and columnIndexes say where in a row the time and each column of the
	// kind is: Parquet sorts columns by name.
	timeIndex     int
	columnIndexes []int
}

// New begins a file. The caller must Close it, and then out.
func New(out io.Writer, kind format.Kind) (*File, error) {
	group := parquet.Group{timeColumn: parquet.Int(64)}
	for _, column := range kind.Columns {
		if _, duplicate := group[column.Name]; duplicate {
			return nil, fmt.Errorf("kind %q has two columns %q", kind.Name, column.Name)
		}
		if column.Type == format.Int {
			group[column.Name] = parquet.Int(64)
		} else {
			group[column.Name] = parquet.Encoded(parquet.String(), &parquet.RLEDictionary)
		}
	}
	schema := parquet.NewSchema(kind.Name, group)
	indexes := map[string]int{}
	for i, path := range schema.Columns() {
		indexes[path[0]] = i
	}
	f := &File{kind: kind, row: make(parquet.Row, len(group)), timeIndex: indexes[timeColumn]}
	for _, column := range kind.Columns {
		f.columnIndexes = append(f.columnIndexes, indexes[column.Name])
	}
	f.writer = parquet.NewGenericWriter[any](out, schema,
		parquet.Compression(&parquet.Zstd), parquet.MaxRowsPerRowGroup(maxGroupRows))
	return f, nil
}

// Add adds an event of the kind.
func (f *File) Add(event format.Event) error {
	f.set(f.timeIndex, parquet.Int64Value(event.At))
	ints, texts := event.Ints, event.Texts
	for i, column := range f.kind.Columns {
		var value parquet.Value
		if column.Type == format.Int {
			value, ints = parquet.Int64Value(ints[0]), ints[1:]
		} else {
			value, texts = parquet.ByteArrayValue([]byte(texts[0])), texts[1:]
		}
		f.set(f.columnIndexes[i], value)
	}
	f.Rows++
	_, err := f.writer.WriteRows([]parquet.Row{f.row})
	return err
}

// set sets a value of the row. No column is repeated or optional.
func (f *File) set(index int, value parquet.Value) { f.row[index] = value.Level(0, 0, index) }

// Close writes what is gathered and the end of the file.
func (f *File) Close() error { return f.writer.Close() }
