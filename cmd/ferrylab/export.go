package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/trace/export"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/tool"
)

// beforeAllEvents is a time before that of every event of a trace.
const beforeAllEvents = -1 << 62

func exportCommand() *cobra.Command {
	var kinds []string
	command := &cobra.Command{
		Use:   "export FILE DIR",
		Short: "Write a trace file as Parquet, a file for each kind of event",
		Args:  cobra.ExactArgs(2),
		Long: "Writes a trace file as Parquet, a file for each kind of event, into an existing folder. Cut and anonymise\n" +
			"first, with ferrypitch trace.",
		RunE: func(command *cobra.Command, args []string) error {
			return exportTrace(command.OutOrStdout(), args[0], args[1], kinds)
		},
	}
	command.Flags().StringSliceVar(&kinds, "kind", nil, "only these kinds")
	return command
}

// exportTrace writes the events of some kinds, or of all if there are none, to files in a folder. What can be read of a
// damaged trace is exported, and the damage is the error.
func exportTrace(out io.Writer, path, dir string, kinds []string) (err error) {
	source, err := tool.Open(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, source.Close()) }()
	schema := source.Header.Schema
	for _, kind := range kinds {
		if schema.Find(kind) < 0 {
			return fmt.Errorf("--kind %s: the file has no such kind", kind)
		}
	}
	e := &exporter{dir: dir, schema: schema, kinds: kinds, tables: map[int]*export.File{}}
	defer func() { err = errors.Join(err, e.close()) }()
	if err := source.Each(tool.Window{First: beforeAllEvents}, nil, e.add); err != nil {
		return err
	}
	if err := e.finish(out); err != nil {
		return err
	}
	for _, fault := range source.CorruptBlocks {
		err = errors.Join(err, &fault)
	}
	return errors.Join(err, source.Truncated)
}

// exporter writes events to a Parquet file for each kind that it meets.
type exporter struct {
	dir    string
	schema format.Schema
	kinds  []string             // that are exported; empty: all
	tables map[int]*export.File // by kind
	files  []*os.File
}

// add writes one event.
func (e *exporter) add(event format.Event) error {
	kind := e.schema[event.Kind]
	if len(e.kinds) > 0 && !slices.Contains(e.kinds, kind.Name) {
		return nil
	}
	if e.tables[event.Kind] == nil {
		if err := e.create(event.Kind); err != nil {
			return err
		}
	}
	return e.tables[event.Kind].Add(event)
}

// create creates the file of a kind, which must not exist.
func (e *exporter) create(kind int) error {
	path := filepath.Join(e.dir, e.schema[kind].Name+".parquet")
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	e.files = append(e.files, file)
	e.tables[kind], err = export.New(file, e.schema[kind])
	return err
}

// finish completes the files, and prints how many rows each has.
func (e *exporter) finish(out io.Writer) error {
	for kind, description := range e.schema {
		table := e.tables[kind]
		if table == nil {
			continue
		}
		if err := table.Close(); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: %d rows\n", description.Name, table.Rows)
	}
	return nil
}

func (e *exporter) close() error {
	var err error
	for _, file := range e.files {
		err = errors.Join(err, file.Close())
	}
	return err
}
