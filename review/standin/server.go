package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	at                   time.Time
	server               *server
	id, tenant           string
	method, path, target string
	isAnswerLost         bool
	connectionFrom       string
}

// server is a server of a service.
type server struct {
	d                       *deployment
	id, service, addr, zone string

	mu   sync.Mutex
	runs []run
	// losesAnswer decides for each run whether its answer is lost. The connection is reset then.
	losesAnswer func(r *http.Request, run int) bool
}

// addServer starts a server of the service ladder-core.
func (d *deployment) addServer(zone string, losesAnswer func(r *http.Request, run int) bool) (*server, error) {
	return d.addServerOf("ladder-core", zone, losesAnswer)
}

func (d *deployment) addServerOf(service, zone string, losesAnswer func(r *http.Request, run int) bool) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.network, 101+len(d.servers)))
	if err != nil {
		return nil, err
	}
	d.listen = append(d.listen, l)
	s := &server{d: d, id: fmt.Sprintf("i-%s-%d", zone, len(d.servers)+1), service: service, addr: l.Addr().String(), zone: zone, losesAnswer: losesAnswer}
	go func() { _ = (&http.Server{Handler: s, IdleTimeout: 15 * time.Second}).Serve(l) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, s)
	return s, nil
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	lost := s.recordRun(r, id)
	time.Sleep(15 * time.Millisecond)
	if lost {
		s.reset(w)
		return
	}
	h.Set("X-Response-Seal", "seal-"+id)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		h.Set("Content-Type", "text/event-stream")
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d of %s\n\n", i+1, i+1, id)
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.service, id)
}

func (s *server) recordRun(r *http.Request, id string) (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.losesAnswer != nil && s.losesAnswer(r, len(s.runs))
	s.runs = append(s.runs, run{
		at: time.Now(), server: s, id: id, tenant: r.Header.Get("X-Tenant"), method: r.Method, path: r.URL.Path, target: r.RequestURI,
		isAnswerLost: lost, connectionFrom: r.RemoteAddr,
	})
	s.d.record.printf("server %s of %s in zone %s runs %s: %s %s, X-Tenant %q, from %s, answer lost: %t", s.id, s.service, s.zone, id, r.Method, r.URL.Path, r.Header.Get("X-Tenant"), r.RemoteAddr, lost)
	return lost
}

// reset closes the connection of a request without an answer.
func (s *server) reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// runs returns all runs at all servers.
func (d *deployment) runs() []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []run
	for _, s := range d.servers {
		s.mu.Lock()
		out = append(out, s.runs...)
		s.mu.Unlock()
	}
	return out
}
