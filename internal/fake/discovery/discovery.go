// Package discovery simulates the service discovery that provides routers with the list of database hosts. It serves the list
// and its changes over HTTP on loopback. A client either gets the list once or follows it: the response to
// GET ?since=REV&follow=1 is a stream with lines of JSON for the changes after REV, and empty lines as heartbeats.
package discovery

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the longest time between two lines sent to a client that follows the list.
const heartbeatInterval = 2 * time.Second

// stateRemoved is the state of a host that is removed from the list.
const stateRemoved = "removed"

// Entry is the entry of a host in the list.
type Entry struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`  // HOST:PORT
	Set      int64  `json:"pod_group"` // the replica set
	State    string `json:"state"`     // up, draining or removed
	// Size is the capacity relative to other hosts.
	Size float64 `json:"capacity_hint"`
	// BootedAtMs is the Unix time of the last start in milliseconds, or 0 if it is unknown.
	BootedAtMs int64 `json:"boot_ms"`
}

// List is the full list of hosts at a revision, or the changes up to that revision.
type List struct {
	Revision int64 `json:"rev"`
	// IsFull says that Targets is the full list instead of changes.
	IsFull  bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// change is an entry that was set in a revision.
type change struct {
	revision int64
	entry    Entry
}

// Discovery is the service. It is safe for concurrent use.
type Discovery struct {
	server  *http.Server
	address string
	stopped chan struct{} // closed by Stop

	mu           sync.Mutex // protects the fields below
	revision     int64
	entries      map[string]Entry // by UID
	changes      []change
	changed      chan struct{} // closed and replaced at each revision
	linesWritten int
}

// New starts the service with an empty list on a free loopback port.
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

// Address returns the listen address of the service.
func (d *Discovery) Address() string { return d.address }

// Stop stops the service and closes its connections. It must be called only once.
func (d *Discovery) Stop() {
	close(d.stopped)
	d.server.Close()
}

// Update sets entries in one new revision, and returns the time of the update. An entry in state removed is deleted from the
// list.
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

// LinesWritten returns the number of lines sent to clients, including heartbeats.
func (d *Discovery) LinesWritten() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.linesWritten
}

// list returns the full list. The caller holds the lock.
func (d *Discovery) list() List {
	list := List{Revision: d.revision, IsFull: true, Targets: []Entry{}}
	for _, entry := range d.entries {
		list.Targets = append(list.Targets, entry)
	}
	return list
}

// changesSince returns the changes after a revision. The caller holds the lock.
func (d *Discovery) changesSince(revision int64) List {
	list := List{Revision: d.revision, Targets: []Entry{}}
	for _, change := range d.changes {
		if change.revision > revision {
			list.Targets = append(list.Targets, change.entry)
		}
	}
	return list
}

// nextLine returns the next line for a client that has the list as of revision since: the changes after it, or an empty line if
// there are none. If since is 0, the client has no list and gets the full one. nextLine also returns the revision that the client
// has after this line, and a channel that is closed at the next revision.
func (d *Discovery) nextLine(since int64) (line []byte, revision int64, changed <-chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.changesSince(since)
	if since <= 0 {
		list = d.list()
	}
	if list.IsFull || len(list.Targets) > 0 {
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
	since, _ := strconv.ParseInt(query.Get("since"), 10, 64) // 0, which selects the full list, if missing or malformed
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
