package policy

import (
	"hash/crc32"
	"strconv"
	"strings"
)

// reportsPerLatencyStep is the number of units of Command.ReportedLatency in a step.
const reportsPerLatencyStep = 100

// The latency in a peerUpdate is in steps of a fraction of the unloaded latency, or one of these values.
const (
	peerLatencySteps   = 2 // steps in the unloaded latency
	peerLatencyUnknown = 13
	peerConnsExhausted = 14 // the host accepts no more connections
	peerRejecting      = 15 // the host rejects commands
)

const (
	peerUpdateBase   = 36
	peerPositionUnit = 10 // tenths of a millisecond
	peerRoles        = 2
	peerLatencies    = 16
)

// peerUpdate is a message about one host that a router sends to the others. It is encoded as "id.number", both in base 36. The
// id is the CRC-32 of the host's name. The number is (position * 2 + role) * 16 + latency, with the position in milliseconds and
// role 0 for replicas, 1 for primaries.
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

// decodePeerUpdate decodes a text from encode. It returns false if the text is malformed.
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

// peerID returns the identifier of the host in messages between routers.
func (h *Host) peerID() string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(h.Name))), peerUpdateBase)
}
