// Command ferrypitch-proxy is the data plane of ferrypitch: it takes clients' sessions and sends their statements to the hosts that
// may serve them. See docs/design/system.md.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/proxy"
)

func main() {
	cli.Register(&cli.Run{Program: "ferrypitch-proxy", What: "serve the data plane", Serve: proxy.Run}, &cli.Check{Program: "ferrypitch-proxy"}, status)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
