package simadapter

import (
	"encoding/json"
	"fmt"
	"strings"

	"ferrypitch/policy"
)

// The methods here are what the policy calls to act.

// Dispatch sends a command to a host.
func (i *instance) Dispatch(command *policy.Command, host *policy.Host, timeout policy.TenthMs) {
	i.adapter.write(`{"t":"call_out","who":%d,"req":%s,"host":%s,"timeout":%s}`,
		i.who, quote(command.Name), quote(host.Name), milliseconds(timeout))
}

// Throttle rejects a command, with the time after which its client may retry.
func (i *instance) Throttle(command *policy.Command, retryAfter policy.TenthMs) {
	i.adapter.write(`{"t":"deny","who":%d,"req":%s,"retry_after":%s}`, i.who, quote(command.Name), milliseconds(retryAfter))
	i.forgetIfOver(command)
}

// Fail ends a command with an error.
func (i *instance) Fail(command *policy.Command) {
	i.adapter.write(`{"t":"abort","who":%d,"req":%s}`, i.who, quote(command.Name))
	i.forgetIfOver(command)
}

// Probe sends a health check to a host.
func (i *instance) Probe(host *policy.Host) {
	i.adapter.write(`{"t":"touch","who":%d,"host":%s}`, i.who, quote(host.Name))
}

// Close closes idle connections to a host.
func (i *instance) Close(host *policy.Host) {
	i.adapter.write(`{"t":"close_idle","who":%d,"host":%s}`, i.who, quote(host.Name))
}

// Watch subscribes to the endpoint list.
func (i *instance) Watch() { i.adapter.write(`{"t":"subscribe","who":%d,"active":true}`, i.who) }

// Forget removes a host.
func (i *instance) Forget(host *policy.Host) { delete(i.hosts, host.Name) }

// Tell sends a message to the other proxies.
func (i *instance) Tell(body string) {
	i.adapter.write(`{"t":"say","who":%d,"target":null,"body":%s}`, i.who, quote(body))
}

// Wake sets the timer.
func (i *instance) Wake(after policy.TenthMs) {
	i.adapter.write(`{"t":"timer","who":%d,"offset":%s,"nonce":0}`, i.who, milliseconds(after))
}

func (i *instance) forgetIfOver(command *policy.Command) {
	if command.IsFinished() {
		delete(i.commands, command.Name)
	}
}

// write writes one action of the reply.
func (a *adapter) write(format string, args ...any) {
	if !a.firstCmd {
		a.out.WriteByte(',')
	}
	a.firstCmd = false
	fmt.Fprintf(a.out, format, args...)
}

// milliseconds formats a time as a JSON number of milliseconds.
func milliseconds(time policy.TenthMs) string {
	return fmt.Sprintf("%d.%d", time/tenthsPerMs, time%tenthsPerMs)
}

// quote formats a JSON string, without escapes for HTML.
func quote(text string) string {
	var quoted strings.Builder
	encoder := json.NewEncoder(&quoted)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(text); err != nil {
		panic(err) // a string can always be encoded
	}
	return strings.TrimSuffix(quoted.String(), "\n")
}
