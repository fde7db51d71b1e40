//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the stand-in for a database service, those of the small site brazos-capture where it has them.
const (
	shipDelay    = time.Millisecond       // until a replica has received a commit
	applyLag     = 8 * time.Millisecond   // until a replica shows it
	workTime     = 8 * time.Millisecond   // of a read, a write or a commit
	promoteDelay = 300 * time.Millisecond // from the call to the platform until the named host leads
	stepDownLag  = time.Second            // after which a former primary within reach of the new one goes down by itself
)

// entry is a commit in a log.
type entry struct {
	term   uint64
	writes []string // ids of the statements that wrote
}

// service is a replicated database service of three hosts.
type service struct {
	*system
	mu         sync.Mutex
	hosts      []*host
	ended      bool
	platform   *http.Server
	slowCall   time.Duration // the next promotion that the platform is asked for takes so long
	promotions int
	largeRow   string                                            // row of a FETCH of the thing "large"
	onRun      func(h *host, id string, state byte, from string) // called under the lock when a statement of a client arrives
}

// host is one database host. The service's lock guards it.
type host struct {
	*service
	id, ip, zone string
	up           bool
	leader       bool
	term         uint64
	log          []entry
	applied      int
	paused       uint64
	deaf         bool // receives nothing from the primary
	draining     bool
	beatsFrom    time.Time // no beat is sent before
	listener     net.Listener
	conns        map[*hostConn]bool
	pending      []*pendingCommit
	seq          int
	drainAckedAt time.Time // when a member acknowledged that it is draining
	stepDownAt   time.Time
	cut          bool // cut off from the control plane, in silence
}

type pendingCommit struct {
	index int
	done  chan bool // true: a replica has received it
}

type hostConn struct {
	net.Conn
	host     *host
	state    byte
	readOnly bool
	writes   []string
	prepared map[string]string
}

func newService(s *system, hosts int) (*service, error) {
	db := &service{system: s}
	for i := range hosts {
		h := db.newHost(i)
		h.leader = i == 0
		db.hosts = append(db.hosts, h)
		if err := db.boot(h); err != nil {
			return nil, err
		}
		go h.sendBeats()
	}
	go db.replicate()
	return db, db.startPlatform()
}

func newHostID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

func (db *service) stop() {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.ended = true
	for _, h := range db.hosts {
		h.closeAll()
	}
	if db.platform != nil {
		db.platform.Close()
	}
}

// boot starts a host's process. The caller holds the lock, or nobody else knows the host yet.
func (db *service) boot(h *host) (err error) {
	if h.listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", h.ip, databasePort)); err != nil {
		return err
	}
	h.up, h.paused = true, 0
	for _, other := range db.hosts {
		if other.term > h.term && h.leader {
			h.leader = false
		}
	}
	db.logf("host %s starts, leader %v, position %s", h.id, h.leader, h.position(len(h.log)))
	go h.accept(h.listener)
	return nil
}

// join starts another replica at an address of its own.
func (db *service) join() error {
	db.mu.Lock()
	defer db.mu.Unlock()
	h := db.newHost(len(db.hosts))
	db.hosts = append(db.hosts, h)
	if err := db.boot(h); err != nil {
		return err
	}
	go h.sendBeats()
	return nil
}

func (db *service) newHost(i int) *host {
	return &host{
		service: db, id: newHostID(), ip: db.ip(firstHost + i), zone: zone(i), term: 1, log: []entry{{term: 1}}, applied: 1,
		conns: map[*hostConn]bool{},
	}
}

// crash ends a host's process: its port refuses, its connections end, its log stays.
func (db *service) crash(h *host) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.logf("host %s crashes, leader %v, position %s", h.id, h.leader, h.position(len(h.log)))
	h.up = false
	h.closeAll()
}

func (h *host) closeAll() {
	if h.listener != nil {
		h.listener.Close()
	}
	for conn := range h.conns {
		conn.Close()
	}
	for _, p := range h.pending {
		close(p.done)
	}
	h.pending = nil
}

// replace starts a new host at the address of one that has crashed. It takes over the log. Its first beat follows after beatAfter.
func (db *service) replace(h *host, beatAfter time.Duration) error {
	db.mu.Lock()
	defer db.mu.Unlock()
	h.id, h.seq = newHostID(), 0
	h.beatsFrom = time.Now().Add(beatAfter)
	time.AfterFunc(beatAfter, h.beatOnce)
	return db.boot(h)
}

