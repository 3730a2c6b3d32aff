package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is an upstream server. It runs requests and says what a sound server says.
type server struct {
	// isEngine servers answer with a stream of events. coldUntil is when the server stops being cold.
	isEngine  bool
	coldUntil time.Time
	// coldS is how long the server is cold after a start; 0 if it never is.
	coldS float64
	// events is the number of events of a stream, and onBody is called with the body of a request that begins
	// to run; it may be nil.
	events                int
	onBody                func(body []byte)
	p                     *platform
	id, service, ip, zone string
	state                 string
	slots, queue          int64
	work                  time.Duration
	busy                  atomic.Int64
	running               chan struct{}
	http                  *http.Server
}

// arrival is a request that reached a server.
type arrival struct {
	at               time.Time
	server, zone, id string
	method, target   string
	ran              bool
}

// platform is a stand-in for the platform: the list of servers, and the servers.
type platform struct {
	rec     *recorder
	prefix  string
	mu      sync.Mutex
	servers []*server
	came    []arrival
	lists   []snapshot
}

func newPlatform(rec *recorder, prefix string) *platform {
	p := &platform{rec: rec, prefix: prefix}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	l, err := net.Listen("tcp", addr(prefix+".0.1", listPort))
	check(err)
	go func() { _ = http.Serve(l, mux) }()
	go p.keep()
	return p
}

// listLag is how far the list is behind.
const listLag = 800 * time.Millisecond

// keep records the list from time to time, since it lags.
func (p *platform) keep() {
	for range time.Tick(20 * time.Millisecond) {
		now := time.Now()
		p.mu.Lock()
		rows := []map[string]any{}
		for _, s := range p.servers {
			rows = append(rows, map[string]any{
				"id": s.id, "service": s.service, "addr": addr(s.ip, appPort), "zone": s.zone, "version": "v1", "slots": s.slots,
				"state": s.state, "coldLeftMs": max(s.coldUntil.Sub(now).Milliseconds(), 0),
			})
		}
		p.lists = append(p.lists, snapshot{now, rows})
		for len(p.lists) > 1 && now.Sub(p.lists[1].at) >= listLag {
			p.lists = p.lists[1:]
		}
		p.mu.Unlock()
	}
}

// snapshot is the list at a time.
type snapshot struct {
	at   time.Time
	rows []map[string]any
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := []map[string]any{}
	if len(p.lists) > 0 {
		rows = p.lists[0].rows
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": rows, "next": nil})
}

// add starts a server.
func (p *platform) add(service, zone string, slots, queue int, work time.Duration) *server {
	s := p.newServer(service, zone, slots, queue, work)
	s.listen()
	return s
}

// newServer adds a server to the list.
func (p *platform) newServer(service, zone string, slots, queue int, work time.Duration) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.servers) + 1
	s := &server{
		p: p, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, ip: fmt.Sprintf("%s.1.%d", p.prefix, n), zone: zone, state: "ready",
		slots: int64(slots), queue: int64(queue), work: work, running: make(chan struct{}, slots), events: 4,
	}
	p.servers = append(p.servers, s)
	return s
}

func (s *server) listen() {
	s.http = &http.Server{Handler: s}
	l, err := net.Listen("tcp", addr(s.ip, appPort))
	check(err)
	srv := s.http
	go func() { _ = srv.Serve(l) }()
}

// crash ends the server. It starts again after a while, under the same ID and address, and is cold then.
func (s *server) crash(down, cold time.Duration) (back time.Time) {
	s.p.rec.printf("server %s crashes", s.id)
	_ = s.http.Close()
	time.Sleep(down)
	s.listen()
	back = time.Now()
	s.p.mu.Lock()
	s.coldUntil, s.coldS = back.Add(cold), cold.Seconds()
	s.p.mu.Unlock()
	s.p.rec.printf("server %s is back, cold for %v", s.id, cold)
	return back
}

// ServeHTTP answers as PROTOCOL.md says: it works on as many requests as it has slots, lets a few wait, and
// rejects the others.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(r.Body)
	a := arrival{at: time.Now(), server: s.id, zone: s.zone, id: id, method: r.Method, target: r.RequestURI}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", s.id)
	reject := func(status int) {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(status)
		s.p.note(a)
	}
	switch r.URL.Path {
	case "/healthz":
		if s.coldS > 0 {
			s.p.mu.Lock()
			h.Set("X-Cold-Ms", fmt.Sprint(max(time.Until(s.coldUntil).Milliseconds(), 0)))
			s.p.mu.Unlock()
		}
		w.WriteHeader(http.StatusOK)
		return
	case "/api/report":
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"numWaiting":%d,"numRunning":%d,"kvUsed":0,"kvTotal":548610,"handles":0}`, max(s.busy.Load()-s.slots, 0), min(s.busy.Load(), s.slots))
		return
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	if s.busy.Add(1) > s.slots+s.queue {
		s.busy.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	defer s.busy.Add(-1)
	// A server stops work at the value that it receives.
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	select {
	case s.running <- struct{}{}:
	case <-ctx.Done():
		reject(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.running }()
	a.ran = true
	s.p.note(a)
	h.Set("X-Response-Seal", "seal."+s.id+"."+id)
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if s.isEngine {
		h.Set("Content-Type", "text/event-stream")
		if s.onBody != nil {
			s.onBody(body)
		}
		for i := range s.events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, id)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(s.work):
			case <-ctx.Done():
				panic(http.ErrAbortHandler)
			}
		}
		return
	}
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
}

func (p *platform) note(a arrival) {
	p.mu.Lock()
	p.came = append(p.came, a)
	p.mu.Unlock()
	p.rec.printf("request %s reaches server %s in %s: %s %s, ran %v", a.id, a.server, a.zone, a.method, a.target, a.ran)
}

// arrivals returns the requests that reached servers so far.
func (p *platform) arrivals() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.came...)
}
