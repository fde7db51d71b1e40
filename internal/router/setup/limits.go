package setup

import "time"

// Limits holds all limits and timeouts of the process and its sockets. Sizes are in bytes.
type Limits struct {
	MaxProcs        int   // value for GOMAXPROCS
	SoftMemoryLimit int64 // soft memory limit of the Go runtime

	MaxClientConns    int // file descriptors for clients
	MaxHostConns      int // file descriptors for connections to hosts
	SpareClientConns  int // file descriptors for clients beyond MaxClientConns, whose commands may be throttled
	CommandQueueSize  int // commands queued for the policy
	MaxPipelined      int // unanswered commands per client connection
	MaxRejectedInARow int // rejected commands in a row before a client connection is closed

	MaxClientMessage int   // the longest message of a client
	MaxHostMessage   int   // the longest message of a host
	MaxListLine      int   // the longest line of discovery's response
	MaxDatagram      int   // the longest datagram between routers
	InitialBuffer    int   // initial size of a connection's buffer
	BufferBudget     int64 // total growth of all buffers beyond their initial sizes

	// Connections to hosts.
	ConnectTimeout  time.Duration // to establish a connection, including the startup
	HostIdleTimeout time.Duration // after which an idle connection is not reused
	ReuseDelay      time.Duration // after an answer before the connection is reused, to detect extra data

	// Clients.
	AnswerMargin       time.Duration // by which the last answer is sent before the client's own timeout
	FirstListTimeout   time.Duration // for the first host list, after which empty queries fail
	CommandReadTimeout time.Duration // for the first message or the rest of a partial one
	NewConnGrace       time.Duration // after which a connection without a complete message may be evicted
	EvictionIdleTime   time.Duration // after which an idle connection may be evicted if more than half of MaxClientConns are open
	LingerTimeout      time.Duration // for a client to read the error message that ends its connection
	ClientWriteTimeout time.Duration // to write answers to a client

	// Discovery and peers.
	DiscoveryTimeout   time.Duration // without data from discovery, after which its connection counts as lost
	RetryDelay         time.Duration // before a retry; also the initial backoff
	DatagramBatchDelay time.Duration // between two batches of received datagrams

	// Event loop of the policy.
	StepInterval       time.Duration // maximum time between two steps
	StallRecoveryDelay time.Duration // wait after a stall, in which the sockets are read

	// Shutdown, counted from SIGTERM.
	AcceptPeriod    time.Duration // in which connections are still accepted after SIGTERM
	ShutdownTimeout time.Duration // after which the process exits
}

const (
	minCores    = 0.01
	minMemoryMB = 32
	minSockets  = 64

	internalSockets    = 16 // the listener, discovery, the peers, the log and the Go runtime
	minSpareSockets    = 8
	maxReservedSockets = 64

	idleMargin = 2 * time.Second // maximum by which HostIdleTimeout is below the host's own idle timeout

	maxCommandWait = 3 * time.Second // maximum wait for pending commands at shutdown
)

// computeLimits derives the limits from the resources that the platform grants. The platform sends SIGKILL no sooner than 0.2 s
// after ShutdownTimeout.
func computeLimits(top Object) Limits {
	granted, settings := top.Object("limits"), top.Object("settings")
	bounds := settings.Object("bounds")
	cores := granted.atLeast("cores", minCores)
	memory := int64(granted.atLeast("memory_mb", minMemoryMB)) << 20
	sockets := int(granted.atLeast("sockets", minSockets))
	reserved := max(internalSockets+minSpareSockets, min(maxReservedSockets, sockets/4))
	hostConns := (sockets - reserved) * 2 / 5
	hostIdle := bounds.durationAtLeast("conn_idle", time.Millisecond)
	l := Limits{
		MaxProcs:        int(max(1, cores+0.5)),
		SoftMemoryLimit: memory * 3 / 4,

		MaxClientConns:    sockets - reserved - hostConns,
		MaxHostConns:      hostConns,
		SpareClientConns:  min(reserved/2, reserved-internalSockets),
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
	for _, class := range settings.Objects("classes") {
		timeout := time.Duration(class.Number("give_up")) * time.Millisecond
		l.ShutdownTimeout = max(l.ShutdownTimeout, min(timeout, maxCommandWait)+l.AcceptPeriod)
	}
	return l
}

// durationAtLeast returns the value of a field in milliseconds, which must not be less than a minimum.
func (o Object) durationAtLeast(field string, minimum time.Duration) time.Duration {
	ms := o.atLeast(field, float64(minimum)/float64(time.Millisecond))
	return time.Duration(ms * float64(time.Millisecond))
}
