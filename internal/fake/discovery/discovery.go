// Package discovery is a stand-in for discovery: it holds the list of hosts and
// serves its watch over HTTP on loopback.
package discovery

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a host of the list.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Set      int64   `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// List is the list, or what changed in it.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// List is the whole list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{d.rev, true, []Entry{}}
	for _, e := range d.entries {
		list.Targets = append(list.Targets, e)
	}
	return list
}

type change struct {
	rev   int64
	entry Entry
}

// Discovery holds a list.
type Discovery struct {
	server  *http.Server
	address string
	stop    chan struct{}

	mu      sync.Mutex
	rev     int64
	entries map[string]Entry
	changes []change
	moved   chan struct{} // closed at each change
	Lines   int           // written to whoever watches
}

// New serves on a free loopback port.
func New() (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{address: l.Addr().String(), entries: map[string]Entry{}, moved: make(chan struct{}), stop: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.address }

// Stop ends it and all watches.
func (d *Discovery) Stop() {
	close(d.stop)
	d.server.Close()
}

// Set states hosts as one new version, and tells when.
func (d *Discovery) Set(entries ...Entry) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, e := range entries {
		if d.entries[e.UID] = e; e.State == "removed" {
			delete(d.entries, e.UID)
		}
		d.changes = append(d.changes, change{d.rev, e})
	}
	close(d.moved)
	d.moved = make(chan struct{})
	return time.Now()
}

// since is the list's form of what came after a version.
func (d *Discovery) since(rev int64) (line []byte, at int64, moved chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{d.rev, rev <= 0, []Entry{}}
	if list.All {
		for _, e := range d.entries {
			list.Targets = append(list.Targets, e)
		}
	} else {
		for _, c := range d.changes {
			if c.rev > rev {
				list.Targets = append(list.Targets, c.entry)
			}
		}
	}
	if list.All || len(list.Targets) > 0 {
		line, _ = json.Marshal(list)
	}
	d.Lines++
	return append(line, '\n'), d.rev, d.moved
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rev, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	flush := http.NewResponseController(w)
	for {
		line, at, moved := d.since(rev)
		if _, err := w.Write(line); err != nil || flush.Flush() != nil {
			return
		}
		if r.URL.Query().Get("follow") == "" {
			return
		}
		rev = max(at, 1)
		select {
		case <-moved:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		case <-d.stop:
			return
		}
	}
}

// Written is how many lines were written to whoever watches.
func (d *Discovery) Written() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Lines
}
