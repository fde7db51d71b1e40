// Package export writes events as Parquet. It is apart from the other tools because the library is as large as the rest of
// a router, whose program is kept without it.
package export

import (
	"fmt"
	"io"

	"github.com/parquet-go/parquet-go"

	"ferrypitch/internal/router/trace/format"
)

// File writes the events of one kind as Parquet, a column for each of the kind's and one for the moment. The
// rows of a group are all that it holds in memory.
type File struct {
	writer       *parquet.Writer
	valueIndexes []int // of a row's values: the place of each column among those of the schema, which Parquet sorts by name
	kind         format.Kind
	row          parquet.Row
	Rows         int64
}

// rowGroupRows is how many rows are gathered before they are written.
const rowGroupRows = 64 << 10

// New begins a file.
func New(out io.Writer, k format.Kind) (*File, error) {
	group := parquet.Group{"at": parquet.Int(64)}
	for _, c := range k.Columns {
		if _, twice := group[c.Name]; twice {
			return nil, fmt.Errorf("kind %q has two columns %q", k.Name, c.Name)
		}
		if c.Type == format.Int {
			group[c.Name] = parquet.Int(64)
		} else {
			group[c.Name] = parquet.Encoded(parquet.String(), &parquet.RLEDictionary)
		}
	}
	schema := parquet.NewSchema(k.Name, group)
	e := &File{kind: k, row: make(parquet.Row, len(group)),
		writer: parquet.NewWriter(out, schema, parquet.Compression(&parquet.Zstd), parquet.MaxRowsPerRowGroup(rowGroupRows))}
	place := map[string]int{}
	for i, path := range schema.Columns() {
		place[path[0]] = i
	}
	e.valueIndexes = append(e.valueIndexes, place["at"])
	for _, c := range k.Columns {
		e.valueIndexes = append(e.valueIndexes, place[c.Name])
	}
	return e, nil
}

// Add adds an event of the kind.
func (e *File) Add(ev format.Event) error {
	set := func(column int, v parquet.Value) {
		e.row[e.valueIndexes[column]] = v.Level(0, 0, e.valueIndexes[column])
	}
	set(0, parquet.Int64Value(ev.At))
	i, t := 0, 0
	for c, col := range e.kind.Columns {
		if col.Type == format.Int {
			set(c+1, parquet.Int64Value(ev.Ints[i]))
			i++
		} else {
			set(c+1, parquet.ByteArrayValue([]byte(ev.Texts[t])))
			t++
		}
	}
	e.Rows++
	_, err := e.writer.WriteRows([]parquet.Row{e.row})
	return err
}

// Close writes what is left.
func (e *File) Close() error { return e.writer.Close() }
