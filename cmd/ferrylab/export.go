package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/trace/export"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/tool"
)

func exportCommand() *cobra.Command {
	var kinds []string
	c := &cobra.Command{Use: "export FILE DIR", Short: "Write a trace file as Parquet, a file for each kind of event", Args: cobra.ExactArgs(2),
		Long: "Writes a trace file as Parquet, a file for each kind of event, into a folder that is there. Cut and anonymise\nfirst, with ferrypitch trace.",
		RunE: func(c *cobra.Command, args []string) (err error) {
			s, err := tool.Open(args[0])
			if err != nil {
				return err
			}
			defer s.Close()
			schema := s.Header.Schema
			for _, k := range kinds {
				if schema.Find(k) < 0 {
					return fmt.Errorf("--kind %s: the file has no such kind", k)
				}
			}
			files := map[int]*export.File{}
			var outs []*os.File
			defer func() {
				for _, out := range outs {
					err = errors.Join(err, out.Close())
				}
			}()
			if err := s.Each(tool.Window{First: -1 << 62}, nil, func(e format.Event) error {
				k := schema[e.Kind]
				if len(kinds) > 0 && !slices.Contains(kinds, k.Name) {
					return nil
				}
				if files[e.Kind] == nil {
					out, err := os.OpenFile(filepath.Join(args[1], k.Name+".parquet"), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
					if err != nil {
						return err
					}
					outs = append(outs, out)
					if files[e.Kind], err = export.New(out, k); err != nil {
						return err
					}
				}
				return files[e.Kind].Add(e)
			}); err != nil {
				return err
			}
			for kind, k := range schema {
				if f := files[kind]; f != nil {
					if err := f.Close(); err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "%s: %d rows\n", k.Name, f.Rows)
				}
			}
			for _, f := range s.Faults {
				err = errors.Join(err, &f)
			}
			return errors.Join(err, s.Broken)
		}}
	c.Flags().StringSliceVar(&kinds, "kind", nil, "only these kinds")
	return c
}
