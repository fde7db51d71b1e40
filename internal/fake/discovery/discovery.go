// Package discovery simulates the service by which routers learn of database hosts: it holds the list of hosts, and serves
// the list and its changes over HTTP on loopback. A client gets the list once, or follows it: GET ?since=REV&follow=1
// answers with one line of JSON for each revision after REV, and with an empty line as a heartbeat.
package discovery

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the longest time between two lines to a client that follows.
const heartbeatInterval = 2 * time.Second

// stateRemoved is the state of a host that leaves the list.
const stateRemoved = "removed"

// Entry is a host of the list.
type Entry struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`  // HOST:PORT
	Set      int64  `json:"pod_group"` // the replica set
	State    string `json:"state"`     // up, draining or removed
	// Size is the capacity in relation to other hosts.
	Size float64 `json:"capacity_hint"`
	// Boot is the Unix time of the last start in milliseconds; 0: unknown.
	Boot int64 `json:"boot_ms"`
}

// List is the list at a revision, or what changed up to there.
type List struct {
	Rev int64 `json:"rev"`
	// All says that the targets are the full list and not changes.
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// change is an entry that a revision set.
type change struct {
	revision int64
	entry    Entry
}

// Discovery is the service. Its methods may be called by any goroutine.
type Discovery struct {
	server  *http.Server
	address string
	stopped chan struct{} // closed by Stop

	mu           sync.Mutex // protects what follows
	revision     int64
	entries      map[string]Entry // by UID
	changes      []change
	changed      chan struct{} // closed and replaced at each revision
	linesWritten int
}

// New starts the service, with an empty list, on a free loopback port.
func New() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		address: listener.Addr().String(),
		stopped: make(chan struct{}),
		entries: map[string]Entry{},
		changed: make(chan struct{}),
	}
	d.server = &http.Server{Handler: d}
	go func() {
		_ = d.server.Serve(listener) // always an error, here that of Stop's Close
	}()
	return d, nil
}

// Address is where the service listens.
func (d *Discovery) Address() string { return d.address }

// Stop ends the service and the connections of its clients. It is called once.
func (d *Discovery) Stop() {
	close(d.stopped)
	d.server.Close()
}

// Update changes entries in one new revision, and returns the time of it. An entry in state removed leaves the list.
func (d *Discovery) Update(entries ...Entry) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, entry := range entries {
		if entry.State == stateRemoved {
			delete(d.entries, entry.UID)
		} else {
			d.entries[entry.UID] = entry
		}
		d.changes = append(d.changes, change{d.revision, entry})
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return time.Now()
}

// List returns the full list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

// LinesWritten returns how many lines clients were sent, heartbeats included.
func (d *Discovery) LinesWritten() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.linesWritten
}

// list is the full list; d is locked.
func (d *Discovery) list() List {
	list := List{Rev: d.revision, All: true, Targets: []Entry{}}
	for _, entry := range d.entries {
		list.Targets = append(list.Targets, entry)
	}
	return list
}

// changesSince is the changes after a revision; d is locked.
func (d *Discovery) changesSince(revision int64) List {
	list := List{Rev: d.revision, Targets: []Entry{}}
	for _, change := range d.changes {
		if change.revision > revision {
			list.Targets = append(list.Targets, change.entry)
		}
	}
	return list
}

// nextLine returns what a client is sent that has the list as of a revision (0: not at all): the full list, the changes, or
// an empty line. It also returns the revision that the client has then, and a channel that the next one closes.
func (d *Discovery) nextLine(since int64) (line []byte, revision int64, changed <-chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.changesSince(since)
	if since <= 0 {
		list = d.list()
	}
	if list.All || len(list.Targets) > 0 {
		if line, err = json.Marshal(list); err != nil {
			return nil, 0, nil, err
		}
	}
	d.linesWritten++
	return append(line, '\n'), d.revision, d.changed, nil
}

// ServeHTTP answers a request for the list.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("since"), 10, 64) // 0, and so the full list, if it is missing or no number
	controller := http.NewResponseController(w)
	for {
		line, revision, changed, err := d.nextLine(since)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(line); err != nil || controller.Flush() != nil {
			return
		}
		if query.Get("follow") == "" {
			return
		}
		since = max(revision, 1)
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		case <-r.Context().Done():
			return
		case <-d.stopped:
			return
		}
	}
}
