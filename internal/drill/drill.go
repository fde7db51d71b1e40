// Package drill puts the decision module on the simulator's wire: it decodes
// events into calls, keeps the ids of hosts and commands, and encodes what the
// module asks for. It decides nothing.
package drill

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime/debug"
	"strings"

	"ferrypitch/rules"
)

type object = map[string]any

// malformed is raised by the field readers and reported by Run.
type malformed string

// Run answers batches until the input ends.
func Run(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	reply := bufio.NewWriterSize(out, 1<<20)
	d := &drill{routers: map[int64]*router{}, sheets: map[int64][]any{}}
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
	sheets  map[int64][]any
	out     *bufio.Writer
	now     float64
	first   bool
}

// router is one instance: the module and the ids that the wire knows it by.
type router struct {
	d      *drill
	who    int64
	rules  *rules.Router
	hosts  map[string]*rules.Node
	cmds   map[string]*rules.Cmd
	groups map[string]*rules.CmdGroup
	shares map[string]*rules.Share
	x0, x1 int // where a report has its position and role; -1: nowhere
	stamps bool
}

func (d *drill) batch(line []byte) (bad error) {
	at := "the line"
	defer func() {
		if p := recover(); p != nil {
			m, ok := p.(malformed)
			if !ok {
				panic(p)
			}
			bad = fmt.Errorf("%s: %s", at, string(m))
		}
	}()
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.UseNumber()
	var top object
	if err := dec.Decode(&top); err != nil {
		return fmt.Errorf("not an object of JSON: %w", err)
	}
	d.now = number(top, "now")
	round := integer(top, "round")
	items := list(top, "items")
	fmt.Fprintf(d.out, `{"round":%d,"cmds":[`, round)
	d.first = true
	for i, item := range items {
		at = fmt.Sprintf("item %d", i)
		ev, ok := item.(object)
		if !ok {
			panic(malformed("not an object"))
		}
		name := text(ev, "t")
		at += " (" + name + ")"
		d.event(name, ev)
	}
	d.out.WriteString("]}\n")
	return nil
}

