package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// The roles in a host's status row.
const (
	rolePrimary = "leader"
	roleReplica = "follower"
)

// The indexes of the fields of a status row. Hosts may append further fields.
const (
	statusRole = iota
	statusTimeline
	statusReceived
	statusPausedTimeline
	statusLagMs
	statusBusy
	statusConnections
	statusFields // number of fields
)

// HostStatus is the status that a host reports in response to STAT, PAUSE and STEPDOWN.
type HostStatus struct {
	IsPrimary              bool     // the host considers itself the primary
	Timeline               uint64   // current timeline
	ReceivedPosition       Position // last position received, possibly not applied yet
	PausedTimeline         uint64   // timeline of the PAUSE in effect; 0: not paused
	LagMs                  int64    // replication delay between receiving and applying, in milliseconds
	BusySlots, Connections int64    // slots in use and open connections
}

// ParseHostStatus parses a status row. On an error, which is ErrMalformed, the returned status is the zero value.
func ParseHostStatus(row string) (HostStatus, error) {
	fields := strings.Fields(row)
	if len(fields) < statusFields || fields[statusRole] != rolePrimary && fields[statusRole] != roleReplica {
		return HostStatus{}, malformedStatus(row)
	}
	status := HostStatus{IsPrimary: fields[statusRole] == rolePrimary}
	var err error
	if status.ReceivedPosition, err = ParsePosition([]byte(fields[statusReceived])); err != nil {
		return HostStatus{}, err
	}
	var numbers [statusFields]uint64
	for _, index := range []int{statusTimeline, statusPausedTimeline, statusLagMs, statusBusy, statusConnections} {
		// 63 bits, so that each value also fits into an int64.
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
