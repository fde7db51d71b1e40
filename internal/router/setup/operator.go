package setup

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"ferrypitch/policy"
)

// Operator is the content of an operator's file: the configuration of a router and the sections of the sub-commands, which are
// nil if the file has none.
type Operator struct {
	Start   *Start
	Forward *ForwarderSection
	Plan    *PlannerSection
	Trace   *TraceSection
}

// LoadOperator reads and validates an operator's file. Its errors name the file and the key.
func LoadOperator(path string, getenv func(string) string) (*Operator, error) {
	operator, err := loadOperator(path, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	operator.Start.load = func(getenv func(string) string) (*Start, error) {
		again, err := LoadOperator(path, getenv)
		if err != nil {
			return nil, err
		}
		return again.Start, nil
	}
	return operator, nil
}

func loadOperator(path string, getenv func(string) string) (operator *Operator, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Unwrap(err) // without the path, which the caller adds
	}
	if err := checkSchema(text); err != nil {
		return nil, err
	}
	top, err := Decode("", text)
	if err != nil {
		return nil, err
	}
	defer CatchFieldError(&err)
	operator = &Operator{}
	dir := filepath.Dir(path)
	if top.Has("forward") {
		if operator.Forward, err = readForwarderSection(top.Object("forward"), dir); err != nil {
			return nil, err
		}
	}
	if top.Has("plan") {
		if operator.Plan, err = readPlannerSection(top.Object("plan"), dir); err != nil {
			return nil, err
		}
	}
	if top.Has("trace") {
		if operator.Trace, err = readTraceSection(top.Object("trace"), dir); err != nil {
			return nil, err
		}
	}
	operator.Start, err = readStart(top, getenv, operator.Forward == nil && operator.Plan == nil)
	return operator, err
}

// Subcommands returns the names of the sub-commands for which the file has all keys.
func (o *Operator) Subcommands() (names []string) {
	if o.CheckStandalone("") == nil {
		names = append(names, "serve")
	}
	if o.Forward != nil && o.Start.Listen != "" {
		names = append(names, "forward")
	}
	if o.Plan != nil && o.Start.Discovery != "" {
		names = append(names, "plan")
	}
	return names
}

// CheckStandalone returns an error if the file lacks a key that a router without planners needs. The error names path and the
// key.
func (o *Operator) CheckStandalone(path string) error {
	switch {
	case o.Start.Listen == "":
		return fmt.Errorf("%s: listen: missing", path)
	case o.Start.Discovery == "":
		return fmt.Errorf("%s: discovery: missing", path)
	}
	return nil
}

// ConfigureAsForwarder changes the configuration to that of a forwarder, which gets all information about hosts from planners: it
// sends no health checks, exchanges no messages with other routers, and uses the initial list as its first view.
func (s *Start) ConfigureAsForwarder() {
	deployments := []*policy.Deployment{&s.Deployment}
	if s.NextSettings != nil {
		deployments = append(deployments, &s.NextSettings.Deployment)
	}
	for _, d := range deployments {
		d.UsesPlanners, d.ProbesEnabled, d.PeerUpdatesEnabled, d.ListTimeout = true, false, false, 0
	}
	s.InitialView, s.InitialList = s.InitialList, Object{}
}
