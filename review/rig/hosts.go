//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatMs          = 1200
	promoteTime     = 300 * time.Millisecond // how long a promotion takes
	replicationTick = 2 * time.Millisecond
	finerTick       = 500 * time.Microsecond // where hosts are spread over zones
)

// entry is one commit that wrote.
type entry struct {
	term, number uint64
	writes       []string // "thing data"
	id           string   // id of the statement that committed
}

// group is one service: its hosts, and the network between them. All fields are guarded by mu.
type group struct {
	mu         sync.Mutex
	changed    *sync.Cond
	service    string
	members    []string // addresses of the control plane for heartbeats
	hosts      map[string]*host
	maxTerm    uint64
	maxConns   int
	fences     uint64
	promotions []promotion
	rec        *recorder
	stopped    bool
	lagMs      float64           // how much later replicas receive an entry, on average
	zoneMs     float64           // how much later replicas in other zones receive it; above 0, lagMs varies by a twentieth only
	zones      map[string]string // by id of a host; the others are in zone z
	silentNext bool              // the next host that starts sends no heartbeat
	beatTarget map[string]string

	onQuery       func(h *host, id, text string) // called for each statement with an id that a host runs
	promoteDelay  time.Duration                  // how late the platform carries out a promotion
	answerDelay   time.Duration                  // how late the platform answers
	answersRemain int                            // how many promotion calls are answered late
}

// promotion records the log with which a host took the lead.
type promotion struct {
	at   time.Time
	host string
	term uint64
	log  []entry
}

// host is one database host.
type host struct {
	g            *group
	id, addr     string
	zone         string
	primary      bool
	term         uint64 // newest term that it knows
	log          []entry
	acked        int // entries that a replica has received
	paused       uint64
	up           bool
	draining     bool
	silent       bool                     // sends no heartbeat
	cut          map[string]bool          // ids of hosts that it cannot reach
	delay        time.Duration            // before each answer
	scheduled    int                      // entries whose receipt is scheduled
	received     map[int]time.Time        // when an entry may be received
	deaf         bool                     // receives nothing
	commandDelay map[string]time.Duration // by word: before the command is carried out
	listener     net.Listener
	conns        map[net.Conn]bool
	seq          int64
	work         time.Duration // of a statement, in one of the slots
	slots        chan struct{} // nil: no limit
}

func newGroup(service string, members []string, rec *recorder) *group {
	g := &group{service: service, members: members, hosts: map[string]*host{}, maxTerm: 1, maxConns: 57, rec: rec, beatTarget: map[string]string{}, zones: map[string]string{}}
	g.changed = sync.NewCond(&g.mu)
	go g.replicate()
	return g
}

// addSilent starts a new replica; if silent, its first heartbeat is late.
func (g *group) addSilent(id, addr string, silent bool) *host {
	g.silentNext = silent
	return g.add(id, addr, false, nil)
}

// add starts a host. A new host takes the log given.
func (g *group) add(id, addr string, primary bool, log []entry) *host {
	g.mu.Lock()
	defer g.mu.Unlock()
	zone := g.zones[id]
	if zone == "" {
		zone = "z"
	}
	h := &host{
		g: g, id: id, addr: addr, zone: zone, primary: primary, term: g.maxTerm, cut: map[string]bool{}, conns: map[net.Conn]bool{},
		log: append([]entry(nil), log...), received: map[int]time.Time{}, commandDelay: map[string]time.Duration{},
	}
	h.acked = len(h.log)
	h.silent, g.silentNext = g.silentNext, false
	g.hosts[id] = h
	h.listen()
	go h.beatLoop()
	return h
}

func (h *host) listen() {
	var err error
	for range 50 {
		if h.listener, err = net.Listen("tcp", h.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fatal("host %s: %v", h.id, err)
	}
	h.up = true
	listener := h.listener
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(socket)
		}
	}()
}

// crash ends the host's process; its log stays.
func (h *host) crash() {
	h.g.mu.Lock()
	h.up = false
	h.listener.Close()
	for c := range h.conns {
		c.Close()
	}
	h.conns = map[net.Conn]bool{}
	h.g.changed.Broadcast()
	h.g.mu.Unlock()
	h.g.rec.add("host %s crashes (log to %s)", h.id, h.positionLocked())
}

// restart returns a crashed host with its log: as replica if another was promoted.
func (h *host) restart() {
	h.g.mu.Lock()
	h.paused = 0
	if h.g.maxTerm > h.term {
		h.primary = false
	}
	h.listen()
	h.g.mu.Unlock()
	h.g.rec.add("host %s is back with its log to %s, %s", h.id, h.positionLocked(), h.role())
	go h.beat()
}

func (h *host) positionLocked() string {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	return h.position()
}

