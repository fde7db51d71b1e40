package setup

import (
	"strconv"

	"ferrypitch/policy"
)

// maxReportSeconds limits the positions in load reports: more seconds do not fit a policy.TenthMs.
const maxReportSeconds = 1e12

// Names of the fields of a load report that the router uses.
const (
	reportFieldPosition = "x0"
	reportFieldRole     = "x1"
)

// What a deployment does with a read that a host cannot answer at its position (family_info.guards).
const (
	guardsNone   = "none"
	guardsBounce = "bounce" // the host rejects it
	guardsAwait  = "await"  // the host waits for the position first
)

// How the list comes (discovery).
const (
	discoveryPushed    = "pushed"
	discoveryOnRequest = "on_request"
)

// effects are the values of a class's effect; others are idempotent.
var effects = map[string]policy.Idempotency{
	"deduplicated": policy.Keyed,
	"at_most_once": policy.NotIdempotent,
}

// needs are the values of family_info.class_read; others may read anything.
var needs = map[string]policy.Consistency{
	"lag_bound": policy.BoundedStaleness,
	"causal":    policy.ReadYourWrites,
	"strong":    policy.Strong,
	"mutate":    policy.Write,
}

// Formats describes how commands, answers and load reports of a deployment are read.
type Formats struct {
	Groups              map[string]*policy.CommandGroup // by the name in a command's comment
	Fields              []string                        // of a load report, in order
	PositionField       int                             // index in Fields of the host's position; -1 for none
	RoleField           int                             // index in Fields of the host's role; -1 for none
	AnswersHavePosition bool                            // every answer carries a position
}

// ReadDeployment reads a deployment's settings. It raises a Fault.
func ReadDeployment(env Object, seed uint32) (deployment policy.Deployment, terms Formats) {
	bounds, limits := env.Object("bounds"), env.Object("rules")
	prices, telemetry := env.Object("prices"), env.Object("telemetry")
	info := env.Object("family_info")
	terms = readTerms(telemetry, info)
	reportsBy := telemetry.OptionalText("how")
	guards := readGuards(info)
	deployment = policy.Deployment{
		Seed:               seed,
		PositionEpoch:      RoundDown(info.OptionalNumber("origin_time")),
		Tick:               RoundUp(env.OptionalNumber("tick")),
		RouterCount:        int(max(1, env.OptionalNumber("peers_total"))),
		Zone:               env.OptionalText("zone"),
		MaxDispatches:      int(bounds.OptionalNumber("send_cap")),
		HostsCheckPosition: guards == guardsBounce || guards == guardsAwait,
		PositionWait:       RoundDown(info.OptionalNumber("wait")),
		LocalSessionTokens: info.OptionalText("session_marks") == "kept",
		PositionsReported:  (reportsBy == "answers" || reportsBy == "probe") && terms.PositionField >= 0,
		ProbesEnabled:      bounds.Flag("probes"),
		PeerUpdatesEnabled: bounds.Flag("peers"),
		PeerUpdateCost:     prices.OptionalNumber("peer"),
		ProbeCost:          prices.OptionalNumber("probe"),
		ColdOverloadFactor: limits.OptionalNumber("overload_factor"),
		ColdOverloadWindow: RoundDown(limits.OptionalNumber("fall")),
		ColdCapacity:       limits.OptionalNumber("cold_from"),
		ColdDuration:       RoundUp(limits.OptionalNumber("cold")),
		KeepUnlistedHosts:  limits.Flag("drain_binds_alone"),
		StreamsPerConn:     int(max(1, bounds.optionalNotNegative("streams_per_conn"))),
		IdleConnTimeout:    RoundDown(bounds.optionalNotNegative("conn_idle")),
		ConnectTimeout:     RoundDown(bounds.optionalNotNegative("connect_timeout")),
	}
	deployment.ListTimeout = readAskWithin(env, limits)
	if bounds.Flag("retry_after") {
		deployment.MaxRetryAfter = RoundDown(bounds.OptionalNumber("max_retry_after"))
	}
	deployment.Groups = readGroups(env, info, terms.Groups)
	return deployment, terms
}

