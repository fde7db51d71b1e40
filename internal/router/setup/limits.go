package setup

import "time"

// Limits holds all sizes, counts and time-outs of the sockets, and of the process. Sizes are in bytes.
type Limits struct {
	Cores  int
	Memory int64 // soft limit for the garbage collector

	MaxClientConns    int // file descriptors for clients
	MaxHostConns      int // file descriptors for connections to hosts
	SpareClientConns  int // descriptors for clients past MaxClientConns, whose commands are throttled
	CommandQueueSize  int // commands that wait for the decision module
	MaxPipelined      int // commands of one client connection that are not answered yet
	MaxRejectedInARow int // rejected commands in a row, before a client's connection ends

	MaxClientMessage int
	MaxHostMessage   int // the longest message of a host
	MaxListLine      int // the longest line of discovery
	MaxDatagram      int
	InitialBuffer    int   // initial size of a connection's buffer
	BufferBudget     int64 // by which all buffers together may grow past their initial sizes

	// Connections to hosts.
	ConnectTimeout  time.Duration // for a connection to come up
	HostIdleTimeout time.Duration // after which an idle connection is not used any more
	ReuseDelay      time.Duration // after an answer, for data that does not belong to it to be noticed

	// Clients.
	AnswerMargin       time.Duration // before a client's own time-out at which the last answer is sent
	FirstListTimeout   time.Duration // for a first list to come, before an empty query fails
	CommandReadTimeout time.Duration // for a first command, or for the rest of a partial one
	NewConnGrace       time.Duration // after which a connection without a complete command may be evicted
	EvictionIdleTime   time.Duration // after which an idle connection may be evicted, once half of MaxClientConns are open
	LingerTimeout      time.Duration // for a client to read why its connection ends
	ClientWriteTimeout time.Duration // for a client to read its answers

	// Discovery and peers.
	DiscoveryTimeout   time.Duration // of discovery, before its connection counts as lost
	RetryDelay         time.Duration // before a retry, and the first step of a backoff
	DatagramBatchDelay time.Duration // in which datagrams are gathered

	// The goroutine that owns the decision module.
	StepInterval       time.Duration // at most between two of its steps
	StallRecoveryDelay time.Duration // after a stall, for the sockets to be read

	// After SIGTERM.
	AcceptPeriod    time.Duration // in which connections are still accepted
	DrainDelay      time.Duration // after which connections with nothing pending are closed
	ShutdownTimeout time.Duration // after which the program exits
}

const (
	minCores    = 0.01
	minMemoryMB = 32
	minSockets  = 64

	ownSockets         = 16 // the listener's, discovery's, the peers', the log's and the runtime's
	minSpareSockets    = 8
	maxReservedSockets = 64

	idleMargin = 2 * time.Second // before a host closes an idle connection, at most

	maxCommandWait = 3 * time.Second // in a shutdown
)

// computeLimits divides the resources that the platform grants. SIGKILL comes 0.2 s after ShutdownTimeout at the soonest.
func computeLimits(top Object) Limits {
	granted, settings := top.Object("limits"), top.Object("settings")
	bounds := settings.Object("bounds")
	cores := granted.atLeast("cores", minCores)
	memory := int64(granted.atLeast("memory_mb", minMemoryMB)) << 20
	sockets := int(granted.atLeast("sockets", minSockets))
	reserved := max(ownSockets+minSpareSockets, min(maxReservedSockets, sockets/4))
	hostConns := (sockets - reserved) * 2 / 5
	hostIdle := bounds.durationAtLeast("conn_idle", time.Millisecond)
	l := Limits{
		Cores:  int(max(1, cores+0.5)),
		Memory: memory * 3 / 4,

		MaxClientConns:    sockets - reserved - hostConns,
		MaxHostConns:      hostConns,
		SpareClientConns:  min(reserved/2, reserved-ownSockets),
		CommandQueueSize:  1024,
		MaxPipelined:      32,
		MaxRejectedInARow: 16,

		MaxClientMessage: 160 << 10,
		MaxHostMessage:   96 << 10,
		MaxListLine:      4 << 20,
		MaxDatagram:      256,
		InitialBuffer:    4 << 10,
		BufferBudget:     memory / 4,

		ConnectTimeout:  bounds.durationAtLeast("connect_timeout", time.Millisecond),
		HostIdleTimeout: hostIdle - min(hostIdle/4, idleMargin),
		ReuseDelay:      time.Millisecond,

		AnswerMargin:       4 * time.Millisecond,
		FirstListTimeout:   10 * time.Second,
		CommandReadTimeout: 2500 * time.Millisecond,
		NewConnGrace:       250 * time.Millisecond,
		EvictionIdleTime:   250 * time.Millisecond,
		LingerTimeout:      time.Second,
		ClientWriteTimeout: 15 * time.Second,

		DiscoveryTimeout:   4500 * time.Millisecond,
		RetryDelay:         50 * time.Millisecond,
		DatagramBatchDelay: 15 * time.Millisecond,

		StepInterval:       50 * time.Millisecond,
		StallRecoveryDelay: 5 * time.Millisecond,

		AcceptPeriod: 500 * time.Millisecond,
	}
	var longestTarget time.Duration
	for _, class := range settings.Objects("classes") {
		timeout := time.Duration(class.Number("give_up")) * time.Millisecond
		longestTarget = max(longestTarget, time.Duration(class.Number("promise"))*time.Millisecond)
		l.ShutdownTimeout = max(l.ShutdownTimeout, min(timeout, maxCommandWait)+l.AcceptPeriod)
	}
	l.DrainDelay = max(l.AcceptPeriod, l.ShutdownTimeout-longestTarget) // clients may have nowhere else to go for now
	return l
}

// durationAtLeast returns a number of milliseconds that is not less than a minimum.
func (o Object) durationAtLeast(field string, minimum time.Duration) time.Duration {
	ms := o.atLeast(field, float64(minimum)/float64(time.Millisecond))
	return time.Duration(ms * float64(time.Millisecond))
}