func (h *host) position() string {
	if len(h.log) == 0 {
		return "-"
	}
	last := h.log[len(h.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

func (h *host) role() string {
	if h.primary {
		return "leader"
	}
	return "follower"
}

// setCut cuts or joins the network between a host and others.
func (g *group) setCut(cut bool, a string, others ...string) {
	g.mu.Lock()
	for _, b := range others {
		g.hosts[a].cut[b], g.hosts[b].cut[a] = cut, cut
	}
	g.mu.Unlock()
	g.rec.add("network between host %s and %s: cut=%v", a, strings.Join(others, ","), cut)
}

// replicate carries entries from primaries to the replicas that they reach.
func (g *group) replicate() {
	tick := replicationTick
	for {
		time.Sleep(tick)
		g.mu.Lock()
		if g.zoneMs > 0 {
			tick = finerTick
		}
		if g.stopped {
			g.mu.Unlock()
			return
		}
		for _, p := range g.hosts {
			if !p.up || !p.primary {
				continue
			}
			for _, r := range g.hosts {
				if r != p && r.up && !p.cut[r.id] {
					p.feed(r)
				}
			}
		}
		g.changed.Broadcast()
		g.mu.Unlock()
	}
}

// feed lets a replica in reach of the primary follow it.
func (p *host) feed(r *host) {
	if r.term > p.term {
		return
	}
	if r.primary && r.term < p.term { // an old primary in reach of the new one
		r.primary = false
		p.g.rec.add("host %s loses the lead to %s", r.id, p.id)
	}
	if r.primary || r.deaf || r.paused > 0 {
		return
	}
	r.term = p.term
	common := 0
	for common < len(r.log) && common < len(p.log) && r.log[common].term == p.log[common].term && r.log[common].number == p.log[common].number {
		common++
	}
	if common < len(r.log) {
		p.g.rec.add("host %s is cut back from %s to %d entries by %s", r.id, r.position(), common, p.id)
		r.log = r.log[:common]
		r.scheduled = common
	}
	now := time.Now()
	for i := max(common, r.scheduled); i < len(p.log); i++ {
		due := now
		if p.g.lagMs > 0 { // in order, as over one connection
			due = now.Add(time.Duration(p.lagTo(r) * float64(time.Millisecond)))
			if previous := r.received[i-1]; due.Before(previous) {
				due = previous
			}
		}
		r.received[i], r.scheduled = due, i+1
	}
	for common < len(p.log) && !now.Before(r.received[common]) {
		r.log = append(r.log, p.log[common])
		common++
	}
	p.acked = max(p.acked, common)
}

// lagTo returns how many milliseconds later a replica receives the next entry.
func (p *host) lagTo(r *host) float64 {
	switch {
	case p.g.zoneMs == 0:
		return (0.25 + 1.5*rand.Float64()) * p.g.lagMs
	case r.zone == p.zone:
		return (0.95 + 0.1*rand.Float64()) * p.g.lagMs
	}
	return (0.95+0.1*rand.Float64())*p.g.lagMs + p.g.zoneMs
}

// promote gives the lead to a host, with the log that it has.
func (g *group) promote(id string) {
	g.mu.Lock()
	h := g.hosts[id]
	if h == nil || !h.up {
		g.mu.Unlock()
		return
	}
	if h.primary && h.term == g.maxTerm {
		g.mu.Unlock()
		return
	}
	g.maxTerm++
	h.primary, h.term, h.paused, h.acked = true, g.maxTerm, 0, len(h.log)
	for _, o := range g.hosts { // in that moment the old primary loses the lead
		if o != h && o.primary && o.up && !o.cut[id] {
			o.primary = false
		}
	}
	g.promotions = append(g.promotions, promotion{time.Now(), id, h.term, append([]entry(nil), h.log...)})
	g.mu.Unlock()
	g.rec.add("promotion takes effect: host %s leads term %d with its log to %s", id, h.term, h.positionLocked())
	go h.beat()
}

func (h *host) beatLoop() {
	for {
		h.beat()
		time.Sleep(beatMs * time.Millisecond)
		h.g.mu.Lock()
		gone := h.g.stopped || h.g.hosts[h.id] != h
		h.g.mu.Unlock()
		if gone {
			return
		}
	}
}

// beat sends a heartbeat. It reports whether it was acknowledged.
func (h *host) beat() bool {
	h.g.mu.Lock()
	if !h.up || h.silent || h.g.stopped {
		h.g.mu.Unlock()
		return false
	}
	h.seq++
	state := "serving"
	if h.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"Service": h.g.service, "Address": h.addr, "Zone": h.zone, "Generation": "v1", "Capacity": 5,
		"State": state, "ColdLeftMs": 0, "DbRole": h.role(), "CallSeq": h.seq,
	})
	targets := append([]string(nil), h.g.members...)
	if t := h.g.beatTarget[h.id]; t != "" {
		targets = append([]string{t}, targets...)
	}
	h.g.mu.Unlock()
	for _, t := range targets {
		if target, ok := postHost(t, "/Instances.Heartbeat/"+h.id, body); ok {
			h.g.mu.Lock()
			h.g.beatTarget[h.id] = target
			h.g.mu.Unlock()
			return true
		}
	}
	return false
}

// drain says that the host leaves, until that is acknowledged.
func (h *host) drain() {
	h.g.mu.Lock()
	h.draining = true
	h.g.mu.Unlock()
	h.g.rec.add("host %s says draining", h.id)
	for range 20 {
		if h.beat() {
			h.g.rec.add("host %s: draining acknowledged", h.id)
			return
		}
	}
}

// leave sends Leave and, if ends, ends the host.
func (h *host) leave(ends bool) {
	acknowledged := false
	for _, t := range h.g.members {
		if _, ok := postHost(t, "/Instances.Leave/"+h.id, []byte("{}")); ok {
			acknowledged = true
			break
		}
	}
	h.g.rec.add("host %s leaves, acknowledged=%v", h.id, acknowledged)
	if ends {
		h.end()
	}
}

// end ends a host for good.
func (h *host) end() {
	h.crash()
	h.g.mu.Lock()
	delete(h.g.hosts, h.id)
	h.g.mu.Unlock()
}

var hostClient = &http.Client{Timeout: time.Second}

func postHost(addr, path string, body []byte) (target string, ok bool) {
	response, err := hostClient.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	var answer struct{ BeatTarget string }
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= 300 {
		return "", false
	}
	_ = json.Unmarshal(content, &answer)
	return answer.BeatTarget, true
}

// hostSession is a connection to a host.
type hostSession struct {
	h        *host
	out      net.Conn
	state    byte
	readOnly bool
	writes   []string
	prepared map[string]string
}

func (h *host) serve(socket net.Conn) {
	defer socket.Close()
	h.g.mu.Lock()
	if !h.up {
		h.g.mu.Unlock()
		return
	}
	tooMany := len(h.conns) >= h.g.maxConns
	h.conns[socket] = true
	h.g.mu.Unlock()
	defer func() {
		h.g.mu.Lock()
		delete(h.conns, socket)
		h.g.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(socket, 1<<16)
	s := &hostSession{h: h, out: socket, state: 'I', prepared: map[string]string{}}
	line, err := readLine(reader)
	if err != nil {
		return
	}
	words := strings.Split(line, " ")
	if words[0] != "CONNECT" || len(words) < 3 {
		return
	}
	switch {
	case tooMany:
		fmt.Fprint(socket, "ERROR OVERLOAD too many\r\n")
		return
	case words[1] != h.g.service || len(words) > 3 && words[3] != h.id:
		fmt.Fprintf(socket, "ERROR WRONGNODE %s\r\n", h.id)
		return
	}
	s.idle("")
	for {
		line, err := readLine(reader)
		if err != nil || line == "BYE" {
			return
		}
		parts := strings.SplitN(line, " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		if !s.query(parts[1], parts[2]) {
			return
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// idle sends lines and IDLE.
func (s *hostSession) idle(lines string) bool {
	s.h.g.mu.Lock()
	position, delay, up := s.h.position(), s.h.delay, s.h.up
	s.h.g.mu.Unlock()
	if !up {
		return false
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := fmt.Fprintf(s.out, "%sIDLE %c %s\r\n", lines, s.state, position)
	return err == nil
}

func (s *hostSession) fail(code string) bool {
	if s.state == 'T' {
		s.state = 'E'
	}
	return s.idle("ERROR " + code + " " + s.h.id + "\r\n")
}

func (s *hostSession) query(id, text string) bool {
	h := s.h
	word, rest, _ := strings.Cut(text, " ")
	if d := h.commandDelay[word]; d > 0 {
		time.Sleep(d)
	}
	switch word {
	case "STAT", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(word, rest)
	case "SET":
		return s.idle("DONE -\r\n")
	case "RESET":
		s.prepared = map[string]string{}
		return s.idle("DONE -\r\n")
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return s.idle("DONE -\r\n")
	case "CLOSE":
		delete(s.prepared, rest)
		return s.idle("DONE -\r\n")
	}
	if word == "FENCE" {
		fence, inner, _ := strings.Cut(rest, " ")
		h.g.mu.Lock()
		has := h.has(fence)
		h.g.mu.Unlock()
		if !has {
			return s.fail("LAGGING")
		}
		text = inner
		word, rest, _ = strings.Cut(text, " ")
	}
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return s.fail("UNKNOWN")
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if s.state == 'E' && word != "COMMIT" && word != "ABORT" {
		return s.idle("ERROR MALFORMED failed\r\n")
	}
	if h.slots != nil {
		h.slots <- struct{}{}
		time.Sleep(h.work)
		<-h.slots
	}
	h.g.mu.Lock()
	primary := h.primary
	if h.g.onQuery != nil {
		h.g.onQuery(h, id, text)
	}
	h.g.mu.Unlock()
	stamp := "DONE s." + h.id + "." + id + "\r\n"
	switch word {
	case "BEGIN":
		s.readOnly = rest == "FETCH"
		if !s.readOnly && !primary {
			return s.fail("READONLY")
		}
		s.state, s.writes = 'T', nil
		return s.idle("DONE -\r\n")
	case "ABORT":
		s.state, s.writes = 'I', nil
		return s.idle("DONE -\r\n")
	case "FETCH":
		if s.state == 'T' && !s.readOnly && !primary {
			return s.fail("READONLY")
		}
		return s.idle("ROW " + h.value(rest) + "\r\n" + stamp)
	case "STORE":
		if !primary || s.readOnly && s.state == 'T' {
			return s.fail("READONLY")
		}
		if s.state == 'T' {
			s.writes = append(s.writes, rest)
			return s.idle(stamp)
		}
		if !h.commit(id, []string{rest}) {
			return false
		}
		return s.idle(stamp)
	case "COMMIT":
		failed, writes := s.state == 'E', s.writes
		s.state, s.writes = 'I', nil
		if failed || len(writes) == 0 {
			return s.idle(stamp)
		}
		if !primary {
			return s.fail("READONLY")
		}
		if !h.commit(id, writes) {
			return false
		}
		return s.idle(stamp)
	}
	return s.idle("ERROR MALFORMED " + word + "\r\n")
}

// has reports whether the log holds a position.
func (h *host) has(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	if len(h.log) == 0 {
		return number == 0
	}
	last := h.log[len(h.log)-1]
	return last.term > term || last.term == term && last.number >= number
}

func (h *host) value(thing string) string {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	for i := len(h.log) - 1; i >= 0; i-- {
		for _, w := range h.log[i].writes {
			if name, data, _ := strings.Cut(w, " "); name == thing {
				return data
			}
		}
	}
	return "none"
}

// commit appends an entry and waits until a replica has received it. It returns false if the connection ends without an answer.
func (h *host) commit(id string, writes []string) bool {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	number := uint64(1)
	if len(h.log) > 0 {
		number = h.log[len(h.log)-1].number + 1
	}
	h.log = append(h.log, entry{h.term, number, writes, id})
	index, term := len(h.log), h.term
	h.g.rec.add("host %s commits %d.%d (%s) id %s", h.id, term, number, strings.Join(writes, "; "), id)
	for h.up && h.primary && h.term == term && h.acked < index && !h.g.stopped {
		h.g.changed.Wait()
	}
	return h.up && len(h.log) >= index && h.log[index-1].id == id && h.acked >= index
}

func (s *hostSession) control(word, argument string) bool {
	h := s.h
	term, _ := strconv.ParseUint(argument, 10, 64)
	h.g.mu.Lock()
	switch word {
	case "PAUSE":
		if !h.primary && term > h.term {
			h.paused = term
		}
	case "RESUME":
		h.paused = 0
	case "STEPDOWN":
		if h.primary && h.term < term {
			h.primary = false
			h.g.rec.add("host %s steps down", h.id)
		}
	}
	row := fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", h.role(), h.term, h.position(), h.paused, len(h.conns))
	h.g.mu.Unlock()
	if word != "STAT" {
		h.g.rec.add("host %s gets %s %s: %s", h.id, word, argument, strings.TrimSpace(strings.SplitN(row, "\r\n", 2)[0]))
	}
	return s.idle(row)
}

// servePlatform answers promotions for the services.
func servePlatform(addr string, groups []*group) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		fatal("platform: %v", err)
	}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, Id string }
		if json.NewDecoder(r.Body).Decode(&body) != nil || r.URL.Path != "/promotion" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var g *group
		for _, candidate := range groups {
			if candidate.service == body.Service {
				g = candidate
			}
		}
		if g == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fence, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
		g.rec.add("platform gets promotion of %s, holder %s, fence %d", body.Id, r.Header.Get("X-Duty-Holder"), fence)
		g.mu.Lock()
		h := g.hosts[body.Id]
		status, extra, wait := http.StatusOK, time.Duration(0), time.Duration(0)
		switch {
		case fence < g.fences, h == nil, !h.up:
			status = http.StatusConflict
		default:
			g.fences = max(g.fences, fence)
			if g.answersRemain > 0 {
				g.answersRemain--
				extra, wait = g.promoteDelay, g.answerDelay
			}
		}
		g.mu.Unlock()
		if status == http.StatusOK {
			time.AfterFunc(promoteTime+extra, func() { g.promote(body.Id) })
		}
		time.Sleep(wait)
		w.WriteHeader(status)
	}))
}
