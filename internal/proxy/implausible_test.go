package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/wire"
)

// A response that violates the protocol, such as a success of BEGIN that opens no transaction or an answer without its stamp,
// counts as a failed attempt: the client gets another host's answer or an error without waiting for its deadline.
func TestImplausibleResponseIsAFailedAttempt(t *testing.T) {
	for line, want := range map[string]string{
		"QUERY c1 BEGIN":     "ERROR RETRY",
		"QUERY c1 FETCH a":   "DONE",
		"QUERY c1 STORE a b": "ERROR INDOUBT",
	} {
		sim := newSimulation(3, 1, 0)
		sim.RunFor(2 * second)
		proxy := sim.proxies[0]
		session, conn := openSession(proxy, "lead")
		conn.take()
		sendStatement(t, proxy, session, line)
		stmt := session.statement
		require.NotNil(t, stmt)
		for deadline := sim.Now + second; !stmt.attempt.sent; {
			sim.RunFor(1)
			require.Less(t, sim.Now, deadline)
		}
		proxy.run(proxy.incarnation, func(server *Server) {
			var response wire.Response
			for _, line := range []string{"DONE -", "IDLE I 1.1"} {
				_, err := response.AddLine([]byte(line), []byte(line+"\r\n"))
				require.NoError(t, err)
			}
			server.handleResponse(stmt.attempt.conn, &response, server.clock.Time())
		})
		require.EqualValues(t, 1, proxy.server.counters.unexpectedResponses.Load())
		sim.RunFor(300 * millisecond)
		require.Contains(t, conn.take(), want, line)
	}
}
