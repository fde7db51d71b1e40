package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/setup"
)

// checkResult is the JSON output of check.
type checkResult struct {
	File        string   `json:"file"`
	Subcommands []string `json:"serves"`
}

func checkCommand() *cobra.Command {
	var asJSON bool
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's file and name the faulty key",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			operator, err := setup.LoadOperator(args[0], os.Getenv)
			if err != nil {
				return err
			}
			subcommands := operator.Subcommands()
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(checkResult{File: args[0], Subcommands: subcommands})
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: valid for %v\n", args[0], subcommands)
			return nil
		},
	}
	check.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	check.AddCommand(&cobra.Command{
		Use:   "schema",
		Short: "Print the JSON schema of the operator's file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := c.OutOrStdout().Write(setup.Schema)
			return err
		},
	})
	return check
}

func keyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key FILE",
		Short: "Write a new shared key for planners and forwarders",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return writeKey(args[0]) },
	}
}

// writeKey writes a random key to a new file that only its owner can read. It fails if the file exists.
func writeKey(path string) error {
	var key [32]byte
	rand.Read(key[:])
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, hex.EncodeToString(key[:]))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
