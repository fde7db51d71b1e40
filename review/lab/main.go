//go:build review

// Command lab plays the scripts of the review: it starts the programs of the deploy file as processes, with stand-ins for hosts,
// platform, operator and clients, and judges a rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// timeLimit ends a script that takes too long.
const timeLimit = 110 * time.Second

// cases are the scripts by name. trouble is false if the disruption is left out.
var cases = map[string]func(s *system, trouble bool) (broken bool, err error){
	"truncated": truncatedAnswer,
	"draining":  drainingHost,
	"missing":   missingReplica,
	"late":      latePromotion,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return couldNot
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	s, err := newSystem(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer s.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the processes are ended even if nobody reads the output
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
		ended <- outcome{broken, err}
	}()
	select {
	case result := <-ended:
		switch {
		case result.err != nil:
			s.sayf("could not run: %v", result.err)
			return couldNot
		case result.broken:
			s.sayf("RULE BROKEN")
			return ruleBroken
		}
		s.sayf("the rule held")
		return ruleHeld
	case <-interrupted:
		s.sayf("could not run: interrupted")
	case <-time.After(timeLimit):
		s.sayf("could not run: longer than %v", timeLimit)
	}
	return couldNot
}