// set changes or reads the service under its lock.
func (db *service) set(change func()) {
	db.mu.Lock()
	defer db.mu.Unlock()
	change()
}

// primary returns the leading host of the highest term, or nil.
func (db *service) primary() (primary *host) {
	for _, h := range db.hosts {
		if h.up && h.leader && (primary == nil || h.term > primary.term) {
			primary = h
		}
	}
	return primary
}

func (h *host) position(count int) string {
	if count == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", h.log[count-1].term, count)
}

func (h *host) visible() int {
	if h.leader {
		return len(h.log)
	}
	return h.applied
}

// replicate ships the primary's log to the replicas.
func (db *service) replicate() {
	for {
		time.Sleep(shipDelay)
		db.mu.Lock()
		if db.ended {
			db.mu.Unlock()
			return
		}
		primary := db.primary()
		for _, h := range db.hosts {
			if primary != nil && h != primary {
				h.follow(primary)
			}
		}
		db.mu.Unlock()
	}
}

// follow has a replica receive what its primary has. A former primary within reach becomes a replica.
func (h *host) follow(primary *host) {
	if !h.up || h.deaf {
		return
	}
	if h.leader {
		if h.stepDownAt.IsZero() {
			h.stepDownAt = time.Now().Add(stepDownLag)
		}
		if time.Now().After(h.stepDownAt) {
			h.stepDown(primary.term)
		}
		return
	}
	if h.paused > 0 && primary.term < h.paused || primary.term < h.term {
		return
	}
	h.paused, h.term = 0, primary.term
	common := min(len(h.log), len(primary.log))
	for common > 0 && h.log[common-1].term != primary.log[common-1].term {
		common--
	}
	if common < len(h.log) {
		h.logf("host %s is cut back from %s to %s", h.id, h.position(len(h.log)), h.position(common))
		h.log = h.log[:common]
		h.applied = min(h.applied, common)
	}
	if len(primary.log) > common {
		h.log = append(h.log, primary.log[common:]...)
		received := len(h.log)
		time.AfterFunc(applyLag, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.applied = max(h.applied, min(received, len(h.log)))
		})
	}
	var rest []*pendingCommit
	for _, p := range primary.pending {
		if p.index <= len(h.log) {
			p.done <- true
			close(p.done)
		} else {
			rest = append(rest, p)
		}
	}
	primary.pending = rest
}

func (h *host) stepDown(term uint64) {
	h.logf("host %s is no longer the primary, term %d", h.id, term)
	h.leader, h.stepDownAt, h.applied = false, time.Time{}, len(h.log)
	for _, p := range h.pending {
		close(p.done)
	}
	h.pending = nil
	go h.beatOnce()
}

func (h *host) promote() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up || h.leader {
		return
	}
	term := h.term
	for _, other := range h.hosts {
		term = max(term, other.term)
	}
	h.leader, h.term, h.paused = true, term+1, 0
	h.promotions++
	h.logf("host %s leads term %d from %s on", h.id, h.term, h.position(len(h.log)))
	go h.beatOnce()
}

// commit appends a commit to a primary's log and waits until a replica has received it.
func (h *host) commit(writes []string) (index int, acked bool) {
	h.mu.Lock()
	if !h.up || !h.leader {
		h.mu.Unlock()
		return 0, false
	}
	h.log = append(h.log, entry{h.term, writes})
	p := &pendingCommit{index: len(h.log), done: make(chan bool, 1)}
	h.pending = append(h.pending, p)
	h.mu.Unlock()
	return p.index, <-p.done
}

// Beats.

func (h *host) sendBeats() {
	for {
		h.beatOnce()
		time.Sleep(beat + time.Duration(rand.Intn(100)-50)*time.Millisecond)
		h.mu.Lock()
		ended := h.ended
		h.mu.Unlock()
		if ended {
			return
		}
	}
}

