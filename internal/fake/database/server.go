package database

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"ferrypitch/internal/wire"
)

// RealTimeScheduler is a Stage in real time: what is due runs under one lock.
type RealTimeScheduler struct {
	sync.Mutex
	chance *rand.Rand
	over   bool
}

// NewRealTimeScheduler draws chance from a seed.
func NewRealTimeScheduler(seed uint64) *RealTimeScheduler {
	return &RealTimeScheduler{chance: rand.New(rand.NewPCG(seed, 1))}
}

// After has something done after a span, under the lock.
func (c *RealTimeScheduler) After(after int64, do func()) {
	time.AfterFunc(time.Duration(after)*100*time.Microsecond, func() {
		c.Lock()
		defer c.Unlock()
		if !c.over {
			do()
		}
	})
}

// Between draws from a to b.
func (c *RealTimeScheduler) Between(a, b int64) int64 { return a + c.chance.Int64N(b-a+1) }

// OneIn says yes once in n.
func (c *RealTimeScheduler) OneIn(n int) bool { return c.chance.IntN(n) == 0 }

// End has nothing more run.
func (c *RealTimeScheduler) End() {
	c.Lock()
	defer c.Unlock()
	c.over = true
}

// Server is a service's hosts on sockets, with their beats, and the platform that promotes them.
type Server struct {
	*Group
	work     *RealTimeScheduler
	service  string
	control  []string // addresses of the control plane's calls
	platform http.Server
	ctx      context.Context
	tasks    sync.WaitGroup
	seq      int64
	address  map[string]string
	Promoted int
}

// Serve starts hosts at addresses, ids in their order, and the platform at its own. It lives until ctx ends.
func Serve(ctx context.Context, work *RealTimeScheduler, service string, hosts []string, platform string, control []string) (*Server, error) {
	s := &Server{work: work, service: service, control: control, ctx: ctx, address: map[string]string{}}
	work.Lock()
	defer work.Unlock()
	s.Group = &Group{Scheduler: work, Note: func(string, ...any) {}, Told: s.beat}
	for i, address := range hosts {
		id := fmt.Sprintf("h%d", i)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		s.address[id] = address
		h := s.Add(id)
		context.AfterFunc(ctx, func() { l.Close() })
		s.tasks.Go(func() { s.accept(l, h) })
	}
	l, err := net.Listen("tcp", platform)
	if err != nil {
		return nil, err
	}
	s.platform.Handler = http.HandlerFunc(s.promotion)
	context.AfterFunc(ctx, func() { s.platform.Close() })
	s.tasks.Go(func() { s.platform.Serve(l) })
	return s, nil
}

// Wait waits for its goroutines, once the context has ended.
func (s *Server) Wait() { s.tasks.Wait() }

func (s *Server) promotion(w http.ResponseWriter, r *http.Request) {
	var p struct{ Service, Id string }
	if r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&p) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.work.Lock()
	defer s.work.Unlock()
	h := s.Host(p.Id)
	if h == nil || !h.Up {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.After(150*Ms, func() { h.Promote(); s.Promoted++ })
}

// beat tells the control plane of a host, whichever member takes it.
func (s *Server) beat(h *Host) {
	s.seq++
	role := "follower"
	if h.Leader {
		role = "leader"
	}
	body, _ := json.Marshal(map[string]any{"Service": s.service, "Address": s.address[h.ID], "Zone": "z", "Generation": "v1", "Capacity": 8,
		"State": "serving", "ColdLeftMs": 0, "DbRole": role, "CallSeq": s.seq})
	s.tasks.Go(func() {
		client := http.Client{Timeout: time.Second}
		for _, c := range s.control {
			r, _ := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+c+"/Instances.Heartbeat/"+h.ID, bytes.NewReader(body))
			a, err := client.Do(r)
			if err != nil {
				continue
			}
			a.Body.Close()
			if a.StatusCode < 300 {
				return
			}
		}
	})
}

func (s *Server) accept(l net.Listener, h *Host) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		stop := context.AfterFunc(s.ctx, func() { c.Close() })
		s.tasks.Go(func() {
			defer stop()
			defer c.Close()
			s.serve(c, h)
		})
	}
}

// serve is one connection: CONNECT, then statements.
func (s *Server) serve(conn net.Conn, h *Host) {
	var in []byte
	var c *Conn
	defer func() {
		s.work.Lock()
		defer s.work.Unlock()
		if c != nil {
			c.Close()
		}
	}()
	for {
		line, n, err := wire.CutLine(in, 0)
		if err != nil {
			return
		}
		if n == 0 {
			var b [2048]byte
			k, err := conn.Read(b[:])
			if k == 0 && err != nil {
				return
			}
			in = append(in, b[:k]...)
			continue
		}
		s.work.Lock()
		if !h.Up {
			s.work.Unlock()
			return
		}
		f := strings.SplitN(string(line), " ", 4)
		switch {
		case c == nil && (f[0] != "CONNECT" || len(f) < 3 || f[1] != s.service || len(f) == 4 && f[3] != h.ID):
			conn.Write(wire.AppendError(nil, wire.CodeWrongNode, h.ID))
			s.work.Unlock()
			return
		case c == nil:
			c = h.Connect()
			c.Broke = func() { conn.Close() }
			c.Answer = func(after int64, a wire.Response) {
				out := wire.AppendIdle(a.Lines, a.State, a.Position)
				s.After(after, func() {
					conn.SetWriteDeadline(time.Now().Add(time.Second))
					conn.Write(out)
				})
			}
			conn.Write(wire.AppendIdle(nil, 'I', h.At(h.Seen())))
		default:
			word, rest, _ := strings.Cut(string(line), " ")
			id, text, _ := strings.Cut(rest, " ")
			if word == "QUERY" && h.Conns[c] {
				c.Query(id, text)
			}
		}
		s.work.Unlock()
		in = in[n:]
	}
}
