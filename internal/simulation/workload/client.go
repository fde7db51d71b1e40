package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ferrypitch/internal/router/protocol"
)

const (
	// writeTimeoutFactor is the ratio of the client timeout of writes to that of reads.
	writeTimeoutFactor = 3
	// answerGrace is how long after the client timeout a client still waits for an answer.
	answerGrace = 50 * time.Millisecond
)

// client is a client connection that sends commands to one router.
type client struct {
	load   *load
	index  int
	router string
	random *rand.Rand
	// lastWrites holds the commit position of each session's last write.
	lastWrites map[int]string
	conn       *connection // nil while not connected
}

// command is one command of a client.
type command struct {
	id        string
	group     string
	statement string
	session   int
	writes    bool
	due       time.Time
	timeout   time.Duration
}

func (l *load) newClient(index int) *client {
	return &client{
		load:       l,
		index:      index,
		router:     l.Routers[index%len(l.Routers)],
		random:     rand.New(rand.NewPCG(l.Seed, uint64(index))),
		lastWrites: map[int]string{},
	}
}

// run sends the commands one at a time. A command that becomes due while another is in flight is sent as soon as that one ends.
func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	due := c.load.start
	for number := 0; ctx.Err() == nil; number++ {
		due = due.Add(c.interval())
		if due.Sub(c.load.start) > c.load.Duration {
			return
		}
		time.Sleep(time.Until(due))
		cmd := &command{id: fmt.Sprintf("%x-%x-%x", c.load.Seed, c.index, number), due: due, timeout: c.load.Timeout}
		cmd.session = c.random.IntN(max(1, c.load.Sessions))
		cmd.writes = c.random.Float64() < c.load.WriteFraction
		if !c.connect() {
			c.load.update(func(t *Tally) { t.Unsent++ })
			continue
		}
		c.buildStatement(cmd)
		c.send(cmd)
	}
}

// interval returns a random time between two commands. It is exponentially distributed, so that the commands of all clients
// together form a Poisson process.
func (c *client) interval() time.Duration {
	mean := float64(c.load.clientCount()) / c.load.Rate * float64(time.Second)
	return time.Duration(c.random.ExpFloat64() * mean)
}

func (c *client) connect() bool {
	if c.conn == nil {
		c.conn = dial(c.router)
	}
	return c.conn != nil
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// buildStatement sets the group and the statement of a command. Half of the reads after a session's write must see it.
func (c *client) buildStatement(cmd *command) {
	set := c.load.ReplicaSets[(c.index+cmd.session)%len(c.load.ReplicaSets)]
	key := fmt.Sprintf("s%d-%d", c.index, cmd.session)
	lastWrite := c.lastWrites[cmd.session]
	fence := ""
	switch {
	case cmd.writes:
		cmd.group = GroupWrite
		cmd.timeout *= writeTimeoutFactor
	case lastWrite != "" && c.random.IntN(2) == 0:
		cmd.group = GroupReadYourWrites
		fence = ",after=" + lastWrite
	default:
		cmd.group = GroupBoundedReads
	}
	text := fmt.Sprintf("SELECT v FROM records WHERE k = '%s'", key)
	if cmd.writes {
		text = fmt.Sprintf(`INSERT INTO records (k, v) VALUES ('%s', '\x9f03') RETURNING v`, key)
	}
	cmd.statement = fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ %s",
		cmd.id, cmd.group, cmd.timeout.Milliseconds(), set, fence, text)
}

// send sends a command and records its outcome. A connection on which an answer is missing is closed.
func (c *client) send(cmd *command) {
	sentAt := time.Now()
	c.load.update(func(t *Tally) {
		t.Sent++
		t.MaxSendDelay = max(t.MaxSendDelay, sentAt.Sub(cmd.due))
	})
	answer, err := c.conn.query(cmd.statement, sentAt.Add(cmd.timeout+answerGrace))
	answeredAt := time.Now()
	c.load.update(func(t *Tally) { c.count(t, cmd, answer, err, answeredAt) })
	if err != nil {
		c.disconnect()
		return
	}
	if cmd.writes && answer.code == "" {
		c.lastWrites[cmd.session] = answer.position
	}
}

// count adds the outcome of a command to the tally. The caller holds the tally's lock.
func (c *client) count(t *Tally, cmd *command, answer answer, err error, at time.Time) {
	switch {
	case err != nil && c.load.recentlyKilled != nil && c.load.recentlyKilled(c.router):
		t.Sent-- // the router was killed while the command was in flight
	case err != nil:
		t.Lost++
	case answer.count != 1:
		t.Extra++
	case answer.code == "":
		c.recordAnswered(t, cmd, answer, at)
	case answer.code == protocol.TooManyConnections || answer.code == protocol.CannotConnectNow:
		t.Throttled++
	default:
		t.Failed++
	}
}

func (c *client) recordAnswered(t *Tally, cmd *command, answer answer, at time.Time) {
	t.Answered++
	t.Answers[answer.host+" "+cmd.group]++
	// RecordValue fails only for values above the histogram's maximum of one minute, which is far above the timeouts.
	_ = t.Latency.RecordValue(at.Sub(cmd.due).Microseconds())
	if cmd.writes {
		t.Acked = append(t.Acked, cmd.id)
	}
	if c.load.OnAnswer != nil {
		c.load.OnAnswer(c.router, answer.host, cmd.group, at)
	}
}
