package setup

import (
	"strconv"

	"ferrypitch/policy"
)

// Terms is how commands, answers and load reports of a deployment are read.
type Terms struct {
	Groups                   map[string]*policy.CmdGroup
	Fields                   []string // of a load report, in order
	PositionField, RoleField int      // the fields of a load report that hold them; -1: none
	Positions                bool     // every answer carries one
}

// Deployment decodes the settings, once at start.
func Deployment(env Object, seed uint32) (dep policy.Deployment, terms Terms) {
	bounds, limits := env.Within("bounds"), env.Within("rules")
	prices, tele := env.Within("prices"), env.Within("telemetry")
	info := env.Within("family_info")
	terms = Terms{Groups: map[string]*policy.CmdGroup{},
		PositionField: -1, RoleField: -1, Positions: info.Flag("stamps")}
	for i, f := range tele.MaybeList("fields") {
		name, _ := f.(string)
		switch name {
		case "x0":
			terms.PositionField = i
		case "x1":
			terms.RoleField = i
		}
		terms.Fields = append(terms.Fields, name)
	}
	how, guards := tele.MaybeText("how"), info.oneOf("guards", "none", "bounce", "await")
	if info.optionalAtLeast("wait", 0) > 0 && guards != "await" {
		info.fail("wait", "there is nothing to wait for, since guards is not await")
	}
	dep = policy.Deployment{
		Seed: seed, Zero: Down(info.MaybeNumber("origin_time")),
		Tick: Up(env.MaybeNumber("tick")), Routers: int(max(1, env.MaybeNumber("peers_total"))),
		Zone: env.MaybeText("zone"), Dispatches: int(bounds.MaybeNumber("send_cap")),
		Guarded: guards == "bounce" || guards == "await",
		Wait:    Down(info.MaybeNumber("wait")),
		Kept:    info.MaybeText("session_marks") == "kept",
		Reports: (how == "answers" || how == "probe") && terms.PositionField >= 0,
		Probes:  bounds.Flag("probes"),
		Peers:   bounds.Flag("peers"), PeerPrice: prices.MaybeNumber("peer"),
		ProbePrice: prices.MaybeNumber("probe"),
		FallFactor: limits.MaybeNumber("overload_factor"), FallSpan: Down(limits.MaybeNumber("fall")),
		ColdFrom: limits.MaybeNumber("cold_from"), ColdFor: Up(limits.MaybeNumber("cold")),
		DrainAlone: limits.Flag("drain_binds_alone"),
		Streams:    int(max(1, bounds.optionalAtLeast("streams_per_conn", 0))),
		IdleFor:    Down(bounds.optionalAtLeast("conn_idle", 0)), ConnectFor: Down(bounds.optionalAtLeast("connect_timeout", 0)),
	}
	within := Down(limits.optionalAtLeast("ask_within", 0))
	if env.oneOf("discovery", "pushed", "on_request") == "on_request" {
		if dep.AskWithin = within; within == 0 {
			limits.fail("ask_within", "not over 0, where the list comes only on request")
		}
	}
	if bounds.Flag("retry_after") {
		dep.Comeback = Down(bounds.MaybeNumber("max_retry_after"))
	}
	reads, bound := info.MaybeList("class_read"), info.MaybeList("class_bound")
	for i, c := range env.Objects("classes") {
		g := &policy.CmdGroup{Target: Down(c.Number("promise")), Timeout: Down(c.Number("give_up")),
			Memory: Down(c.MaybeNumber("memory_span")), EverySet: c.MaybeText("group") == "all",
			Benefit: c.Number("worth"), LateShare: c.MaybeNumber("late_share")}
		g.Effect = map[string]policy.Effect{
			"deduplicated": policy.Keyed, "at_most_once": policy.Mutating}[c.Text("effect")]
		if i < len(reads) {
			word, _ := reads[i].(string)
			g.Need = map[string]policy.Need{"lag_bound": policy.Bounded, "causal": policy.Session,
				"strong": policy.Fresh, "mutate": policy.Write}[word]
		}
		if i < len(bound) {
			ms, ok := AsNumber(bound[i])
			if !ok {
				info.fail("class_bound["+strconv.Itoa(i)+"]", "not a number")
			}
			g.Bound = Down(ms)
		}
		dep.Groups = append(dep.Groups, g)
		terms.Groups[c.Text("name")] = g
	}
	return dep, terms
}

// Report is what a load report says of position and role, if it says anything.
func (t Terms) Report(field func(i int) (float64, bool)) (pos policy.Tenth, role policy.Role, ok bool) {
	if t.PositionField < 0 {
		return 0, policy.Unknown, false
	}
	seconds, ok := field(t.PositionField)
	if !ok || seconds < 0 || seconds > 1e12 { // not even as a whole number of tenths

		return 0, policy.Unknown, false
	}
	if t.RoleField >= 0 {
		if is, known := field(t.RoleField); known {
			role = policy.Replica
			if is == 1 {
				role = policy.Primary
			}
		}
	}
	return Down(1000 * seconds), role, true
}

// Words are what a host says beside an answer: its position in milliseconds, of which one past ahead can't be
// true, and its role. The position is -1 where there is none.
func Words(position, is string, ahead float64) (pos policy.Tenth, role policy.Role) {
	pos = -1
	if v, err := strconv.ParseFloat(position, 64); err == nil && v > 0 && v <= ahead {
		pos = Down(v)
	}
	switch is {
	case "leader":
		role = policy.Primary
	case "follower":
		role = policy.Replica
	}
	return pos, role
}
