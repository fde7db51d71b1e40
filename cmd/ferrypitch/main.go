// Ferrypitch routes the commands of a sharded, replicated database. Without arguments it serves as the platform starts it;
// sub-commands serve by an operator's file, check that file, and work on trace files.
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

// Exit statuses.
const (
	exitOK     = iota
	exitFailed // while running, or by a file that is worked on
	exitUsage  // wrong arguments or configuration
)

// signalQueue is the number of signals that wait to be handled; further ones are dropped.
const signalQueue = 4

func main() {
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:]))
	}
	os.Exit(runRouter(loadFromEnvironment))
}

// loadFromEnvironment loads what the platform starts a router with.
func loadFromEnvironment() (*setup.Operator, error) {
	start, err := setup.Load(os.Getenv)
	operator := &setup.Operator{Start: start}
	if dir := os.Getenv("GW_TRACE"); dir != "" {
		operator.Trace = setup.FullTrace(dir)
	}
	return operator, err
}

// runRouter runs a router until it ends, and returns the exit status.
func runRouter(load func() (*setup.Operator, error)) int {
	signals, reload := make(chan os.Signal, signalQueue), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	// SIGHUP has a channel of its own: it never ends the program, and never displaces another signal.
	signal.Notify(reload, syscall.SIGHUP)
	operator, err := load()
	if err != nil {
		return reportUsage(err)
	}
	log, err := startProcess(operator.Start)
	if err != nil {
		return reportUsage(err)
	}
	if err := service.Run(operator, signals, reload, log); err != nil {
		log.Error("ended", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// startProcess applies the limits of the process, and returns its logger.
func startProcess(start *setup.Start) (*zap.Logger, error) {
	log, err := zap.NewProduction()
	if err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(start.Limits.MaxProcs)
	debug.SetMemoryLimit(start.Limits.SoftMemoryLimit)
	return log.Named(start.Name), nil
}

// reportUsage prints, in one line, what is wrong with the arguments or the configuration.
func reportUsage(err error) int {
	fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	return exitUsage
}
