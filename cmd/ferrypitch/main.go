// Ferrypitch routes the commands of a sharded, replicated database. Without arguments it is configured by environment variables;
// its sub-commands serve with an operator's file, check that file, and process trace files.
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
	exitFailed // failure while running, or of a file that is processed
	exitUsage  // invalid arguments or configuration
)

// signalQueueSize is the number of signals that can wait to be handled; further ones are dropped.
const signalQueueSize = 4

func main() {
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:]))
	}
	os.Exit(runRouter(loadFromEnvironment))
}

// loadFromEnvironment loads the configuration of a router from the environment variables.
func loadFromEnvironment() (*setup.Operator, error) {
	start, err := setup.Load(os.Getenv)
	operator := &setup.Operator{Start: start}
	if dir := os.Getenv("GW_TRACE"); dir != "" {
		operator.Trace = setup.FullTrace(dir)
	}
	return operator, err
}

// runRouter runs a router until it stops, and returns the exit status.
func runRouter(load func() (*setup.Operator, error)) int {
	signals, reload := make(chan os.Signal, signalQueueSize), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	// SIGHUP has its own channel, so that it never ends the program and never fills the queue of the other signals.
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

// startProcess applies the CPU and memory limits of the process, and returns its logger.
func startProcess(start *setup.Start) (*zap.Logger, error) {
	log, err := zap.NewProduction()
	if err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(start.Limits.MaxProcs)
	debug.SetMemoryLimit(start.Limits.SoftMemoryLimit)
	return log.Named(start.Name), nil
}

// reportUsage prints an error in the arguments or the configuration on one line, and returns exitUsage.
func reportUsage(err error) int {
	fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	return exitUsage
}
