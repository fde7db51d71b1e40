package wire

// Code is the first field of an ERROR line. Hosts may send codes that are not listed here; they are forwarded unchanged.
type Code string

// The codes that the protocol defines.
const (
	CodeRetry       Code = "RETRY"
	CodeAborted     Code = "ABORTED"   // the transaction was rolled back
	CodeLagging     Code = "LAGGING"   // the host has not reached the position of the FENCE
	CodeReadOnly    Code = "READONLY"  // the host is not the primary, or the transaction is read-only
	CodeWrongNode   Code = "WRONGNODE" // CONNECT names another service or host
	CodeOverload    Code = "OVERLOAD"  // a host, tenant or session is at a limit
	CodeInDoubt     Code = "INDOUBT"   // the outcome is unknown
	CodeExpired     Code = "EXPIRED"
	CodeFailed      Code = "FAILED"
	CodeUnknownName Code = "UNKNOWN" // no such prepared statement
	CodeMalformed   Code = "MALFORMED"
	CodeNoDatabase  Code = "NODB"   // no such database
	CodeDenied      Code = "DENIED" // the client's key belongs to no tenant
)

// NothingKept reports whether the code guarantees that the attempt had no lasting effect, so that the client may retry the whole
// operation.
func (c Code) NothingKept() bool {
	switch c {
	case CodeRetry, CodeAborted, CodeLagging, CodeReadOnly, CodeWrongNode, CodeOverload:
		return true
	}
	return false
}

// NotExecuted reports whether a host that answers with the code has not executed the statement.
func (c Code) NotExecuted() bool {
	switch c {
	case CodeRetry, CodeUnknownName, CodeLagging, CodeReadOnly, CodeWrongNode, CodeOverload, CodeMalformed:
		return true
	}
	return false
}
