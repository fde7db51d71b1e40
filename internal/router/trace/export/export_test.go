package export

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/parquet-go/parquet-go"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
)

func TestExportedKindIsReadByColumns(t *testing.T) {
	var events []format.Event
	for k := range int64(500) {
		events = append(events, format.Event{
			At: 1000 + k, Kind: record.Submit, Ints: []int64{k, k % 3, 1, 5000 + k, 0, 0},
			Texts: []string{fmt.Sprint("id-", k), fmt.Sprint("session-", k%7)},
		}, format.Event{At: 1001 + k, Kind: record.WakeUp})
	}
	var out bytes.Buffer
	exported, err := New(&out, record.Schema[record.Submit])
	if err != nil {
		t.Fatal(err)
	}
	var submitted []format.Event
	for _, event := range events {
		if event.Kind == record.Submit {
			submitted = append(submitted, event)
			if err := exported.Add(event); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := exported.Close(); err != nil {
		t.Fatal(err)
	}
	type row struct {
		At      int64  `parquet:"at"`
		Command int64  `parquet:"command"`
		Session string `parquet:"session"`
		Group   int64  `parquet:"group"`
	}
	rows, err := parquet.Read[row](bytes.NewReader(out.Bytes()), int64(out.Len()))
	if err != nil || len(rows) != len(submitted) {
		t.Fatalf("%v, %d rows of %d", err, len(rows), len(submitted))
	}
	for i, r := range rows {
		if r != (row{submitted[i].At, submitted[i].Ints[0], submitted[i].Texts[1], submitted[i].Ints[1]}) {
			t.Fatalf("%+v, %+v", r, submitted[i])
		}
	}
}
