package postgres

import (
	"encoding/binary"
	"strconv"
	"time"

	"ferrypitch/internal/router/protocol"
)

// protocolViolation is the SQLSTATE of a statement without the router's comment.
const protocolViolation = "08P01"

// Parameters with which a host reports its role and position in each answer.
const (
	roleParameter     = "node_role"
	positionParameter = "replay_position"
)

// Description of the only column in answers: its type bytea, variable size, no type modifier, and binary format.
const (
	byteaOID     = 17
	variableSize = 0xffff
	noModifier   = 0xffffffff
	binaryFormat = 1
)

// commandTag is the command tag of every answer. Writes return a row too, so they have the same tag as reads.
const commandTag = "SELECT 1"

// formatPosition formats a position for the wire, as a Unix time in milliseconds.
func formatPosition(t time.Time) string {
	return strconv.FormatFloat(float64(t.UnixMicro())/1000, 'f', 3, 64)
}

func (h *Host) roleName() string {
	if h.isPrimary() {
		return "leader"
	}
	return "follower"
}

// row returns an answer with one row of one column.
func (h *Host) row(value string, position time.Time) []byte {
	description := binary.BigEndian.AppendUint16(nil, 1) // number of columns
	description = append(description, "v\x00"...)
	description = binary.BigEndian.AppendUint32(description, 0) // no table
	description = binary.BigEndian.AppendUint16(description, 0) // no column of a table
	description = binary.BigEndian.AppendUint32(description, byteaOID)
	description = binary.BigEndian.AppendUint16(description, variableSize)
	description = binary.BigEndian.AppendUint32(description, noModifier)
	description = binary.BigEndian.AppendUint16(description, binaryFormat)

	data := binary.BigEndian.AppendUint16(nil, 1) // number of columns
	data = binary.BigEndian.AppendUint32(data, uint32(len(value)))
	data = append(data, value...)

	response := appendMessage(nil, protocol.RowDescription, description)
	response = appendMessage(response, protocol.DataRow, data)
	response = appendMessage(response, protocol.CommandComplete, []byte(commandTag+"\x00"))
	return h.appendReady(response, position)
}

// reject returns an error answer.
func (h *Host) reject(sqlState string, now time.Time) []byte {
	response := protocol.AppendError(nil, "ERROR", sqlState, "refused by "+h.Name, "")
	return h.appendReady(response, h.appliedUntil(now))
}

// appendReady appends the host's role, a position and ReadyForQuery to an answer.
func (h *Host) appendReady(response []byte, position time.Time) []byte {
	response = appendParameter(response, roleParameter, h.roleName())
	response = appendParameter(response, positionParameter, formatPosition(position))
	return protocol.AppendReadyForQuery(response)
}

func appendParameter(b []byte, name, value string) []byte {
	return appendMessage(b, protocol.ParameterStatus, []byte(name+"\x00"+value+"\x00"))
}

func appendMessage(b []byte, kind byte, body []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(lengthBytes+len(body)))
	return append(b, body...)
}
