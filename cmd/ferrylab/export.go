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

// beforeAllEvents is a time earlier than that of any event in a trace.
const beforeAllEvents = -1 << 62

func exportCommand() *cobra.Command {
	var kinds []string
	command := &cobra.Command{
		Use:   "export FILE DIR",
		Short: "Export a trace file to Parquet, with one file for each kind of event",
		Args:  cobra.ExactArgs(2),
		Long: "Exports a trace file to Parquet files in an existing folder, one for each kind of event. To export a part of it or\n" +
			"to hide names, run ferrypitch trace cut or anonymise first.",
		RunE: func(command *cobra.Command, args []string) error {
			return exportTrace(command.OutOrStdout(), args[0], args[1], kinds)
		},
	}
	command.Flags().StringSliceVar(&kinds, "kind", nil, "export only these kinds of events")
	return command
}

// exportTrace writes the events of the given kinds, or of all kinds if none are given, to files in a folder. It exports the readable
// part of a damaged trace, and returns the damage as an error.
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

// exporter writes events to one Parquet file per kind of event.
type exporter struct {
	dir    string
	schema format.Schema
	kinds  []string             // the exported kinds; empty: all
	tables map[int]*export.File // by index of the kind in the schema
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

// create creates the file of a kind. It fails if the file exists.
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

// finish completes the files and prints the number of rows in each.
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