func (h *host) beatOnce() {
	h.mu.Lock()
	if !h.up || h.ended || h.cut || time.Now().Before(h.beatsFrom) {
		h.mu.Unlock()
		return
	}
	h.seq++
	state, role := "serving", "follower"
	if h.draining {
		state = "draining"
	}
	if h.leader {
		role = "leader"
	}
	body, _ := json.Marshal(map[string]any{
		"Service": serviceName, "Address": fmt.Sprintf("%s:%d", h.ip, databasePort), "Zone": h.zone,
		"Generation": "v1", "Capacity": 5, "State": state, "ColdLeftMs": 0, "DbRole": role, "CallSeq": h.seq,
	})
	h.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	for _, address := range h.controlAddresses() {
		response, err := client.Post("http://"+address+"/Instances.Heartbeat/"+h.id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			h.mu.Lock()
			if state == "draining" && h.drainAckedAt.IsZero() {
				h.drainAckedAt = time.Now()
				h.logf("a member acknowledges that host %s is draining", h.id)
			}
			h.mu.Unlock()
			return
		}
	}
}

// The platform.

func (db *service) startPlatform() error {
	listener, err := net.Listen("tcp", db.address(platformIP, platformPort))
	if err != nil {
		return err
	}
	db.platform = &http.Server{Handler: http.HandlerFunc(db.handlePromotion)}
	go func() { _ = db.platform.Serve(listener) }()
	return nil
}

func (db *service) handlePromotion(w http.ResponseWriter, r *http.Request) {
	var call struct{ Service, Id string }
	if r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	db.logf("platform: promotion of %s by %s with fence %s", call.Id, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fence-Token"))
	slow := db.slowCall
	if db.slowCall = 0; slow > 0 {
		db.logf("platform: this call takes %v", slow)
		db.mu.Unlock()
		time.Sleep(slow)
		db.mu.Lock()
		db.logf("platform: the promotion of %s, which took %v, is carried out", call.Id, slow)
	}
	for _, h := range db.hosts {
		if h.id == call.Id && h.up {
			if !h.leader {
				time.AfterFunc(promoteDelay, h.promote)
			}
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// The wire.

func (h *host) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go h.serve(&hostConn{Conn: socket, host: h, state: 'I', prepared: map[string]string{}})
	}
}

func (h *host) serve(c *hostConn) {
	defer c.Close()
	reader := bufio.NewReaderSize(c, 4096)
	line, err := reader.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != serviceName || len(fields) > 3 && fields[3] != h.id {
		h.logf("host %s answers WRONGNODE to %q from %s", h.id, strings.TrimSpace(line), hostOf(c.RemoteAddr()))
		fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", h.id)
		return
	}
	h.mu.Lock()
	if !h.up {
		h.mu.Unlock()
		return
	}
	h.conns[c] = true
	position := h.position(h.visible())
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	fmt.Fprintf(c, "IDLE I %s\r\n", position)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		lines, ok := c.run(id, text)
		if !ok {
			return
		}
		h.mu.Lock()
		position := h.position(h.visible())
		h.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%sIDLE %c %s\r\n", lines, c.state, position); err != nil {
			return
		}
	}
}

const doneNoStamp = "DONE -\r\n"

func (c *hostConn) fail(code string) (string, bool) {
	if c.state == 'T' {
		c.state = 'E'
	}
	return "ERROR " + code + " " + c.host.id + "\r\n", true
}

func (c *hostConn) stamp(id string) string { return "DONE x." + id + "\r\n" }

