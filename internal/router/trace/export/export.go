// Package export writes the events of a trace as Parquet files, one for each kind of
// event, with a column for the time and one for each column of the kind.
//
// It is a separate package so that the router's program does not link the Parquet
// library, which is as large as the rest of the router.
package export

import (
	"fmt"
	"io"

	"github.com/parquet-go/parquet-go"

	"ferrypitch/internal/router/trace/format"
)

// timeColumn is the name of the column with the time of the event, in tenths of a millisecond.
const timeColumn = "at"

// maxGroupRows is the number of rows that are buffered in memory and written as a row group.
const maxGroupRows = 64 << 10

// File writes the events of one kind to a Parquet file.
type File struct {
	Rows int64 // number of events added

	writer *parquet.GenericWriter[any]
	kind   format.Kind
	row    parquet.Row
	// timeIndex and columnIndexes are the positions in a row of the time and of each column
	// of the kind. They differ from the order in the schema, since Parquet sorts columns by name.
	timeIndex     int
	columnIndexes []int
}

// New returns a File that writes to out. The caller must call Close and then close out.
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

// Add adds an event, which must be of the file's kind.
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

// set sets a value of the row. Its levels are 0, since no column is repeated or optional.
func (f *File) set(index int, value parquet.Value) { f.row[index] = value.Level(0, 0, index) }

// Close writes the buffered rows and the footer of the file.
func (f *File) Close() error { return f.writer.Close() }
