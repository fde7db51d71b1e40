package session

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
)

func parse(t *testing.T, text string) wire.Request {
	t.Helper()
	request, err := wire.ParseRequest([]byte("QUERY id " + text))
	require.NoError(t, err)
	return request
}

func rejection(kind errcode.Kind) Step {
	return Step{Action: AnswerLocally, Reply: kind.Append(nil, 0)}
}

func TestHandleReturnsWhatAStatementNeeds(t *testing.T) {
	prepared := map[string]string{"write": "STORE q1", "read": "FETCH q2"}
	done := Step{Action: AnswerLocally, Reply: wire.AppendDone(nil)}
	for name, c := range map[string]struct {
		session Session
		text    string
		want    Step
	}{
		"read":                    {Session{}, "FETCH a", Step{Action: RouteToHost, Text: "FETCH a"}},
		"write":                   {Session{}, "STORE a b", Step{Action: RouteToHost, Text: "STORE a b", MayWrite: true}},
		"read in transaction":     {Session{State: 'T'}, "FETCH a", Step{Action: UsePinnedConn, Text: "FETCH a"}},
		"any after a failure":     {Session{State: 'E'}, "SET a b", rejection(errcode.FailedTransaction)},
		"BEGIN":                   {Session{}, "BEGIN", Step{Action: RouteToHost, BeginsTransaction: true, MayWrite: true, Text: "BEGIN"}},
		"BEGIN read-only":         {Session{}, "BEGIN FETCH", Step{Action: RouteToHost, BeginsTransaction: true, ReadOnly: true, Text: "BEGIN FETCH"}},
		"BEGIN twice":             {Session{State: 'T'}, "BEGIN", rejection(errcode.AlreadyInTransaction)},
		"COMMIT":                  {Session{State: 'T'}, "COMMIT", Step{Action: UsePinnedConn, EndsTransaction: true, IsCommit: true, Text: "COMMIT"}},
		"ABORT after a failure":   {Session{State: 'E'}, "ABORT", Step{Action: UsePinnedConn, EndsTransaction: true, Text: "ABORT"}},
		"COMMIT of nothing":       {Session{}, "COMMIT", rejection(errcode.NoTransaction)},
		"COMMIT, connection lost": {Session{State: 'E', TxnConnLost: true}, "COMMIT", Step{Action: EndLostTransaction, Reply: errcode.RolledBack.Append(nil, 0)}},
		"ABORT, connection lost":  {Session{State: 'E', TxnConnLost: true}, "ABORT", Step{Action: EndLostTransaction, Reply: wire.AppendDone(nil)}},
		"SET":                     {Session{}, "SET a b", done},
		"PREPARE":                 {Session{}, "PREPARE a FETCH b", done},
		"CLOSE":                   {Session{Prepared: map[string]string{"a": "FETCH b"}}, "CLOSE a", done},
		"CLOSE of nothing":        {Session{}, "CLOSE a", rejection(errcode.UnknownPreparedName)},
		"EXECUTE of nothing":      {Session{}, "EXECUTE a 1", rejection(errcode.UnknownPreparedName)},
		"EXECUTE of a write":      {Session{Prepared: prepared}, "EXECUTE write a b", Step{Action: RouteToHost, Text: "EXECUTE " + PreparedName("STORE q1") + " a b", MayWrite: true}},
		"EXECUTE of a read":       {Session{Prepared: prepared, State: 'T'}, "EXECUTE read a", Step{Action: UsePinnedConn, Text: "EXECUTE " + PreparedName("FETCH q2") + " a"}},
		"SET beyond the limit":    {Session{}, "SET a " + strings.Repeat("x", maxBytes), rejection(errcode.SessionTooLarge)},
	} {
		require.Equal(t, c.want, c.session.Handle(parse(t, c.text)), name)
	}
}

