package main

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

func TestTheDemoEndsByItselfWithItsCounts(t *testing.T) {
	var out bytes.Buffer
	if err := demo(t.Context(), &out, 4*time.Second, 100, false, true, false); err != nil {
		t.Fatal(err)
	}
	var r result
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	if r.Broken != 0 || r.Sent < 150 || 10*r.Answered < 8*r.Sent || r.Answers["set1-a order"] == 0 {
		t.Errorf("%+v", r)
	}
}
