package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/setup"
)

func forwardCommand() *cobra.Command {
	return &cobra.Command{Use: "forward FILE", Short: "Serve clients on the views of planners", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return ended(serve(func() (*setup.Operator, error) {
				o, err := setup.LoadOperator(args[0], os.Getenv)
				if err != nil {
					return nil, err
				}
				if o.Forward == nil {
					return nil, fmt.Errorf("%s: forward: missing", args[0])
				}
				if o.Start.Listen == "" {
					return nil, fmt.Errorf("%s: listen: missing", args[0])
				}
				o.Start.AsForwarder()
				return o, nil
			}))
		}}
}