// run runs one statement. It returns the lines of the answer without IDLE; ok is false if the connection breaks off.
func (c *hostConn) run(id, text string) (lines string, ok bool) {
	h := c.host
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "STAT", "PAUSE", "RESUME", "STEPDOWN":
		h.awaitUncut()
		return h.control(word, rest), true
	case "FENCE":
		fence, statement, _ := strings.Cut(rest, " ")
		h.mu.Lock()
		reached := !before(h.position(h.visible()), fence)
		h.mu.Unlock()
		if !reached {
			return c.fail("LAGGING")
		}
		word, rest, _ = strings.Cut(statement, " ")
	}
	if c.state == 'E' && word != "ABORT" && word != "COMMIT" {
		return c.fail("MALFORMED")
	}
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		prepared, known := c.prepared[name]
		if !known {
			return c.fail("UNKNOWN")
		}
		word, _, _ = strings.Cut(prepared, " ")
		rest = arguments
	}
	h.mu.Lock()
	leader := h.leader
	h.mu.Unlock()
	if c.state == 'T' && !c.readOnly && !leader && word != "ABORT" && !(word == "COMMIT" && len(c.writes) == 0) {
		return c.fail("READONLY")
	}
	switch word {
	case "SET":
		return doneNoStamp, true
	case "RESET":
		c.prepared = map[string]string{}
		return doneNoStamp, true
	case "PREPARE":
		name, prepared, _ := strings.Cut(rest, " ")
		c.prepared[name] = prepared
		return doneNoStamp, true
	case "CLOSE":
		delete(c.prepared, rest)
		return doneNoStamp, true
	case "BEGIN":
		if rest != "FETCH" && !leader {
			return c.fail("READONLY")
		}
		c.arrived(id, text)
		c.state, c.readOnly, c.writes = 'T', rest == "FETCH", nil
		return doneNoStamp, true
	case "ABORT":
		c.state, c.writes = 'I', nil
		return doneNoStamp, true
	case "FETCH":
		c.arrived(id, text)
		time.Sleep(workTime)
		row := "row of " + rest
		if rest == "large" {
			row = h.largeRow
		}
		return "ROW " + row + "\r\n" + c.stamp(id), true
	case "STORE":
		if !leader {
			return c.fail("READONLY")
		}
		c.arrived(id, text)
		time.Sleep(workTime)
		if c.state == 'T' {
			c.writes = append(c.writes, id)
			return c.stamp(id), true
		}
		return c.commit(id, []string{id})
	case "COMMIT":
		writes, failed := c.writes, c.state == 'E'
		c.state, c.writes = 'I', nil
		if failed {
			return c.fail("ABORTED")
		}
		time.Sleep(workTime)
		if len(writes) == 0 {
			return c.stamp(id), true
		}
		return c.commit(id, writes)
	}
	return c.fail("MALFORMED")
}

// arrived records that a statement of a client has reached the host.
func (c *hostConn) arrived(id, text string) {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	late := ""
	if !h.drainAckedAt.IsZero() {
		late = fmt.Sprintf(", %.3f s after it was acknowledged as draining", time.Since(h.drainAckedAt).Seconds())
	}
	h.logf("host %s runs %s %.40s%s, from %s%s", h.id, id, text, inTransaction(c.state), hostOf(c.RemoteAddr()), late)
	if h.onRun != nil {
		h.onRun(h, id, c.state, hostOf(c.RemoteAddr()))
	}
}

func inTransaction(state byte) string {
	if state == 'T' {
		return " (in a transaction)"
	}
	return ""
}

func hostOf(address net.Addr) string {
	ip, _, _ := net.SplitHostPort(address.String())
	return ip
}

func (c *hostConn) commit(id string, writes []string) (string, bool) {
	index, acked := c.host.commit(writes)
	if !acked {
		return "", false
	}
	c.host.logf("host %s acknowledges %s as commit %d", c.host.id, id, index)
	return c.stamp(id), true
}

// awaitUncut waits while the host is cut off from the control plane.
func (h *host) awaitUncut() {
	for {
		h.mu.Lock()
		waits := h.cut && !h.ended
		h.mu.Unlock()
		if !waits {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// control runs a statement of the control plane and returns the row.
func (h *host) control(word, argument string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case word == "PAUSE" && !h.leader && term > h.term:
		h.paused = term
	case word == "RESUME":
		h.paused = 0
	case word == "STEPDOWN" && h.leader && h.term < term:
		h.stepDown(term)
	}
	role := "follower"
	if h.leader {
		role = "leader"
	}
	if word != "STAT" {
		h.logf("host %s gets %s %s: %s %d %s", h.id, word, argument, role, h.term, h.position(len(h.log)))
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\n%s", role, h.term, h.position(len(h.log)), h.paused, len(h.conns), doneNoStamp)
}

// before compares two positions TERM.NUMBER.
func before(a, b string) bool {
	termA, numberA, _ := strings.Cut(a, ".")
	termB, numberB, _ := strings.Cut(b, ".")
	ta, _ := strconv.Atoi(termA)
	tb, _ := strconv.Atoi(termB)
	na, _ := strconv.Atoi(numberA)
	nb, _ := strconv.Atoi(numberB)
	return ta < tb || ta == tb && na < nb
}
