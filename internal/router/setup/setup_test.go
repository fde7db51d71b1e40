package setup

import (
	"errors"
	"testing"
	"time"

	"ferrypitch/policy"
)

const settings = `{"tick":5,"bounds":{"conn_idle":30000,"connect_timeout":250,"probes":true},"prices":{},` +
	`"rules":{},"telemetry":{"how":"answers","fields":["rif","x1","x0"]},"family_info":{"class_read":["causal"]},` +
	`"classes":[{"name":"own","effect":"idempotent","give_up":900,"promise":200,"worth":1}]}`

func TestLimitsDivideDescriptorsAndMemory(t *testing.T) {
	for _, sockets := range []string{"64", "1024", "65536"} {
		top, err := Decode("", []byte(`{"limits":{"cores":0.5,"memory_mb":192,"sockets":`+sockets+`},"settings":`+settings+`}`))
		if err != nil {
			t.Fatal(err)
		}
		l, given := computeLimits(top), int(top.Object("limits").Number("sockets"))
		if l.MaxClientConns < 16 || l.MaxHostConns < 16 || l.SpareClientConns < 8 || l.MaxClientConns+l.MaxHostConns+l.SpareClientConns > given-16 {
			t.Errorf("%s: %d for clients, %d for hosts", sockets, l.MaxClientConns, l.MaxHostConns)
		}
		if l.MaxProcs != 1 || l.SoftMemoryLimit >= 192<<20 || l.HostIdleTimeout >= 30*time.Second || l.ShutdownTimeout != 1400*time.Millisecond {
			t.Errorf("%+v", l)
		}
		if most := l.BufferBudget + int64(l.MaxHostConns*l.MaxHostMessage) + int64((l.MaxHostConns+l.MaxClientConns)*l.InitialBuffer); sockets == "1024" && most > l.SoftMemoryLimit {
			t.Errorf("buffers may use %d bytes of %d", most, l.SoftMemoryLimit)
		}
	}
}

func TestLoadReportIsReadByFieldNames(t *testing.T) {
	env, err := Decode("", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	deployment, formats := ReadDeployment(env, 7)
	if g := formats.Groups["own"]; g == nil || g.ConsistencyLevel != policy.ReadYourWrites || g.Timeout != 9000 || !deployment.PositionsReported {
		t.Errorf("%+v", deployment)
	}
	row := []float64{3, 1, 1767225600.1234}
	pos, role, ok := formats.ParseLoadReport(func(i int) (float64, bool) { return row[i], i < len(row) })
	if pos != 17672256001234 || role != policy.Primary || !ok {
		t.Error(pos, role, ok)
	}
	for name, field := range map[string]func(int) (float64, bool){
		"no value":                func(int) (float64, bool) { return 0, false },
		"a negative position":     func(int) (float64, bool) { return -3, true },
		"a position out of range": func(int) (float64, bool) { return 1e300, true },
	} {
		if _, _, ok := formats.ParseLoadReport(field); ok {
			t.Errorf("a report with %s is accepted", name)
		}
	}
}

func TestInvalidFieldIsATypedError(t *testing.T) {
	read := func() (err error) {
		defer CatchFieldError(&err)
		top, err := Decode("", []byte(`{"settings":{"classes":[{"give_up":"soon"}]}}`))
		if err != nil {
			return err
		}
		top.Object("settings").Objects("classes")[0].Number("give_up")
		return nil
	}
	var fieldError FieldError
	if err := read(); !errors.As(err, &fieldError) || fieldError != "settings.classes[0].give_up: not a number" {
		t.Errorf("%T %v", err, err)
	}
}
