package policy

import (
	"hash/crc32"
	"strconv"
	"strings"
)

// The latency in a peerUpdate is in tenths of the response target, or one of these.
const (
	peerLatencyUnknown = 13
	peerConnsExhausted = 14 // the host takes no more connections
	peerRejecting      = 15 // the host rejects commands
)

const (
	peerUpdateBase   = 36
	peerPositionUnit = 10 // tenths of a millisecond
	peerRoles        = 2
	peerLatencies    = 16
)

// peerUpdate is what one router tells the others of a host: "id.number", both to base 36. The id is the CRC-32 of the host's
// name, the number (position * 2 + role) * 16 + latency, with the position in milliseconds and 0 for replicas, 1 for primaries.
type peerUpdate struct {
	hostID   string
	position TenthMs
	role     Role
	latency  TenthMs
}

func (u peerUpdate) encode() string {
	number := (u.position/peerPositionUnit*peerRoles+TenthMs(u.role)%peerRoles)*peerLatencies + u.latency
	return u.hostID + "." + strconv.FormatInt(number, peerUpdateBase)
}

// decodePeerUpdate reports false for a text that encode can't have made.
func decodePeerUpdate(text string) (u peerUpdate, ok bool) {
	id, digits, _ := strings.Cut(text, ".")
	number, err := strconv.ParseInt(digits, peerUpdateBase, 64)
	if err != nil || number < 0 {
		return u, false
	}
	rest := number / peerLatencies
	return peerUpdate{
		hostID:   id,
		position: rest / peerRoles * peerPositionUnit,
		role:     Replica - Role(rest%peerRoles),
		latency:  number % peerLatencies,
	}, true
}

// peerID names the host in messages between routers.
func (h *Host) peerID() string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(h.Name))), peerUpdateBase)
}
