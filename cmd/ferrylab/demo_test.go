package main

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheDemoEndsByItselfWithItsCounts(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, runDemo(t.Context(), &out, demoOptions{duration: 4 * time.Second, rate: 100, asJSON: true}))
	var r demoResult
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	if r.Violations != 0 || r.Sent < 150 || 10*r.Answered < 8*r.Sent || r.Answers["set1-a order"] == 0 {
		t.Errorf("%+v", r)
	}
}
