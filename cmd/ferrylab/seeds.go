package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ferrypitch/internal/simulation/cluster"
)

// seedOptions holds the flags of commands that run consecutive seeds and keep the folders of those that failed.
type seedOptions struct {
	seeds   int // number of consecutive seeds to run
	asJSON  bool
	logsDir string // parent folder of the folders of failed seeds; empty: the temporary folder
}

// addFlags declares the flags of a command. first is the first seed.
func (o *seedOptions) addFlags(command *cobra.Command, first *uint64) {
	flags := command.Flags()
	flags.Uint64Var(first, "seed", 1, "the first seed")
	flags.IntVar(&o.seeds, "seeds", 1, "number of consecutive seeds to run")
	flags.StringVar(&o.logsDir, "keep-in", "", "`folder` for the folders of failed seeds; empty: the folder for temporary files")
	flags.BoolVar(&o.asJSON, "json", false, "print each result as JSON")
}

// makeDir creates the folder of a seed.
func (o *seedOptions) makeDir(command string, seed uint64) (string, error) {
	return os.MkdirTemp(o.logsDir, fmt.Sprintf("ferrylab-%s-%d-", command, seed))
}

// buildPrograms builds the programs for all seeds into a temporary folder, which remove removes.
func buildPrograms() (binaries cluster.Binaries, remove func(), err error) {
	dir, err := os.MkdirTemp("", "ferrylab-programs")
	if err != nil {
		return nil, nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) } // a temporary folder
	if binaries, err = cluster.BuildPrograms(dir); err != nil {
		remove()
		return nil, nil, err
	}
	return binaries, remove, nil
}
