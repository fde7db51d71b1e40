// Package simadapter puts the decision module on the simulator's wire: it decodes
// events into calls, keeps the ids of hosts and commands, and encodes what the
// module asks for. It decides nothing.
package simadapter

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// Run answers batches until the input ends.
func Run(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	reply := bufio.NewWriterSize(out, 1<<20)
	d := &drill{routers: map[int64]*router{}, sheets: map[int64][]setup.Object{}}
	for batch := 1; ; batch++ {
		line, err := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			d.out = reply
			if bad := d.batch(line); bad != nil {
				return fmt.Errorf("batch %d: %w", batch, bad)
			}
			if err := reply.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

type drill struct {
	routers map[int64]*router
	sheets  map[int64][]setup.Object
	out     *bufio.Writer
	now     float64
	first   bool
}

// router is one instance: the module and the ids that the wire knows it by.
type router struct {
	d     *drill
	who   int64
	rules *policy.Router
	terms setup.Terms
	hosts map[string]*policy.Node
	cmds  map[string]*policy.Cmd
}

func (d *drill) batch(line []byte) (bad error) {
	top, err := setup.Decode("", line)
	if err != nil {
		return err
	}
	defer setup.Catch(&bad)
	d.now = top.Number("now")
	round := top.Integer("round")
	fmt.Fprintf(d.out, `{"round":%d,"cmds":[`, round)
	d.first = true
	for _, ev := range top.Objects("items") {
		d.event(ev.Text("t"), ev)
	}
	d.out.WriteString("]}\n")
	return nil
}

// event carries one event to the instance that it is for. A fault of the
// module is told to the simulator, one of the input goes up to Run.
func (d *drill) event(name string, ev setup.Object) {
	switch name {
	case "table":
		d.sheets[ev.Integer("sheet")] = ev.Objects("items")
		return
	case "spawn", "destroy", "members", "ingress", "accepted", "attempt_end", "dropped", "ring",
		"status_back", "peer_data":
	default:
		return
	}
	who := ev.Integer("who")
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(setup.Fault); ok {
				panic(p)
			}
			line := fmt.Sprintf("%v at %s", p, bytes.ReplaceAll(debug.Stack(), []byte("\n"), []byte(" ")))
			d.act(`{"t":"bug","who":%d,"line":%s}`, who, quote(line))
		}
	}()
	r := d.routers[who]
	switch {
	case name == "spawn":
		d.routers[who] = d.spawn(who, ev)
		return
	case name == "destroy":
		delete(d.routers, who)
		return
	case r == nil:
		return
	}
	r.rules.Clock(setup.Up(d.now))
	switch name {
	case "members":
		r.members(ev)
	case "ingress":
		g := r.terms.Groups[ev.Text("tier_class")]
		if g == nil {
			panic(setup.Fault("tier_class: not among the classes of spawn"))
		}
		req := ev.Text("req")
		r.cmds[req] = r.rules.Take(req, g, ev.Integer("group_no"), ev.MaybeText("user"),
			setup.Down(ev.Number("give_up_at")), setup.Down(ev.MaybeNumber("since_write_ms")),
			ev.Flag("is_retry"))
	case "attempt_end":
		if c := r.cmds[ev.Text("req")]; c != nil && ev.Integer("leg") == int64(c.Sent-1) {
			r.report(c.Node, ev)
			stamp := int64(0)
			if ev.Has("stamp") {
				stamp = ev.Integer("stamp")
			}
			pos := stamp >> 2 * 10
			if pos == 0 && !r.terms.Positions {
				pos = -1
			}
			role := policy.Role(min(stamp&3, 2))
			c.Ended(outcome(ev), pos, role, setup.Down(ev.Number("cost_time")), ev.Flag("ended"))
		}
	case "dropped":
		if c := r.cmds[ev.Text("req")]; c != nil {
			c.Left()
		}
	case "status_back":
		if n := r.hosts[ev.Text("host")]; n != nil {
			r.report(n, ev)
			n.Probed(outcome(ev) == policy.Answered)
		}
	case "peer_data":
		r.rules.Heard(ev.Text("body"))
	case "ring":
		r.rules.Woke()
	}
	if req := ev.MaybeText("req"); req != "" {
		if c := r.cmds[req]; c != nil {
			r.settle(c)
		}
	}
}