// readTerms reads all of the terms but the groups, which it leaves empty.
func readTerms(telemetry, info Object) Formats {
	terms := Formats{
		Groups:        map[string]*policy.CommandGroup{},
		PositionField: -1, RoleField: -1,
		AnswersHavePosition: info.Flag("stamps"),
	}
	for i, field := range telemetry.OptionalList("fields") {
		name, _ := field.(string)
		switch name {
		case reportFieldPosition:
			terms.PositionField = i
		case reportFieldRole:
			terms.RoleField = i
		}
		terms.Fields = append(terms.Fields, name)
	}
	return terms
}

func readGuards(info Object) string {
	guards := info.oneOf("guards", guardsNone, guardsBounce, guardsAwait)
	if info.optionalNotNegative("wait") > 0 && guards != guardsAwait {
		info.fail("wait", "there is nothing to wait for, since guards is not await")
	}
	return guards
}

// readAskWithin reads the longest time in which a requested list is waited for; 0 where lists come without a request.
func readAskWithin(env, limits Object) policy.TenthMs {
	within := RoundDown(limits.optionalNotNegative("ask_within"))
	if env.oneOf("discovery", discoveryPushed, discoveryOnRequest) != discoveryOnRequest {
		return 0
	}
	if within == 0 {
		limits.fail("ask_within", "not over 0, where the list comes only on request")
	}
	return within
}

// readGroups reads the command groups, which it also enters into byName.
func readGroups(env, info Object, byName map[string]*policy.CommandGroup) (groups []*policy.CommandGroup) {
	reads, bounds := info.OptionalList("class_read"), info.OptionalList("class_bound")
	for i, class := range env.Objects("classes") {
		group := &policy.CommandGroup{
			ResponseTarget:      RoundDown(class.Number("promise")),
			Timeout:             RoundDown(class.Number("give_up")),
			KeyRetention:        RoundDown(class.OptionalNumber("memory_span")),
			DedupAcrossSets:     class.OptionalText("group") == "all",
			Benefit:             class.Number("worth"),
			LateBenefitFraction: class.OptionalNumber("late_share"),
		}
		group.IdempotencyClass = effects[class.Text("effect")]
		if i < len(reads) {
			word, _ := reads[i].(string)
			group.ConsistencyLevel = needs[word]
		}
		if i < len(bounds) {
			ms, ok := AsNumber(bounds[i])
			if !ok {
				info.fail("class_bound["+strconv.Itoa(i)+"]", "not a number")
			}
			group.MaxStaleness = RoundDown(ms)
		}
		groups = append(groups, group)
		byName[class.Text("name")] = group
	}
	return groups
}

// ParseLoadReport reads the position and role in a load report; ok is false if it has no position. field returns the
// value of a field by its index in Fields.
func (t Formats) ParseLoadReport(field func(i int) (float64, bool)) (position policy.TenthMs, role policy.Role, ok bool) {
	if t.PositionField < 0 {
		return 0, policy.UnknownRole, false
	}
	seconds, ok := field(t.PositionField)
	if !ok || seconds < 0 || seconds > maxReportSeconds {
		return 0, policy.UnknownRole, false
	}
	if t.RoleField >= 0 {
		if value, known := field(t.RoleField); known {
			role = policy.Replica
			if value == 1 {
				role = policy.Primary
			}
		}
	}
	return RoundDown(1000 * seconds), role, true
}

// ParseHostStatus reads the position and role that a host sends beside an answer. The position is -1 where there is none; one beyond
// maxMs milliseconds cannot be true and counts as none.
func ParseHostStatus(positionText, roleText string, maxMs float64) (position policy.TenthMs, role policy.Role) {
	position = -1
	if ms, err := strconv.ParseFloat(positionText, 64); err == nil && ms > 0 && ms <= maxMs {
		position = RoundDown(ms)
	}
	switch roleText {
	case "leader":
		role = policy.Primary
	case "follower":
		role = policy.Replica
	}
	return position, role
}
