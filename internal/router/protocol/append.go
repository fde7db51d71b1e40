package protocol

import "encoding/binary"

// transactionIdle is the transaction status of ReadyForQuery outside a transaction block. Each command is a transaction of its
// own.
const transactionIdle = 'I'

// startupParameters are the parameters that drivers expect after the startup message.
var startupParameters = [...]struct{ name, value string }{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
	{"integer_datetimes", "on"},
}

// appendMessage appends a message. appendBody appends its body.
func appendMessage(b []byte, kind byte, appendBody func([]byte) []byte) []byte {
	b = append(b, kind)
	start := len(b)
	b = appendBody(append(b, make([]byte, lengthBytes)...))
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start))
	return b
}

// appendCString appends a zero-terminated string.
func appendCString(b []byte, text string) []byte { return append(append(b, text...), 0) }

// AppendStartup appends the startup message of a session with a host.
func AppendStartup(b []byte, user, database string) []byte {
	start := len(b)
	b = append(b, make([]byte, lengthBytes)...)
	b = binary.BigEndian.AppendUint32(b, Version)
	b = appendCString(appendCString(b, "user"), user)
	b = appendCString(appendCString(b, "database"), database)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start))
	return b
}

// AppendQuery appends the Query message of a simple query.
func AppendQuery(b []byte, statement []byte) []byte {
	return appendMessage(b, Query, func(b []byte) []byte { return append(append(b, statement...), 0) })
}

// AppendStartupResponse appends the answer to a startup message: AuthenticationOk, parameters, a cancel key of zeros, since cancel
// requests are not supported, and ReadyForQuery.
func AppendStartupResponse(b []byte) []byte {
	b = appendMessage(b, Authentication, func(b []byte) []byte { return append(b, 0, 0, 0, 0) })
	for _, parameter := range startupParameters {
		b = appendMessage(b, ParameterStatus, func(b []byte) []byte {
			return appendCString(appendCString(b, parameter.name), parameter.value)
		})
	}
	b = appendMessage(b, BackendKeyData, func(b []byte) []byte { return append(b, 0, 0, 0, 0, 0, 0, 0, 0) })
	return AppendReadyForQuery(b)
}

// AppendReadyForQuery appends ReadyForQuery, the last message of each answer.
func AppendReadyForQuery(b []byte) []byte {
	return appendMessage(b, ReadyForQuery, func(b []byte) []byte { return append(b, transactionIdle) })
}

// AppendEmptyQueryResponse appends the answer to a query without a statement.
func AppendEmptyQueryResponse(b []byte) []byte {
	return appendMessage(b, EmptyQueryResponse, func(b []byte) []byte { return b })
}

// AppendError appends an ErrorResponse with an SQLSTATE code. detail may be empty.
func AppendError(b []byte, severity, code, text, detail string) []byte {
	return appendMessage(b, ErrorResponse, func(b []byte) []byte {
		b = appendCString(append(b, 'S'), severity)
		b = appendCString(append(b, 'V'), severity) // the non-localized severity field
		b = appendCString(append(b, errorFieldCode), code)
		b = appendCString(append(b, 'M'), text)
		if detail != "" {
			b = appendCString(append(b, 'D'), detail)
		}
		return append(b, 0)
	})
}
