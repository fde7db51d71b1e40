package simadapter

import (
	"encoding/json"
	"fmt"
	"strings"

	"ferrypitch/policy"
)

// The methods of instance below implement policy.Caller.

// Dispatch sends a command to a host.
func (i *instance) Dispatch(command *policy.Command, host *policy.Host, timeout policy.TenthMs) {
	i.adapter.writeAction(`{"t":"call_out","who":%d,"req":%s,"host":%s,"timeout":%s}`,
		i.proxyID, quote(command.Name), quote(host.Name), milliseconds(timeout))
}

// RejectRetryable rejects a command. Its client may retry after retryAfter.
func (i *instance) RejectRetryable(command *policy.Command, retryAfter policy.TenthMs) {
	i.adapter.writeAction(`{"t":"deny","who":%d,"req":%s,"retry_after":%s}`,
		i.proxyID, quote(command.Name), milliseconds(retryAfter))
	i.removeIfFinished(command)
}

// Fail ends a command with an error.
func (i *instance) Fail(command *policy.Command) {
	i.adapter.writeAction(`{"t":"abort","who":%d,"req":%s}`, i.proxyID, quote(command.Name))
	i.removeIfFinished(command)
}

// Probe sends a health check to a host.
func (i *instance) Probe(host *policy.Host) {
	i.adapter.writeAction(`{"t":"touch","who":%d,"host":%s}`, i.proxyID, quote(host.Name))
}

// CloseIdleConns closes idle connections to a host.
func (i *instance) CloseIdleConns(host *policy.Host) {
	i.adapter.writeAction(`{"t":"close_idle","who":%d,"host":%s}`, i.proxyID, quote(host.Name))
}

// RequestHostList subscribes to the list of hosts.
func (i *instance) RequestHostList() {
	i.adapter.writeAction(`{"t":"subscribe","who":%d,"active":true}`, i.proxyID)
}

// ReleaseHost removes a host. It writes no action.
func (i *instance) ReleaseHost(host *policy.Host) { delete(i.hosts, host.Name) }

// Broadcast sends a message to the other proxies.
func (i *instance) Broadcast(body string) {
	i.adapter.writeAction(`{"t":"say","who":%d,"target":null,"body":%s}`, i.proxyID, quote(body))
}

// ScheduleWakeUp sets the proxy's timer.
func (i *instance) ScheduleWakeUp(after policy.TenthMs) {
	i.adapter.writeAction(`{"t":"timer","who":%d,"offset":%s,"nonce":0}`, i.proxyID, milliseconds(after))
}

func (i *instance) removeIfFinished(command *policy.Command) {
	if command.IsFinished() {
		delete(i.commands, command.Name)
	}
}

// writeAction appends one action to the reply.
func (a *adapter) writeAction(format string, args ...any) {
	if !a.firstAction {
		a.out.WriteByte(',')
	}
	a.firstAction = false
	fmt.Fprintf(a.out, format, args...)
}

// milliseconds formats a time as a JSON number in milliseconds.
func milliseconds(time policy.TenthMs) string {
	return fmt.Sprintf("%d.%d", time/tenthsPerMs, time%tenthsPerMs)
}

// quote encodes a JSON string without HTML escapes.
func quote(text string) string {
	var quoted strings.Builder
	encoder := json.NewEncoder(&quoted)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(text); err != nil {
		panic(err) // a string can always be encoded
	}
	return strings.TrimSuffix(quoted.String(), "\n")
}
