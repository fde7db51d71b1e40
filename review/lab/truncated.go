//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// Figures of the case. The slow clients read as over a link of 4 Mbit/s, with segments of the usual length.
const (
	largeRowBytes  = 900_000
	slowBytesPerS  = 500_000
	segmentBytes   = 1460
	receiveBuffer  = 4 << 10
	readDeadlineMs = 2000
	queryAfterTerm = 2250 * time.Millisecond
	removeAfter    = 300 * time.Millisecond // from the requests to the configuration without the route
)

// variantRoute of VARIANT removes a route by a configuration in place of the SIGTERM.
const variantRoute = "route"

// truncatedAnswer has clients read a large row slowly while the proxy that serves them gets SIGTERM. Each of them has to get its
// whole answer: it takes less than the time of the route, and less than GraceS.
func truncatedAnswer(s *system, trouble bool) (broken bool, err error) {
	routes := route("r-read", "catalog", "bounded_staleness", readDeadlineMs, 1500) + "," + route("r-lead", "desk", "leader", readDeadlineMs, 0)
	fronts, _, err := s.startAll(2, routes)
	if err != nil {
		return false, err
	}
	s.db.mu.Lock()
	s.db.largeRow = strings.Repeat("x", largeRowBytes)
	s.db.mu.Unlock()
	time.Sleep(contact + time.Second) // all machines are in touch
	type reader struct {
		proxy    *proc
		database string
	}
	readers := []reader{{fronts[0], "catalog"}, {fronts[0], "desk"}, {fronts[0], "catalog"}, {fronts[1], "catalog"}}
	var clients []*client
	for i, r := range readers {
		c, err := s.connect(fmt.Sprintf("c%d", i), r.proxy, r.database, dialOptions{segmentBytes: segmentBytes, receiveBuffer: receiveBuffer})
		if err != nil {
			return false, err
		}
		defer c.close()
		clients = append(clients, c)
		if a := c.query(fmt.Sprintf("first%d", i), "FETCH small", time.Second); !a.ok() {
			return false, fmt.Errorf("a first read failed: %v", a)
		}
	}
	removesRoute := os.Getenv("VARIANT") == variantRoute
	if trouble && !removesRoute {
		s.signal(fronts[0], syscall.SIGTERM)
	}
	time.Sleep(queryAfterTerm)
	results := make(chan error, len(readers))
	for i, r := range readers {
		c := clients[i]
		go func() {
			started := time.Now()
			id := fmt.Sprintf("read%d", i)
			c.send(id, "FETCH large")
			received := 0
			a := c.receive(20*time.Second, func(bytes int) {
				received += bytes
				due := started.Add(time.Duration(float64(received) / slowBytesPerS * float64(time.Second)))
				time.Sleep(time.Until(due))
			})
			took := time.Since(started).Seconds()
			s.sayf("client %s at %s gets for %s after %.2f s: %v", c.name, r.proxy.name, id, took, a)
			if a.ok() && len(a.rows) == 1 && len(a.rows[0]) == largeRowBytes {
				results <- nil
				return
			}
			results <- fmt.Errorf("LOST: client %s got %d bytes of its answer, which a host had given, and then the end of the connection", c.name, a.received)
		}()
	}
	if trouble && removesRoute {
		time.Sleep(removeAfter)
		if err := s.configure(route("r-lead", "desk", "leader", readDeadlineMs, 0), 5*time.Second); err != nil {
			return false, err
		}
	}
	for range readers {
		if lost := <-results; lost != nil {
			s.sayf("%v", lost)
			broken = true
		}
	}
	return broken, nil
}
