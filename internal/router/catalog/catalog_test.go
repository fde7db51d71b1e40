package catalog

import (
	"errors"
	"testing"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

func TestStatesOfAListAreRead(t *testing.T) {
	list, err := setup.Decode("", []byte(`{"rev":7,"all":true,"targets":[
		{"uid":"a","endpoint":"127.0.0.1:1","pod_group":2,"state":"up","role":"leader","az":"z1","boot_ms":1.5},
		{"uid":"b","endpoint":"127.0.0.1:2","pod_group":2,"state":"removed"},
		{"uid":"c","endpoint":"127.0.0.1:3","pod_group":2,"state":"draining"},
		{"uid":"d","endpoint":"127.0.0.1:4","pod_group":2,"state":"not known"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	version, complete, hosts, err := Read(list)
	if version != 7 || !complete || len(hosts) != 4 || err != nil {
		t.Fatal(version, complete, hosts, err)
	}
	if h := hosts[0]; h.Name != "a" || h.Address != "127.0.0.1:1" || h.Set != 2 || !h.ListedPrimary || h.Zone != "z1" || h.BootedAt != 15 {
		t.Errorf("%+v", h)
	}
	for i, want := range []policy.ListState{policy.Active, policy.Removed, policy.Draining, policy.Draining} {
		if hosts[i].ListedState != want {
			t.Errorf("%s: %d, not %d", hosts[i].Name, hosts[i].ListedState, want)
		}
	}
}

func TestInvalidListNamesItsField(t *testing.T) {
	list, err := setup.Decode("", []byte(`{"rev":7,"targets":[{"uid":"a","endpoint":3}]}`))
	if err != nil {
		t.Fatal(err)
	}
	var fieldError setup.FieldError
	if _, _, _, err := Read(list); !errors.As(err, &fieldError) || fieldError != "targets[0].endpoint: not a text" {
		t.Error(err)
	}
}
