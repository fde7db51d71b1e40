package tierprocess

import (
	"testing"
	"time"

	"ferrypitch/internal/simulation/program"
)

func TestSixForwardersAndThreePlannersKilledInTurn(t *testing.T) {
	dir := t.TempDir()
	binary, err := program.Build(dir, "ferrypitch")
	if err != nil {
		t.Fatal(err)
	}
	o, err := Run(t.Context(), Terms{Dir: dir, Binary: binary, Forwarders: 6, Planners: 3, Sets: 2, Members: 3, Rate: 150,
		For: 14 * time.Second, Clients: 4, Faults: true, Changes: 1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if o.Broken > 0 || o.Sent < 500 {
		t.Errorf("%+v", *o)
	}
	if o.Sent != o.Answered+o.Throttled+o.Failed+o.Lost {
		t.Errorf("%d sent: %d answered, %d throttled, %d failed", o.Sent, o.Answered, o.Throttled, o.Failed)
	}
	if 10*o.Answered < 7*o.Sent {
		t.Errorf("only %d of %d answered", o.Answered, o.Sent)
	}
}
