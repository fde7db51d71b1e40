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

func checkCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "check FILE", Short: "Check an operator's file, and name the key that is wrong", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			o, err := setup.LoadOperator(args[0], os.Getenv)
			if err != nil {
				return err
			}
			can := o.Subcommands()
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"file": args[0], "serves": can})
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: good for %v\n", args[0], can)
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	schema := &cobra.Command{Use: "schema", Short: "Print the JSON schema of the operator's file", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := c.OutOrStdout().Write(setup.Schema)
			return err
		}}
	c.AddCommand(schema)
	return c
}

func keyCommand() *cobra.Command {
	return &cobra.Command{Use: "key FILE", Short: "Write a new shared key for planners and forwarders", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var k [32]byte
			rand.Read(k[:])
			f, err := os.OpenFile(args[0], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(f, hex.EncodeToString(k[:]))
			if bad := f.Close(); err == nil {
				err = bad
			}
			return err
		}}
}
