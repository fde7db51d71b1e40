package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// The roles in the row of a host's status.
const (
	rolePrimary = "leader"
	roleReplica = "follower"
)

// The fields of a status row. Hosts may append others.
const (
	statusRole = iota
	statusTimeline
	statusReceived
	statusPausedTimeline
	statusLagMs
	statusBusy
	statusConnections
	statusFields // number of them
)

// HostStatus is what a host tells about itself in answer to STAT, PAUSE and STEPDOWN.
type HostStatus struct {
	IsPrimary              bool     // it is the primary, as far as it knows
	Timeline               uint64   // timeline that it is on
	Received               Position // last position that it has received, though perhaps not applied
	PausedTimeline         uint64   // timeline of the PAUSE in force; 0: it is not paused
	LagMs                  int64    // milliseconds from receiving to applying
	BusySlots, Connections int64    // slots in use, connections open
}

// ParseHostStatus reads the row of a status. The error is ErrMalformed; then the status is zero.
func ParseHostStatus(row string) (HostStatus, error) {
	fields := strings.Fields(row)
	if len(fields) < statusFields || fields[statusRole] != rolePrimary && fields[statusRole] != roleReplica {
		return HostStatus{}, malformedStatus(row)
	}
	status := HostStatus{IsPrimary: fields[statusRole] == rolePrimary}
	var err error
	if status.Received, err = ParsePosition([]byte(fields[statusReceived])); err != nil {
		return HostStatus{}, err
	}
	var numbers [statusFields]uint64
	for _, index := range []int{statusTimeline, statusPausedTimeline, statusLagMs, statusBusy, statusConnections} {
		// 63 bits, so that each fits into an int64 too.
		if numbers[index], err = strconv.ParseUint(fields[index], 10, 63); err != nil {
			return HostStatus{}, malformedStatus(row)
		}
	}
	status.Timeline = numbers[statusTimeline]
	status.PausedTimeline = numbers[statusPausedTimeline]
	status.LagMs = int64(numbers[statusLagMs])
	status.BusySlots = int64(numbers[statusBusy])
	status.Connections = int64(numbers[statusConnections])
	return status, nil
}

func malformedStatus(row string) error { return fmt.Errorf("%w: status %.60q", ErrMalformed, row) }