func (d *drill) spawn(who int64, ev setup.Object) *router {
	r := &router{d: d, who: who, hosts: map[string]*policy.Node{}, cmds: map[string]*policy.Cmd{}}
	dep, terms := setup.Deployment(ev.Within("env"), uint32(ev.Integer("init_seed")))
	r.terms = terms
	r.rules = policy.New(r, dep, setup.Up(d.now))
	return r
}

func (r *router) members(ev setup.Object) {
	mode := ev.Text("mode")
	if mode == "refused" {
		r.rules.Unlisted()
		return
	}
	for _, e := range r.d.sheets[ev.Integer("sheet")] {
		name := e.Text("host")
		n := r.hosts[name]
		if n == nil {
			n = r.rules.Host(name, e.Integer("shard"))
			r.hosts[name] = n
		}
		standing := map[string]policy.Standing{"LAME": policy.Draining, "OUT": policy.Gone}[e.Text("stage_state")]
		n.Listed(standing, e.MaybeNumber("leader") == 1, e.MaybeText("az"), e.MaybeText("shape"),
			e.MaybeNumber("scale"), setup.Up(e.MaybeNumber("boot_time")))
	}
	r.rules.ListDone(mode != "changes")
}

// report hands a load report on, if the event has one.
func (r *router) report(n *policy.Node, ev setup.Object) {
	row := ev.MaybeList("telemetry")
	pos, role, ok := r.terms.Report(func(i int) (float64, bool) {
		if i >= len(row) {
			return 0, false
		}
		return setup.AsNumber(row[i])
	})
	if n != nil && ok {
		n.Reported(pos, role)
	}
}

func (r *router) Dispatch(c *policy.Cmd, n *policy.Node, timeout policy.Tenth) {
	r.d.act(`{"t":"call_out","who":%d,"req":%s,"host":%s,"timeout":%s}`,
		r.who, quote(c.Name), quote(n.Name), ms(timeout))
}

func (r *router) Throttle(c *policy.Cmd, comeback policy.Tenth) {
	r.d.act(`{"t":"deny","who":%d,"req":%s,"retry_after":%s}`, r.who, quote(c.Name), ms(comeback))
	r.settle(c)
}

func (r *router) Fail(c *policy.Cmd) {
	r.d.act(`{"t":"abort","who":%d,"req":%s}`, r.who, quote(c.Name))
	r.settle(c)
}

func (r *router) settle(c *policy.Cmd) {
	if c.Over() {
		delete(r.cmds, c.Name)
	}
}

func (r *router) Probe(n *policy.Node) {
	r.d.act(`{"t":"touch","who":%d,"host":%s}`, r.who, quote(n.Name))
}

func (r *router) Close(n *policy.Node) {
	r.d.act(`{"t":"close_idle","who":%d,"host":%s}`, r.who, quote(n.Name))
}

func (r *router) Watch() { r.d.act(`{"t":"subscribe","who":%d,"active":true}`, r.who) }

func (r *router) Forget(n *policy.Node) { delete(r.hosts, n.Name) }

func (r *router) Tell(body string) {
	r.d.act(`{"t":"say","who":%d,"target":null,"body":%s}`, r.who, quote(body))
}

func (r *router) Wake(after policy.Tenth) {
	r.d.act(`{"t":"timer","who":%d,"offset":%s,"nonce":0}`, r.who, ms(after))
}

func (d *drill) act(format string, args ...any) {
	if !d.first {
		d.out.WriteByte(',')
	}
	d.first = false
	fmt.Fprintf(d.out, format, args...)
}

func ms(t policy.Tenth) string { return fmt.Sprintf("%d.%d", t/10, t%10) }

func quote(s string) string {
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(s); err != nil {
		panic(err) // a string always encodes
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func outcome(ev setup.Object) policy.Outcome {
	how := ev.Integer("how")
	if how < 1 || how > 9 {
		panic(setup.Fault(fmt.Sprintf("how: no outcome %d", how)))
	}
	return policy.Outcome(how - 1)
}
