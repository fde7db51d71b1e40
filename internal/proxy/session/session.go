package session

import (
	"maps"
	"slices"
	"strings"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
)

// Limits on the state of one session.
const (
	maxNames = 256       // variables; the same limit applies to prepared statements
	maxBytes = 256 << 10 // total size of the names and values of both
)

// Session is the state of one client connection. The zero value is a new session: idle, without variables or prepared statements.
type Session struct {
	Variables      map[string]string     // variables by name
	Prepared       map[string]string     // texts of prepared statements, by the client's names
	Token          wire.Position         // greatest log position of the session's writes, which its reads must include
	State          wire.TransactionState // zero is StateIdle
	ReadOnly       bool                  // the transaction was begun read-only
	TxnConnLost    bool                  // the connection of the transaction was lost
	MayHaveWritten bool                  // the open transaction may have written

	variablesKey     string // cached VariablesKey; valid unless variablesChanged
	variablesChanged bool   // variablesKey must be computed again
}

// CurrentState returns the transaction state that is sent to the client in IDLE.
func (s *Session) CurrentState() wire.TransactionState {
	if s.State == 0 {
		return wire.StateIdle
	}
	return s.State
}

// Handle returns the step that a request requires. It changes the session only if the request is answered locally; for the
// others HandleResponse does.
func (s *Session) Handle(request wire.Request) Step {
	switch request.Kind {
	case wire.Commit, wire.Abort:
		return s.handleTransactionEnd(request)
	}
	if s.CurrentState() == wire.StateFailed {
		return reject(errcode.FailedTransaction)
	}
	switch request.Kind {
	case wire.Begin, wire.BeginReadOnly:
		return s.handleBegin(request)
	case wire.Set:
		return s.handleSet(request)
	case wire.Prepare:
		return s.handlePrepare(request)
	case wire.ClosePrepared:
		return s.handleClose(request)
	case wire.Execute:
		return s.handleExecute(request)
	}
	return s.execute(request.Text, request.Kind == wire.Store)
}

func (s *Session) handleTransactionEnd(request wire.Request) Step {
	isCommit := request.Kind == wire.Commit
	if s.CurrentState() == wire.StateIdle {
		return reject(errcode.NoTransaction)
	}
	if !s.TxnConnLost {
		return Step{Action: UsePinnedConn, EndsTransaction: true, IsCommit: isCommit, Text: request.Text}
	}
	s.EndTransaction()
	if isCommit {
		return Step{Action: EndLostTransaction, Reply: errcode.RolledBack.Append(nil, 0)}
	}
	return Step{Action: EndLostTransaction, Reply: wire.AppendDone(nil)}
}

func (s *Session) handleBegin(request wire.Request) Step {
	if s.CurrentState() == wire.StateInTransaction {
		return reject(errcode.AlreadyInTransaction)
	}
	readOnly := request.Kind == wire.BeginReadOnly
	return Step{Action: RouteToHost, BeginsTransaction: true, ReadOnly: readOnly, MayWrite: !readOnly, Text: request.Text}
}

func (s *Session) handleSet(request wire.Request) Step {
	if !s.canAddName(len(s.Variables), request.Name, request.Value) {
		return reject(errcode.SessionTooLarge)
	}
	if s.Variables == nil {
		s.Variables = map[string]string{}
	}
	s.Variables[request.Name] = request.Value
	s.variablesChanged = true
	return done()
}

func (s *Session) handlePrepare(request wire.Request) Step {
	if !s.canAddName(len(s.Prepared), request.Name, request.Value) {
		return reject(errcode.SessionTooLarge)
	}
	if s.Prepared == nil {
		s.Prepared = map[string]string{}
	}
	s.Prepared[request.Name] = request.Value
	return done()
}

func (s *Session) handleClose(request wire.Request) Step {
	if _, ok := s.Prepared[request.Name]; !ok {
		return reject(errcode.UnknownPreparedName)
	}
	delete(s.Prepared, request.Name)
	return done()
}

func (s *Session) handleExecute(request wire.Request) Step {
	text, ok := s.Prepared[request.Name]
	if !ok {
		return reject(errcode.UnknownPreparedName)
	}
	return s.execute("EXECUTE "+PreparedName(text)+" "+request.Arguments, wire.PreparedTextWrites(text))
}

// execute returns the step of a statement that a host executes.
func (s *Session) execute(text string, writes bool) Step {
	step := Step{Action: RouteToHost, Text: text, MayWrite: writes}
	if s.CurrentState() == wire.StateInTransaction {
		step.Action = UsePinnedConn
	}
	return step
}

// canAddName reports whether another variable or prepared statement fits into the limits. count is the number of existing ones of the
// same kind.
func (s *Session) canAddName(count int, name, value string) bool {
	size := len(name) + len(value)
	for _, kept := range []map[string]string{s.Variables, s.Prepared} {
		for keptName, keptValue := range kept {
			size += len(keptName) + len(keptValue)
		}
	}
	return count < maxNames && size <= maxBytes
}

// EndTransaction resets the transaction state to idle.
func (s *Session) EndTransaction() {
	s.State, s.TxnConnLost, s.ReadOnly, s.MayHaveWritten = wire.StateIdle, false, false, false
}

// HandleResponse applies a host's response to a RouteToHost or UsePinnedConn step. It reports whether the session is in a
// transaction and therefore keeps the connection.
func (s *Session) HandleResponse(step Step, response *wire.Response) (keepsConnection bool) {
	executedWrite := step.MayWrite && !step.BeginsTransaction
	if executedWrite || step.EndsTransaction && s.MayHaveWritten {
		if response.Code == "" && s.Token.Before(response.Position) {
			s.Token = response.Position
		}
	}
	if executedWrite && response.State != wire.StateIdle {
		s.MayHaveWritten = true
	}
	if step.BeginsTransaction && response.State == wire.StateInTransaction {
		s.ReadOnly = step.ReadOnly
	}
	if response.State == wire.StateIdle {
		s.EndTransaction()
		return false
	}
	s.State = response.State
	return true
}

// ConnectionLost marks the transaction as failed because its connection was lost. The host rolls the transaction back.
func (s *Session) ConnectionLost() { s.State, s.TxnConnLost = wire.StateFailed, true }

// VariablesKey returns a string that is equal for two sessions if and only if they have the same variables.
func (s *Session) VariablesKey() string {
	if s.variablesChanged {
		s.variablesKey, s.variablesChanged = variablesKey(s.Variables), false
	}
	return s.variablesKey
}

func variablesKey(variables map[string]string) string {
	var key strings.Builder
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		key.WriteString(name)
		key.WriteByte(' ')
		key.WriteString(variables[name])
		key.WriteByte('\n')
	}
	return key.String()
}
