package session

import (
	"hash/crc32"
	"maps"
	"slices"
	"strconv"

	"ferrypitch/internal/wire"
)

// maxPrepared is the number of prepared statements on a host connection at which it is reset.
const maxPrepared = 128

// ConnState is the session state that the host holds for one connection. The zero value is a new connection.
type ConnState struct {
	VariablesKey string            // Session.VariablesKey of the variables that are set on the connection
	Prepared     map[string]string // texts of the prepared statements, by PreparedName
}

// PreparedName returns the name under which a statement is prepared on host connections. It depends only on the text, so that
// sessions with the same statement share it, whatever names their clients chose. Two texts of the same length can collide.
func PreparedName(text string) string {
	const base = 36
	checksum := crc32.ChecksumIEEE([]byte(text))
	return "f" + strconv.FormatUint(uint64(checksum), base) + strconv.FormatInt(int64(len(text)), base)
}

// Matches reports whether exactly the session's variables are set on the connection.
func (c *ConnState) Matches(session *Session) bool { return c.VariablesKey == session.VariablesKey() }

// SetupStatements returns the statements to run on the connection before the request, so that the connection has the session's
// variables and the prepared statement that the request executes. It records them as executed; if one of them fails, the caller
// must close the connection.
//
// A connection inside a transaction can't be reset, so only what is missing is added to its state.
func (c *ConnState) SetupStatements(session *Session, request wire.Request) (statements []string) {
	var text string
	if request.Kind == wire.Execute {
		text = session.Prepared[request.Name]
	}
	if session.CurrentState() == wire.StateInTransaction {
		statements = c.closeConflicting(statements, text)
		if !c.Matches(session) {
			statements = c.setVariables(statements, session)
		}
	} else if !c.Matches(session) || c.conflicts(text) || len(c.Prepared) >= maxPrepared {
		statements = c.reset(statements)
		statements = c.setVariables(statements, session)
	}
	return c.prepareText(statements, text)
}

// conflicts reports whether a different text with the same PreparedName is prepared on the connection.
func (c *ConnState) conflicts(text string) bool {
	prepared, ok := c.Prepared[PreparedName(text)]
	return text != "" && ok && prepared != text
}

func (c *ConnState) closeConflicting(statements []string, text string) []string {
	if !c.conflicts(text) {
		return statements
	}
	name := PreparedName(text)
	delete(c.Prepared, name)
	return append(statements, "CLOSE "+name)
}

// resetText is the text of the statement that drops a session's variables and prepared statements.
const resetText = "RESET"

func (c *ConnState) reset(statements []string) []string {
	if c.VariablesKey == "" && len(c.Prepared) == 0 {
		return statements
	}
	return append(statements, c.ResetStatement())
}

// ResetStatement returns a statement that removes all variables and prepared statements from the connection.
func (c *ConnState) ResetStatement() string {
	c.VariablesKey, c.Prepared = "", nil
	return resetText
}

func (c *ConnState) setVariables(statements []string, session *Session) []string {
	for _, name := range slices.Sorted(maps.Keys(session.Variables)) {
		statements = append(statements, "SET "+name+" "+session.Variables[name])
	}
	c.VariablesKey = session.VariablesKey()
	return statements
}

func (c *ConnState) prepareText(statements []string, text string) []string {
	if text == "" {
		return statements
	}
	name := PreparedName(text)
	if _, ok := c.Prepared[name]; ok {
		return statements
	}
	if c.Prepared == nil {
		c.Prepared = map[string]string{}
	}
	c.Prepared[name] = text
	return append(statements, "PREPARE "+name+" "+text)
}
