// Package simadapter connects the policy package to the simulator. The simulator sends events of many simulated proxies in batches,
// one JSON object a line, and gets back the actions that their policies ask for.
//
//	line -> adapter.handleBatch -> instance, by the event's "who" -> policy.Router -> instance's methods -> actions in the reply
//
// The adapter decides nothing. It keeps the instances, and for each the hosts and commands by the ids that the simulator uses.
package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

const bufferBytes = 1 << 20 // of input and of output

// Run answers batches until the input ends. The error names the batch, and the field that is missing or malformed.
func Run(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, bufferBytes)
	a := &adapter{
		instances:  map[int64]*instance{},
		hostTables: map[int64][]setup.Object{},
		out:        bufio.NewWriterSize(out, bufferBytes),
	}
	for batch := 1; ; batch++ {
		line, readErr := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := a.handleBatch(line); err != nil {
				return fmt.Errorf("batch %d: %w", batch, err)
			}
			if err := a.out.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// adapter is the state of one run.
type adapter struct {
	instances  map[int64]*instance
	hostTables map[int64][]setup.Object // by their "sheet", which events of membership refer to
	out        *bufio.Writer
	now        float64 // of the batch, in the simulator's milliseconds
	firstCmd   bool    // no action of the batch was written yet
}

// instance is one simulated proxy: its policy, with the hosts and commands by the simulator's ids.
type instance struct {
	adapter  *adapter
	who      int64 // the simulator's id of the proxy
	policy   *policy.Router
	terms    setup.Formats
	hosts    map[string]*policy.Host
	commands map[string]*policy.Command
}

// handleBatch handles the events of a line, and writes the reply.
func (a *adapter) handleBatch(line []byte) (err error) {
	batch, err := setup.Decode("", line)
	if err != nil {
		return err
	}
	defer setup.Catch(&err)
	a.now = batch.Number("now")
	fmt.Fprintf(a.out, `{"round":%d,"cmds":[`, batch.Integer("round"))
	a.firstCmd = true
	for _, event := range batch.Objects("items") {
		a.handleEvent(event.Text("t"), event)
	}
	a.out.WriteString("]}\n")
	return nil
}

// handleEvent hands an event to the instance that it is for. Events of unknown types, and those of unknown instances, are ignored.
func (a *adapter) handleEvent(name string, event setup.Object) {
	if name == "table" {
		a.hostTables[event.Integer("sheet")] = event.Objects("items")
		return
	}
	handle, known := instanceEvents[name]
	if !known && name != "spawn" && name != "destroy" {
		return
	}
	who := event.Integer("who")
	defer a.reportPanic(who)
	switch name {
	case "spawn":
		a.instances[who] = a.spawn(who, event)
	case "destroy":
		delete(a.instances, who)
	default:
		if target := a.instances[who]; target != nil {
			target.handle(handle, event)
		}
	}
}

// reportPanic, deferred, reports a panic of the policy to the simulator and goes on. A fault of the input panics on, to Catch.
func (a *adapter) reportPanic(who int64) {
	reason := recover()
	if reason == nil {
		return
	}
	if _, ok := reason.(setup.Fault); ok {
		panic(reason)
	}
	stack := bytes.ReplaceAll(debug.Stack(), []byte("\n"), []byte(" "))
	a.write(`{"t":"bug","who":%d,"line":%s}`, who, quote(fmt.Sprintf("%v at %s", reason, stack)))
}

func (a *adapter) spawn(who int64, event setup.Object) *instance {
	i := &instance{adapter: a, who: who, hosts: map[string]*policy.Host{}, commands: map[string]*policy.Command{}}
	deployment, terms := setup.ReadDeployment(event.Object("env"), uint32(event.Integer("init_seed")))
	i.terms = terms
	i.policy = policy.New(i, deployment, setup.RoundUp(a.now))
	return i
}
