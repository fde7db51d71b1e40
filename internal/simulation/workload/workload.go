// Package workload is an open-loop load of commands over PostgreSQL's protocol:
// commands are due at moments that answers don't move, latencies count from
// those, and every command's answers are counted, so that one too many or too
// few is seen.
package workload

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferrypitch/internal/router/protocol"
)

// Terms of a load.
type Terms struct {
	Routers  []string // addresses; each client stays with one while it serves
	Sets     []int64
	Clients  int     // connections at each router
	Rate     float64 // commands a second over all
	For      time.Duration
	Writes   float64       // their part of all
	Sessions int           // of each client
	Timeout  time.Duration // the client timeout of reads; writes have three times that
	Seed     uint64

	Seen func(router, host, group string, at time.Time) // of each answer; may be nil
}

// Tally is what came of it.
type Tally struct {
	Sent, Answered, Throttled, Failed int
	Late, Lost, Extra                 int                     // answers after the client timeout; none; more than one
	Unsent                            int                     // due while the client's router was not there
	Behind                            time.Duration           // the worst lateness of the load itself
	Answers                           map[string]int          // by host and kind
	Latency                           *hdrhistogram.Histogram // microseconds, of what was answered
	Acked                             []string                // ids of writes that were answered
}

// Sum says that each command sent has one answer.
func (t *Tally) Sum() error {
	if t.Sent != t.Answered+t.Throttled+t.Failed || t.Lost+t.Extra+t.Late > 0 {
		return fmt.Errorf("%d sent: %d answered, %d throttled, %d failed, %d late, %d lost, %d twice",
			t.Sent, t.Answered, t.Throttled, t.Failed, t.Late, t.Lost, t.Extra)
	}
	return nil
}

type runner struct {
	Terms
	mu sync.Mutex
	*Tally
}

// Run loads until its time is over or the context ends. kill tells a client
// that its router is being ended on purpose: what was out there is not lost.
func Run(ctx context.Context, t Terms, killed func(router string) bool) *Tally {
	r := &runner{Terms: t, Tally: &Tally{Answers: map[string]int{}, Latency: hdrhistogram.New(1, 60_000_000, 3)}}
	var tasks sync.WaitGroup
	n := len(t.Routers) * t.Clients
	from := time.Now()
	for i := range n {
		tasks.Go(func() { r.client(ctx, i, n, from, killed) })
	}
	tasks.Wait()
	return r.Tally
}

// client sends one command at a time; what is due meanwhile is sent as soon as that one ends.
func (r *runner) client(ctx context.Context, i, n int, from time.Time, killed func(string) bool) {
	router := r.Routers[i%len(r.Routers)]
	chance := rand.New(rand.NewPCG(r.Seed, uint64(i)))
	wrote := map[int]string{} // by session: the position of its last write
	var conn net.Conn
	var in *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	due := from
	for k := 0; ctx.Err() == nil; k++ {
		due = due.Add(time.Duration(chance.ExpFloat64() * float64(n) / r.Rate * float64(time.Second)))
		if due.Sub(from) > r.For {
			return
		}
		time.Sleep(time.Until(due))
		session := chance.IntN(max(1, r.Sessions))
		writes, timeout := chance.Float64() < r.Writes, r.Timeout
		if writes {
			timeout *= 3
		}
		if conn == nil {
			conn, in = dial(router)
			if conn == nil {
				r.add(func() { r.Unsent++ })
				continue
			}
		}
		id := fmt.Sprintf("%x-%x-%x", r.Seed, i, k)
		set := r.Sets[(i+session)%len(r.Sets)]
		group, statement := "order", ""
		key := fmt.Sprintf("s%d-%d", i, session)
		switch {
		case writes:
			statement = fmt.Sprintf(`/* id=%s,c=order,d=%d,cluster=%d */ INSERT INTO records (k, v) VALUES ('%s', '\x9f03') RETURNING v`,
				id, timeout.Milliseconds(), set, key)
		case wrote[session] != "" && chance.IntN(2) == 0:
			group = "own"
			statement = fmt.Sprintf(`/* id=%s,c=own,d=%d,cluster=%d,after=%s */ SELECT v FROM records WHERE k = '%s'`,
				id, timeout.Milliseconds(), set, wrote[session], key)
		default:
			group = "list"
			statement = fmt.Sprintf(`/* id=%s,c=list,d=%d,cluster=%d */ SELECT v FROM records WHERE k = '%s'`, id, timeout.Milliseconds(), set, key)
		}
		at := time.Now()
		r.add(func() { r.Sent++; r.Behind = max(r.Behind, at.Sub(due)) })
		conn.SetDeadline(at.Add(timeout + 50*time.Millisecond))
		_, err := conn.Write(protocol.AppendQuery(nil, []byte(statement)))
		var a answer
		if err == nil {
			a, err = read(in)
		}
		now := time.Now()
		r.add(func() {
			switch {
			case err != nil && killed != nil && killed(router):
				r.Sent-- // its router was ended with the command in it
			case err != nil:
				r.Lost++
			case a.finals != 1:
				r.Extra++
			case a.code == "":
				r.Answered++
				r.Answers[a.host+" "+group]++
				if r.Seen != nil {
					r.Seen(router, a.host, group, now)
				}
				r.Latency.RecordValue(now.Sub(due).Microseconds())
				if writes {
					r.Acked = append(r.Acked, id)
				}
			case a.code == protocol.TooMany || a.code == protocol.NotNow:
				r.Throttled++
			default:
				r.Failed++
			}
		})
		if err != nil {
			conn.Close()
			conn = nil
			continue
		}
		if writes && a.code == "" {
			wrote[session] = a.position
		}
	}
}

func (r *runner) add(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

func dial(router string) (net.Conn, *bufio.Reader) {
	conn, err := net.DialTimeout("tcp", router, time.Second)
	if err != nil {
		return nil, nil
	}
	in := bufio.NewReader(conn)
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write(protocol.AppendStartup(nil, "svc", "main")); err == nil {
		if _, err = read(in); err == nil {
			return conn, in
		}
	}
	conn.Close()
	return nil, nil
}

type answer struct {
	code, host, position string
	finals               int
}

// read reads up to the next ReadyForQuery.
func read(in *bufio.Reader) (a answer, err error) {
	for {
		var head [5]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return a, err
		}
		n := binary.BigEndian.Uint32(head[1:])
		if n < 4 || n > 1<<20 {
			return a, protocol.ErrLength
		}
		body := make([]byte, n-4)
		if _, err := io.ReadFull(in, body); err != nil {
			return a, err
		}
		switch head[0] {
		case protocol.DataRow:
			value, _ := protocol.Value(body)
			if parts := strings.Fields(string(value)); len(parts) > 0 {
				if a.host = parts[0]; len(parts) == 3 {
					a.position = parts[2] // of a write's commit, as stand-in hosts tell it
				}
			}
		case protocol.CommandComplete:
			a.finals++
		case protocol.ErrorResponse:
			a.code = protocol.Code(body)
			a.finals++
		case protocol.Ready:
			return a, nil
		}
	}
}