// event carries one event to the instance that it is for. A fault of the
// module is told to the simulator, one of the input goes up to Run.
func (d *drill) event(name string, ev object) {
	switch name {
	case "table":
		d.sheets[integer(ev, "sheet")] = list(ev, "items")
		return
	case "spawn", "destroy", "members", "ingress", "accepted", "attempt_end", "dropped", "ring",
		"status_back", "peer_data":
	default:
		return
	}
	who := integer(ev, "who")
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(malformed); ok {
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
	r.rules.Clock(up(d.now))
	switch name {
	case "members":
		r.members(ev)
	case "ingress":
		g := r.groups[text(ev, "tier_class")]
		if g == nil {
			panic(malformed("tier_class: not among the classes of spawn"))
		}
		req := text(ev, "req")
		r.cmds[req] = r.rules.Take(req, g, integer(ev, "group_no"), maybeText(ev, "user"),
			down(number(ev, "give_up_at")), down(maybeNumber(ev, "since_write_ms")),
			r.shares[maybeText(ev, "realm")], flag(ev, "is_retry"))
	case "attempt_end":
		if c := r.cmds[text(ev, "req")]; c != nil && integer(ev, "leg") == int64(c.Sent-1) {
			r.report(c.Node, ev)
			stamp := int64(0)
			if ev["stamp"] != nil {
				stamp = integer(ev, "stamp")
			}
			pos := stamp >> 2 * 10
			if pos == 0 && !r.stamps {
				pos = -1
			}
			role := rules.Role(min(stamp&3, 2))
			c.Ended(outcome(ev), pos, role, down(number(ev, "cost_time")), flag(ev, "ended"))
		}
	case "dropped":
		if c := r.cmds[text(ev, "req")]; c != nil {
			c.Left()
		}
	case "status_back":
		if n := r.hosts[text(ev, "host")]; n != nil {
			r.report(n, ev)
			n.Probed(outcome(ev) == rules.Answered)
		}
	case "peer_data":
		r.rules.Heard(text(ev, "body"))
	case "ring":
		r.rules.Woke()
	}
	if req := maybeText(ev, "req"); req != "" {
		if c := r.cmds[req]; c != nil && c.Over() {
			delete(r.cmds, req)
		}
	}
}

func (d *drill) spawn(who int64, ev object) *router {
	env := within(ev, "env")
	bounds, limits := within(env, "bounds"), within(env, "rules")
	prices, tele := within(env, "prices"), within(env, "telemetry")
	info := within(env, "family_info")
	r := &router{d: d, who: who, hosts: map[string]*rules.Node{}, cmds: map[string]*rules.Cmd{},
		groups: map[string]*rules.CmdGroup{}, shares: map[string]*rules.Share{}, x0: -1, x1: -1}
	for i, f := range maybeList(tele, "fields") {
		switch f {
		case "x0":
			r.x0 = i
		case "x1":
			r.x1 = i
		}
	}
	how := maybeText(tele, "how")
	r.stamps = flag(info, "stamps")
	dep := rules.Deployment{
		Seed: uint32(integer(ev, "init_seed")), Zero: down(maybeNumber(info, "origin_time")),
		Tick: up(maybeNumber(env, "tick")), Routers: int(max(1, maybeNumber(env, "peers_total"))),
		Zone: maybeText(env, "zone"), Dispatches: int(maybeNumber(bounds, "send_cap")),
		Guarded: maybeText(info, "guards") == "bounce" || maybeText(info, "guards") == "await",
		Kept:    maybeText(info, "session_marks") == "kept",
		Reports: (how == "answers" || how == "probe") && r.x0 >= 0,
		Probes:  flag(bounds, "probes"),
		Peers:   flag(bounds, "peers"), PeerPrice: maybeNumber(prices, "peer"),
		ProbePrice: maybeNumber(prices, "probe"), ZonePrice: maybeNumber(prices, "cross_zone"),
		OverShare:  maybeNumber(env, "over_share_worth"),
		FallFactor: maybeNumber(limits, "overload_factor"), FallSpan: down(maybeNumber(limits, "fall")),
		ColdFrom: maybeNumber(limits, "cold_from"), ColdFor: up(maybeNumber(limits, "cold")),
		DrainAlone: flag(limits, "drain_binds_alone"),
	}
	if flag(bounds, "retry_after") {
		dep.Comeback = down(maybeNumber(bounds, "max_retry_after"))
	}
	reads, bound := maybeList(info, "class_read"), maybeList(info, "class_bound")
	for i, item := range list(env, "classes") {
		c, ok := item.(object)
		if !ok {
			panic(malformed("classes: not objects"))
		}
		g := &rules.CmdGroup{Target: down(number(c, "promise")), Timeout: down(number(c, "give_up")),
			Memory: down(maybeNumber(c, "memory_span")), EverySet: maybeText(c, "group") == "all",
			Benefit: number(c, "worth"), LateShare: maybeNumber(c, "late_share")}
		g.Effect = map[string]rules.Effect{
			"deduplicated": rules.Keyed, "at_most_once": rules.Mutating}[text(c, "effect")]
		if i < len(reads) {
			word, _ := reads[i].(string)
			g.Need = map[string]rules.Need{"lag_bound": rules.Bounded, "causal": rules.Session,
				"strong": rules.Fresh, "mutate": rules.Write}[word]
		}
		if i < len(bound) {
			g.Bound = down(asNumber(bound[i], "class_bound"))
		}
		dep.Groups = append(dep.Groups, g)
		r.groups[text(c, "name")] = g
	}
	for _, item := range maybeList(env, "tenants") {
		t, ok := item.(object)
		if !ok {
			panic(malformed("tenants: not objects"))
		}
		s := &rules.Share{PerSecond: maybeNumber(t, "quota_per_s")}
		dep.Shares = append(dep.Shares, s)
		r.shares[text(t, "name")] = s
	}
	r.rules = rules.New(r, dep, up(d.now))
	return r
}

func (r *router) members(ev object) {
	mode := text(ev, "mode")
	if mode == "refused" {
		return
	}
	for _, item := range r.d.sheets[integer(ev, "sheet")] {
		e, ok := item.(object)
		if !ok {
			panic(malformed("table: not objects"))
		}
		name := text(e, "host")
		n := r.hosts[name]
		if n == nil {
			n = r.rules.Host(name, integer(e, "shard"))
			r.hosts[name] = n
		}
		standing := map[string]rules.Standing{"LAME": rules.Draining, "OUT": rules.Gone}[text(e, "stage_state")]
		n.Listed(standing, maybeNumber(e, "leader") == 1, maybeText(e, "az"), maybeText(e, "shape"),
			maybeNumber(e, "scale"), up(maybeNumber(e, "boot_time")))
	}
	r.rules.ListDone(mode != "changes")
}

// report hands a load report on, if the event has one.
func (r *router) report(n *rules.Node, ev object) {
	row := maybeList(ev, "telemetry")
	if n == nil || r.x0 < 0 || r.x0 >= len(row) || row[r.x0] == nil {
		return
	}
	role := rules.Unknown
	if r.x1 >= 0 && r.x1 < len(row) && row[r.x1] != nil {
		role = rules.Replica
		if asNumber(row[r.x1], "telemetry") == 1 {
			role = rules.Primary
		}
	}
	n.Reported(down(1000*asNumber(row[r.x0], "telemetry")), role)
}

func (r *router) Dispatch(c *rules.Cmd, n *rules.Node, timeout rules.Tenth) {
	r.d.act(`{"t":"call_out","who":%d,"req":%s,"host":%s,"timeout":%s}`,
		r.who, quote(c.Name), quote(n.Name), ms(timeout))
}

func (r *router) Throttle(c *rules.Cmd, comeback rules.Tenth) {
	r.d.act(`{"t":"deny","who":%d,"req":%s,"retry_after":%s}`, r.who, quote(c.Name), ms(comeback))
}

func (r *router) Fail(c *rules.Cmd) {
	r.d.act(`{"t":"abort","who":%d,"req":%s}`, r.who, quote(c.Name))
}

func (r *router) Probe(n *rules.Node) {
	r.d.act(`{"t":"touch","who":%d,"host":%s}`, r.who, quote(n.Name))
}

func (r *router) Close(n *rules.Node) {
	r.d.act(`{"t":"close_idle","who":%d,"host":%s}`, r.who, quote(n.Name))
}

func (r *router) Tell(body string) {
	r.d.act(`{"t":"say","who":%d,"target":null,"body":%s}`, r.who, quote(body))
}

func (r *router) Wake(after rules.Tenth) {
	r.d.act(`{"t":"timer","who":%d,"offset":%s,"nonce":0}`, r.who, ms(after))
}

func (d *drill) act(format string, args ...any) {
	if !d.first {
		d.out.WriteByte(',')
	}
	d.first = false
	fmt.Fprintf(d.out, format, args...)
}

func ms(t rules.Tenth) string { return fmt.Sprintf("%d.%d", t/10, t%10) }

func quote(s string) string {
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(s); err != nil {
		panic(err) // a string always encodes
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func outcome(ev object) rules.Outcome {
	how := integer(ev, "how")
	if how < 1 || how > 9 {
		panic(malformed(fmt.Sprintf("how: no outcome %d", how)))
	}
	return rules.Outcome(how - 1)
}

func up(ms float64) rules.Tenth   { return rules.Tenth(math.Ceil(ms*10 - 1e-3)) }
func down(ms float64) rules.Tenth { return rules.Tenth(math.Floor(ms*10 + 1e-3)) }

func missing(ev object, field string) any {
	v := ev[field]
	if v == nil {
		panic(malformed(field + ": missing"))
	}
	return v
}

func asNumber(v any, field string) float64 {
	n, ok := v.(json.Number)
	f, err := n.Float64()
	if !ok || err != nil {
		panic(malformed(field + ": not a number"))
	}
	return f
}

func number(ev object, field string) float64 { return asNumber(missing(ev, field), field) }

func maybeNumber(ev object, field string) float64 {
	if ev[field] == nil {
		return 0
	}
	return number(ev, field)
}

// integer takes what 64 bits hold, with or without a sign.
func integer(ev object, field string) int64 {
	n, ok := missing(ev, field).(json.Number)
	if ok {
		if i, err := n.Int64(); err == nil {
			return i
		}
		if f, err := n.Float64(); err == nil && f == math.Trunc(f) && f >= 0 && f < math.MaxUint64 {
			return int64(uint64(f))
		}
	}
	panic(malformed(field + ": not a whole number"))
}

func text(ev object, field string) string {
	s, ok := missing(ev, field).(string)
	if !ok {
		panic(malformed(field + ": not a text"))
	}
	return s
}

func maybeText(ev object, field string) string {
	s, _ := ev[field].(string)
	return s
}

func flag(ev object, field string) bool {
	b, ok := ev[field].(bool)
	if !ok && ev[field] != nil {
		panic(malformed(field + ": not a bool"))
	}
	return b
}

func list(ev object, field string) []any {
	l, ok := missing(ev, field).([]any)
	if !ok {
		panic(malformed(field + ": not an array"))
	}
	return l
}

func maybeList(ev object, field string) []any {
	if ev[field] == nil {
		return nil
	}
	return list(ev, field)
}

func within(ev object, field string) object {
	o, ok := missing(ev, field).(object)
	if !ok {
		panic(malformed(field + ": not an object"))
	}
	return o
}
