package simadapter

import (
	"strings"
	"testing"
)

const spawn = `{"t":"spawn","who":3,"init_seed":7,"env":{"bounds":{"send_cap":4,"probes":true,"cancel":true},` +
	`"rules":{"fall":1000,"cold":9000,"cold_from":0.2,"overload_factor":2},"prices":{},"telemetry":{"how":"none"},` +
	`"family_info":{"stamps":true,"class_read":["eventual"],"origin_time":0},"unheard_of":1,"tick":5,` +
	`"classes":[{"name":"look","effect":"idempotent","give_up":800,"promise":300,"worth":1}]}}`

const hosts = `{"t":"table","sheet":0,"items":[{"host":"10.0.0.1:7000","leader":0,"az":"a","shape":"k","shard":1,` +
	`"stage_state":"IN","scale":1,"boot_time":null}]},{"t":"members","who":3,"mode":"remembered","serial":1,"sheet":0}`

func run(t *testing.T, items ...string) (string, error) {
	t.Helper()
	var in, out strings.Builder
	for i, item := range items {
		in.WriteString(`{"now":` + string(rune('1'+i)) + `000.0,"round":` + string(rune('1'+i)) + `,"items":[` + item + "]}\n")
	}
	err := Run(strings.NewReader(in.String()), &out)
	return out.String(), err
}

func TestEmptyBatchIsEchoed(t *testing.T) {
	out, err := run(t, "", "")
	if want := "{\"round\":1,\"cmds\":[]}\n{\"round\":2,\"cmds\":[]}\n"; err != nil || out != want {
		t.Errorf("%q, %v", out, err)
	}
}

func TestCommandIsDispatchedOnceAndEndsWithItsResponse(t *testing.T) {
	ingress := `{"t":"ingress","who":3,"req":"c:<&>","tier_class":"look","group_no":1,"give_up_at":2800.0,"user":null}`
	attemptEnd := `{"t":"attempt_end","who":3,"req":"c:<&>","leg":0,"host":"10.0.0.1:7000","how":1,"cost_time":9.5,` +
		`"ended":true,"stamp":8002,"telemetry":null}`
	earlierAttemptEnd := strings.Replace(attemptEnd, `"leg":0`, `"leg":-1`, 1)
	out, err := run(t, spawn+","+hosts, ingress, earlierAttemptEnd+","+attemptEnd+","+attemptEnd+`,{"t":"dropped","who":3,"req":"c:<&>"},{"t":"news","who":3}`)
	if err != nil || strings.Count(out, "call_out") != 1 || !strings.Contains(out, `"req":"c:<&>"`) {
		t.Errorf("%s, %v", out, err)
	}
	if strings.Contains(out, "deny") || strings.Contains(out, "abort") || strings.Contains(out, "bug") {
		t.Errorf("more than one final answer, or a fault: %s", out)
	}
}

func TestErrorsNameTheBatchAndField(t *testing.T) {
	for malformed, field := range map[string]string{
		`{"t":"ingress","who":3,"req":"c:1","tier_class":"look","group_no":1}`:                  "give_up_at",
		`{"t":"ingress","who":3,"req":"c:1","tier_class":"other","group_no":1,"give_up_at":1}`:  "tier_class",
		`{"t":"ingress","who":3,"req":5,"tier_class":"look","group_no":1,"give_up_at":2800.0}`:  "req",
		`{"t":"ingress","who":"x","req":"c","tier_class":"look","group_no":1,"give_up_at":2.0}`: "who",
	} {
		_, err := run(t, spawn+","+hosts, malformed)
		if err == nil || !strings.Contains(err.Error(), "batch 2") || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", malformed, err)
		}
	}
	if _, err := run(t, `{"t":"destroy"`); err == nil || !strings.Contains(err.Error(), "batch 1") {
		t.Errorf("cut off line: %v", err)
	}
}
