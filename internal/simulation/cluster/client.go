package cluster

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/wire"
)

var (
	kinds      = []string{"leader", "bounded", "owned"}
	statements = []string{"read", "write", "transaction"}
)

// client is one session after another of one kind, until ctx ends.
func (s *system) client(ctx context.Context, router, i int) {
	chance := rand.New(rand.NewPCG(s.Seed, uint64(router*1000+i)))
	for life := 0; ctx.Err() == nil; life++ {
		c := &session{s: s, kind: kinds[i%3], name: fmt.Sprintf("r%dc%dl%d", router, i, life), chance: chance}
		if c.open(ctx, s.address(2, router, front)) {
			for ctx.Err() == nil && c.operation() {
				select {
				case <-ctx.Done():
				case <-time.After(time.Duration(chance.IntN(20)) * time.Millisecond):
				}
			}
			c.conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

type session struct {
	s          *system
	kind, name string
	chance     *rand.Rand
	conn       net.Conn
	in         *bufio.Reader
	n          int
	began      time.Time // its operation
}

func (c *session) open(ctx context.Context, to string) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", to)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", c.kind, c.name)
	if a, ok := c.answer(); !ok || a.Code != "" {
		conn.Close()
		return false
	}
	a, ok := c.ask("SET who "+c.name, 0)
	return ok && a.Code == ""
}

// answer reads one; ok false where the connection ended.
func (c *session) answer() (a wire.Response, ok bool) {
	c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		raw, err := c.in.ReadBytes('\n')
		if err != nil {
			return a, false
		}
		line, _, err := wire.CutLine(raw, 0)
		if err != nil {
			c.s.broke("%s is sent what is no line: %q", c.name, raw)
			return a, false
		}
		whole, err := a.AddLine(line, raw)
		if err != nil {
			c.s.broke("%s is sent %q: %v", c.name, line, err)
			return a, false
		}
		if whole {
			return a, true
		}
	}
}

// ask sends a statement; first is when its transaction began, 0: with it.
func (c *session) ask(text string, first int64) (wire.Response, bool) {
	c.n++
	id := fmt.Sprintf("%s.%d", c.name, c.n)
	if first == 0 {
		first = c.s.now()
	}
	c.s.mu.Lock()
	c.s.ids[id] = checker.Reader{Kind: c.kind, Session: c.name, First: first}
	c.s.mu.Unlock()
	if _, err := c.conn.Write(wire.AppendQuery(nil, id, text)); err != nil {
		return wire.Response{}, false
	}
	a, ok := c.answer()
	if ok && a.Code == "" && a.Stamp && !slices.Contains([]string{"DONE x." + id + "\r\n"}, lastLine(a.Lines)) {
		c.s.broke("MIXED: %s is answered %q", id, a.Lines)
	}
	return a, ok
}

func lastLine(b []byte) string {
	i := len(b) - 2
	for i > 0 && b[i-1] != '\n' {
		i--
	}
	return string(b[max(i, 0):])
}

// told takes in how a write ended.
func (c *session) told(data []string, code wire.Code) {
	c.s.work.Lock()
	c.s.judge.ReportAnswer(c.name, data, code, c.s.now())
	c.s.work.Unlock()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if code == "" && len(data) > 0 && !c.s.crash.IsZero() && c.began.After(c.s.crash) && c.s.result.Gap == 0 {
		c.s.result.Gap = time.Since(c.s.crash)
	}
}

func (c *session) try(data string) {
	c.s.work.Lock()
	defer c.s.work.Unlock()
	c.s.judge.ReportAttempt(data)
}

// operation is a read, a write or a transaction; false ends the session.
func (c *session) operation() bool {
	c.began = time.Now()
	switch n := c.chance.IntN(10); {
	case n < 5:
		a, ok := c.ask(fmt.Sprintf("FETCH t%d", c.chance.IntN(50)), 0)
		return c.count("read", a.Code, ok)
	case n < 8 && c.kind != "bounded":
		data := fmt.Sprintf("%s-%d", c.name, c.n)
		c.try(data)
		a, ok := c.ask("STORE t1 "+data, 0)
		if ok {
			c.told([]string{data}, a.Code)
		}
		return c.count("write", a.Code, ok)
	}
	return c.transaction()
}

func (c *session) transaction() bool {
	begin, first := "BEGIN", c.s.now()
	if c.kind == "bounded" {
		begin = "BEGIN FETCH"
	}
	a, ok := c.ask(begin, first)
	if !ok || a.Code != "" {
		return c.count("transaction", a.Code, ok)
	}
	var wrote []string
	for i := range 2 + c.chance.IntN(3) {
		text := fmt.Sprintf("FETCH t%d", c.chance.IntN(50))
		if i%2 == 1 && c.kind != "bounded" {
			data := fmt.Sprintf("%s-%d", c.name, c.n)
			c.try(data)
			wrote = append(wrote, data)
			text = "STORE t2 " + data
		}
		if a, ok = c.ask(text, first); !ok {
			return c.count("transaction", "", false)
		}
		if a.Code != "" {
			if a.Code.NothingKept() {
				c.s.work.Lock()
				c.s.judge.ReportNothingKept(wrote)
				c.s.work.Unlock()
			}
			c.count("transaction", a.Code, true)
			if a.State == 'E' {
				a, ok = c.ask("ABORT", first)
			}
			return ok && a.State == 'I'
		}
	}
	if a, ok = c.ask("COMMIT", first); ok {
		c.told(wrote, a.Code)
	}
	return c.count("transaction", a.Code, ok)
}

// count books an outcome; false where the session has ended.
func (c *session) count(statement string, code wire.Code, ok bool) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	key := [2]string{c.kind, statement}
	row := c.s.rows[key]
	if row == nil {
		row = &Row{Kind: c.kind, Statement: statement}
		c.s.rows[key] = row
	}
	switch {
	case !ok:
		row.Failed++
	case code == "":
		row.Answered++
	case code.NothingKept():
		row.Promised++
	case code == wire.CodeInDoubt:
		row.InDoubt++
	default:
		row.Failed++
	}
	return ok
}