func TestSessionKeepsLimitedNames(t *testing.T) {
	var session Session
	for i := range maxNames {
		require.Equal(t, done(), session.Handle(parse(t, fmt.Sprintf("SET v%d x", i))))
		require.Equal(t, done(), session.Handle(parse(t, fmt.Sprintf("PREPARE p%d FETCH x", i))))
	}
	require.Equal(t, rejection(errcode.SessionTooLarge), session.Handle(parse(t, "SET another x")))
	require.Equal(t, rejection(errcode.SessionTooLarge), session.Handle(parse(t, "PREPARE another FETCH x")))
}

func TestTokenIsTheGreatestPositionOfAWrite(t *testing.T) {
	var session Session
	respond := func(text string, state wire.TransactionState, number uint64, code wire.Code) bool {
		response := &wire.Response{State: state, Position: wire.Position{Timeline: 1, Number: number}, Code: code}
		return session.HandleResponse(session.Handle(parse(t, text)), response)
	}
	number := func() uint64 { return session.Token.Number }

	require.False(t, respond("STORE a b", 'I', 5, ""))
	require.EqualValues(t, 5, number())
	respond("STORE a b", 'I', 4, "")
	respond("STORE a b", 'I', 6, wire.CodeAborted)
	respond("FETCH a", 'I', 7, "")
	require.EqualValues(t, 5, number(), "an older position, a failed write and a read")

	require.True(t, respond("BEGIN", 'T', 8, ""))
	require.True(t, respond("FETCH a", 'T', 8, ""))
	require.False(t, respond("COMMIT", 'I', 9, ""))
	require.EqualValues(t, 5, number(), "a transaction that has only read")

	require.True(t, respond("BEGIN", 'T', 10, ""))
	require.True(t, respond("STORE a b", 'T', 10, ""))
	require.True(t, session.MayHaveWritten)
	require.False(t, respond("COMMIT", 'I', 11, ""))
	require.EqualValues(t, 11, number())
	require.False(t, session.MayHaveWritten)
}

func TestSetupStatementsGiveAConnectionTheSessionsState(t *testing.T) {
	var conn ConnState
	first, second := &Session{}, &Session{}
	for _, text := range []string{"SET b 2", "SET a 1", "PREPARE p FETCH q"} {
		first.Handle(parse(t, text))
	}
	name := PreparedName("FETCH q")
	read, execute := parse(t, "FETCH x"), parse(t, "EXECUTE p 1")

	require.Equal(t, []string{"SET a 1", "SET b 2"}, conn.SetupStatements(first, read), "a new connection")
	require.Equal(t, []string{"PREPARE " + name + " FETCH q"}, conn.SetupStatements(first, execute))
	require.Empty(t, conn.SetupStatements(first, execute), "already prepared")
	require.Equal(t, []string{"RESET"}, conn.SetupStatements(second, read), "connection has another session's state")
	second.Handle(parse(t, "SET c 3"))
	second.State = 'T'
	require.Equal(t, []string{"SET c 3"}, conn.SetupStatements(second, read), "no RESET in a transaction")
}

// Two texts of the same length may have the same PreparedName; the test sets up such a collision directly.
func TestSetupReplacesAnotherTextOfTheSameName(t *testing.T) {
	session := &Session{Prepared: map[string]string{"p": "FETCH q"}}
	name, execute := PreparedName("FETCH q"), parse(t, "EXECUTE p 1")

	conn := ConnState{Prepared: map[string]string{name: "FETCH other"}}
	require.Equal(t, []string{"RESET", "PREPARE " + name + " FETCH q"}, conn.SetupStatements(session, execute))

	conn = ConnState{Prepared: map[string]string{name: "FETCH other"}}
	session.State = 'T'
	require.Equal(t, []string{"CLOSE " + name, "PREPARE " + name + " FETCH q"}, conn.SetupStatements(session, execute))
	require.Equal(t, map[string]string{name: "FETCH q"}, conn.Prepared)
}

func TestSetupResetsAConnectionWithManyPreparedStatements(t *testing.T) {
	conn := ConnState{Prepared: map[string]string{}}
	for i := range maxPrepared {
		conn.Prepared[fmt.Sprint(i)] = "FETCH q"
	}
	require.Equal(t, []string{"RESET"}, conn.SetupStatements(&Session{}, parse(t, "FETCH x")))
	require.Empty(t, conn.Prepared)
}
