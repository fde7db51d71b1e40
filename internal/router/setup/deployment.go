package setup

import (
	"strconv"

	"ferrypitch/policy"
)

// maxReportSeconds is the maximum position in a load report; higher ones could overflow policy.TenthMs.
const maxReportSeconds = 1e12

// Names of the load report fields that the router uses.
const (
	reportFieldPosition = "x0"
	reportFieldRole     = "x1"
)

// Values of family_info.guards: what a host does with a read whose position it has not reached.
const (
	guardsNone   = "none"
	guardsBounce = "bounce" // the host rejects it
	guardsAwait  = "await"  // the host waits for the position first
)

// Values of discovery: how the router receives the host list.
const (
	discoveryPushed    = "pushed"
	discoveryOnRequest = "on_request"
)

// idempotencyByEffect maps the values of a class's effect; all others mean idempotent.
var idempotencyByEffect = map[string]policy.Idempotency{
	"deduplicated": policy.Keyed,
	"at_most_once": policy.NotIdempotent,
}

// consistencyByRead maps the values of family_info.class_read; all others mean that reads may return any version.
var consistencyByRead = map[string]policy.Consistency{
	"lag_bound": policy.BoundedStaleness,
	"causal":    policy.ReadYourWrites,
	"strong":    policy.Strong,
	"mutate":    policy.Write,
}

// Formats describes how the commands, answers and load reports of a deployment are parsed.
type Formats struct {
	Groups              map[string]*policy.CommandGroup // by their name in the commands' comments
	LoadReportFields    []string                        // names of the load report fields, in order
	PositionField       int                             // index of the host's position in LoadReportFields; -1 for none
	RoleField           int                             // index of the host's role in LoadReportFields; -1 for none
	AnswersHavePosition bool                            // every answer contains a position
}

// ReadDeployment reads the settings of a deployment. It panics with a FieldError if they are invalid.
func ReadDeployment(env Object, seed uint32) (deployment policy.Deployment, formats Formats) {
	bounds, rules := env.Object("bounds"), env.Object("rules")
	prices, telemetry := env.Object("prices"), env.Object("telemetry")
	info := env.Object("family_info")
	formats = readFormats(telemetry, info)
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
		PositionsReported:  (reportsBy == "answers" || reportsBy == "probe") && formats.PositionField >= 0,
		ProbesEnabled:      bounds.Bool("probes"),
		PeerUpdatesEnabled: bounds.Bool("peers"),
		PeerUpdateCost:     prices.OptionalNumber("peer"),
		ProbeCost:          prices.OptionalNumber("probe"),
		ColdOverloadFactor: rules.OptionalNumber("overload_factor"),
		ColdOverloadWindow: RoundDown(rules.OptionalNumber("fall")),
		ColdCapacity:       rules.OptionalNumber("cold_from"),
		ColdDuration:       RoundUp(rules.OptionalNumber("cold")),
		KeepUnlistedHosts:  rules.Bool("drain_binds_alone"),
		StreamsPerConn:     int(max(1, bounds.optionalNotNegative("streams_per_conn"))),
		IdleConnTimeout:    RoundDown(bounds.optionalNotNegative("conn_idle")),
		ConnectTimeout:     RoundDown(bounds.optionalNotNegative("connect_timeout")),
	}
	deployment.ListTimeout = readListTimeout(env, rules)
	if bounds.Bool("retry_after") {
		deployment.MaxRetryAfter = RoundDown(bounds.OptionalNumber("max_retry_after"))
	}
	deployment.Groups = readGroups(env, info, formats.Groups)
	return deployment, formats
}

// readFormats reads the formats except for the command groups, which it leaves empty.
func readFormats(telemetry, info Object) Formats {
	formats := Formats{
		Groups:        map[string]*policy.CommandGroup{},
		PositionField: -1, RoleField: -1,
		AnswersHavePosition: info.Bool("stamps"),
	}
	for i, field := range telemetry.OptionalList("fields") {
		name, _ := field.(string)
		switch name {
		case reportFieldPosition:
			formats.PositionField = i
		case reportFieldRole:
			formats.RoleField = i
		}
		formats.LoadReportFields = append(formats.LoadReportFields, name)
	}
	return formats
}

// readGuards reads and checks family_info.guards and family_info.wait.
func readGuards(info Object) string {
	guards := info.oneOf("guards", guardsNone, guardsBounce, guardsAwait)
	if info.optionalNotNegative("wait") > 0 && guards != guardsAwait {
		info.fail("wait", "there is nothing to wait for, since guards is not await")
	}
	return guards
}

// readListTimeout reads the timeout of a requested host list; 0 if lists arrive without a request.
func readListTimeout(env, rules Object) policy.TenthMs {
	timeout := RoundDown(rules.optionalNotNegative("ask_within"))
	if env.oneOf("discovery", discoveryPushed, discoveryOnRequest) != discoveryOnRequest {
		return 0
	}
	if timeout == 0 {
		rules.fail("ask_within", "not over 0, where the list comes only on request")
	}
	return timeout
}

// readGroups reads the command groups and adds them to byName.
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
		group.IdempotencyClass = idempotencyByEffect[class.Text("effect")]
		if i < len(reads) {
			word, _ := reads[i].(string)
			group.ConsistencyLevel = consistencyByRead[word]
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

// ParseLoadReport returns the position and role in a load report. ok is false if it has no valid position. field returns the
// value of a field by its index in LoadReportFields.
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

// ParseHostStatus parses the position and role that a host sends with an answer. The position is -1 if it is missing, invalid or
// greater than maxMs milliseconds, which no valid position is.
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
