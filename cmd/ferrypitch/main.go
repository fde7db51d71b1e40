// Ferrypitch routes the commands of a sharded, replicated database.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"ferrypitch/internal/router/service"
	"ferrypitch/internal/router/setup"
)

// Statuses of the program's end.
const (
	done = iota
	failed
	wrong // use or configuration
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(command(os.Args[1:]))
	}
	os.Exit(serve(func() (*setup.Operator, error) {
		start, err := setup.Load(os.Getenv)
		o := &setup.Operator{Start: start}
		if dir := os.Getenv("GW_TRACE"); dir != "" {
			o.Trace = setup.FullTrace(dir)
		}
		return o, err
	}))
}

// serve is a router from its configuration to its end.
func serve(load func() (*setup.Operator, error)) int {
	signals, reload := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP) // never the end of the program, and no other signal's place
	o, err := load()
	if err != nil {
		return complain(err)
	}
	log, err := zap.NewProduction()
	if err != nil {
		return complain(err)
	}
	log = log.Named(o.Start.Name)
	runtime.GOMAXPROCS(o.Start.Limits.Cores)
	debug.SetMemoryLimit(o.Start.Limits.Memory)
	if err := service.Run(o, signals, reload, log); err != nil {
		log.Error("ended", zap.Error(err))
		return failed
	}
	return done
}

// complain says in one line what is wrong with the use or the configuration.
func complain(err error) int {
	fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	return wrong
}
