package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validBody = `{"Generation":7,"Routes":[{"Name":"r1","Host":"db1","PathPrefix":"/","Kind":"leader","DeadlineMs":800,"TargetMs":150,` +
	`"Priority":1,"Service":"s1","MaxTries":2,"New":{"x":[1]}},{"Name":"r2","Host":"db2","PathPrefix":"/","Kind":"owned","DeadlineMs":800,` +
	`"TargetMs":150,"Priority":2,"Service":"s2","MaxTries":2,"StalenessMs":2500}],"Services":[{"Name":"s1","MaxConns":57,"SyncReplicas":1},` +
	`{"Name":"s2","MaxConns":57,"Later":true}],"Limits":{"TxnIdleMs":3000},"More":"kept"}`

func TestErrorsNameTheKey(t *testing.T) {
	config, err := Read([]byte(validBody))
	require.NoError(t, err)
	require.Equal(t, validBody, string(config.Body), "the body is kept byte for byte")
	for key, body := range map[string]string{
		"the body":             validBody[:len(validBody)/2],
		"Generation":           strings.Replace(validBody, `"Generation":7,`, "", 1),
		"Routes[0].Service":    strings.Replace(validBody, `"Service":"s1"`, `"Service":"s9"`, 1),
		"Routes[1].Host":       strings.Replace(validBody, `"Host":"db2"`, `"Host":"db1"`, 1),
		"Routes[0].DeadlineMs": strings.Replace(validBody, `"DeadlineMs":800`, `"DeadlineMs":0`, 1),
		"Routes[1].Kind":       strings.Replace(validBody, `"Kind":"owned"`, `"Kind":"mine"`, 1),
		"Routes[1].Name":       strings.Replace(validBody, `"Name":"r2"`, `"Name":"r1"`, 1),
		"Services[1].Name":     strings.Replace(validBody, `{"Name":"s2"`, `{"Name":"s1"`, 1),
		"Services[0].MaxConns": strings.Replace(validBody, `"MaxConns":57`, `"MaxConns":-1`, 1),
		"Routes.DeadlineMs":    strings.Replace(validBody, `"DeadlineMs":800`, `"DeadlineMs":"soon"`, 1),
	} {
		_, err := Read([]byte(body))
		require.Error(t, err, key)
		require.Contains(t, err.Error(), key)
	}
	_, err = Read([]byte(validBody + "x"))
	require.Error(t, err, "data after the configuration")
}

func TestAmendKeepsWhatItDoesNotName(t *testing.T) {
	config, err := Amend([]byte(validBody), []byte(`{"Generation":9,"Upsert":{"Routes":[{"Name":"r3","Host":"db3","PathPrefix":"/","Kind":"leader",
		"DeadlineMs":5,"Service":"s2"}]},"Remove":{"Routes":["r2","nobody"]}}`))
	require.NoError(t, err)
	require.EqualValues(t, 9, config.Generation)
	require.Len(t, config.Routes, 2)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(config.Body, &fields))
	require.Equal(t, "kept", fields["More"])
	require.Contains(t, string(config.Body), `"New":{"x":[1]}`)
	require.NotContains(t, string(config.Body), "db2")
	for _, bad := range []string{
		`{`,
		`{"Upsert":{}}`,
		`{"Generation":9,"Upsert":{"Routes":[{"Host":"x"}]}}`,
		`{"Generation":9,"Remove":{"Services":["s1"]}}`,
		`{"Generation":9,"Upsert":{"Generation":[{"Name":"x"}]}}`,
	} {
		_, err := Amend([]byte(validBody), []byte(bad))
		require.Error(t, err, bad)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(validBody), []byte(`{"Generation":9,"Remove":{"Routes":["r2"]}}`))
	f.Add([]byte(`{"Generation":1,"Routes":[],"Services":[]}`), []byte(`{"Generation":2,"Upsert":{"Services":[{"Name":"a"}]}}`))
	f.Fuzz(func(t *testing.T, body, change []byte) {
		config, err := Read(body)
		if err != nil {
			return
		}
		if amended, err := Amend(config.Body, change); err == nil {
			if _, err := Read(amended.Body); err != nil {
				t.Fatalf("Read rejects an amended configuration: %v", err)
			}
		}
	})
}
