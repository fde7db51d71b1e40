// Package simadapter connects the policy package to the simulator. The simulator sends events of many simulated proxies in batches,
// one JSON object per line. The reply to each batch contains the actions of their policies.
//
//	line -> adapter.handleBatch -> instance, by the event's "who" -> policy.Router -> instance's methods -> actions in the reply
//
// The adapter makes no decisions. It keeps the instances and, for each, its hosts and commands by the simulator's ids.
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

const bufferBytes = 1 << 20 // size of the input buffer and of the output buffer

// Run answers batches until the input ends. An error names the batch and the missing or malformed field.
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

// adapter holds the state of one call of Run.
type adapter struct {
	instances   map[int64]*instance
	hostTables  map[int64][]setup.Object // keyed by the "sheet" number that "members" events refer to
	out         *bufio.Writer
	now         float64 // time of the batch, in milliseconds of the simulator
	firstAction bool    // the reply to the batch has no action yet
}

// instance is one simulated proxy: its policy, and its hosts and commands by the simulator's ids.
type instance struct {
	adapter  *adapter
	proxyID  int64 // the simulator's id of the proxy
	policy   *policy.Router
	formats  setup.Formats
	hosts    map[string]*policy.Host
	commands map[string]*policy.Command
}

// handleBatch processes the events of one line and writes the reply.
func (a *adapter) handleBatch(line []byte) (err error) {
	batch, err := setup.Decode("", line)
	if err != nil {
		return err
	}
	defer setup.CatchFieldError(&err)
	a.now = batch.Number("now")
	fmt.Fprintf(a.out, `{"round":%d,"cmds":[`, batch.Integer("round"))
	a.firstAction = true
	for _, event := range batch.Objects("items") {
		a.handleEvent(event.Text("t"), event)
	}
	a.out.WriteString("]}\n")
	return nil
}

// handleEvent passes an event to its instance. Events of unknown types and of unknown instances are ignored.
func (a *adapter) handleEvent(name string, event setup.Object) {
	if name == "table" {
		a.hostTables[event.Integer("sheet")] = event.Objects("items")
		return
	}
	handle, known := instanceEvents[name]
	if !known && name != "spawn" && name != "destroy" {
		return
	}
	proxyID := event.Integer("who")
	defer a.reportPanic(proxyID)
	switch name {
	case "spawn":
		a.instances[proxyID] = a.newInstance(proxyID, event)
	case "destroy":
		delete(a.instances, proxyID)
	default:
		if target := a.instances[proxyID]; target != nil {
			target.handle(handle, event)
		}
	}
}

// reportPanic is deferred. It recovers a panic of the policy and reports it to the simulator. It re-panics setup.FieldError, an input
// error, for setup.CatchFieldError.
func (a *adapter) reportPanic(proxyID int64) {
	reason := recover()
	if reason == nil {
		return
	}
	if _, ok := reason.(setup.FieldError); ok {
		panic(reason)
	}
	stack := bytes.ReplaceAll(debug.Stack(), []byte("\n"), []byte(" "))
	a.writeAction(`{"t":"bug","who":%d,"line":%s}`, proxyID, quote(fmt.Sprintf("%v at %s", reason, stack)))
}

func (a *adapter) newInstance(proxyID int64, event setup.Object) *instance {
	i := &instance{adapter: a, proxyID: proxyID, hosts: map[string]*policy.Host{}, commands: map[string]*policy.Command{}}
	deployment, formats := setup.ReadDeployment(event.Object("env"), uint32(event.Integer("init_seed")))
	i.formats = formats
	i.policy = policy.New(i, deployment, setup.RoundUp(a.now))
	return i
}
