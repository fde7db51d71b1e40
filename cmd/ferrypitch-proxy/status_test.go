package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/proxy"
)

func TestStatusIsPrintedALineAnItem(t *testing.T) {
	var printed bytes.Buffer
	printStatus(&printed, proxy.Status{
		Node: "p1", Ready: true, ConfigVersion: 7, AppliedIndex: 90, LeaseRemainingMs: 1500, Sessions: 3, Statements: 2,
		ControlMembers: []string{"10.0.0.1"},
		Proxies:        []string{"p1", "p2"},
		Services:       map[string]proxy.ServiceStatus{"db": {Primary: "h1", Position: "2.17", PositionAgeMs: 40}},
		Hosts: map[string]proxy.HostStatus{"h1": {
			Service: "db", Address: "10.1.0.1:5432", Zone: "z", Standing: "in",
			Conns: 4, IdleConns: 1, DialingConns: 1, MaxConns: 8, QueuedStatements: 5,
		}},
		Counters: map[string]int64{"statements": 12},
	})
	require.Equal(t, `proxy p1, ready true, configuration 7, log applied up to 90, lease for 1500 ms more
3 sessions, 2 statements in flight, control plane [10.0.0.1]
db: primary h1, revoked false, position 2.17 known 40 ms ago
h1 of db at 10.1.0.1:5432: in, 4 connections (1 idle, 1 being opened, 8 at most), 5 statements queued
proxy p1
proxy p2
statements 12
`, printed.String())
}
