package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// instance is an entry of the platform's list.
type instance struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Addr       string  `json:"addr"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMs float64 `json:"coldLeftMs"`
	Born       int64   `json:"born"`
}

// serveList serves the platform's list of servers on one page.
func (l *lab) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	var entries []string
	for i, row := range l.list {
		data, _ := json.Marshal(row) // Cannot fail.
		entries = append(entries, string(data))
		if i == 0 && l.foreignEntry != "" {
			entries = append(entries, l.foreignEntry)
		}
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"next":null}`, strings.Join(entries, ","))
}

// setList changes the list: the state of the first server, and an entry from another writer after it.
func (l *lab) setList(state, foreignEntry string) {
	l.mu.Lock()
	l.list[0].State, l.foreignEntry = state, foreignEntry
	l.mu.Unlock()
	l.note("list: first server is %s, entry from another writer %q", state, foreignEntry)
}

// arrival is a request that a server has begun to run.
type arrival struct {
	at   time.Time
	id   string
	path string
	// target is the request target as it was sent.
	target string
}

// server is a stand-in for a server of a service.
type server struct {
	l       *lab
	row     instance
	http    *http.Server
	handler func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	runs []arrival
}

// addServer starts a server at the given host number. handle answers requests that the server runs.
func (l *lab) addServer(host int, service, zone string, handle func(s *server, w http.ResponseWriter, r *http.Request)) (*server, error) {
	address := l.address(host, serverPort)
	s := &server{l: l, row: instance{
		ID: fmt.Sprintf("i-%s-%d", service, host), Service: service, Addr: address, Zone: zone, Version: "v1", Slots: 64, State: "ready", Born: time.Now().UnixMilli(),
	}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, handle) })}
	go func() { _ = s.http.Serve(listener) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = append(l.servers, s)
	l.list = append(l.list, s.row)
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

func (s *server) serve(w http.ResponseWriter, r *http.Request, handle func(s *server, w http.ResponseWriter, r *http.Request)) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.row.ID)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.row.ID {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, arrival{at: time.Now(), id: r.Header.Get("X-Request-Id"), path: r.URL.Path, target: r.RequestURI})
	s.mu.Unlock()
	s.l.note("server %s (zone %s) runs %s %s %s", s.row.ID, s.row.Zone, r.Header.Get("X-Request-Id"), r.Method, r.RequestURI)
	handle(s, w, r)
}

// arrivals returns the requests that the server has run.
func (s *server) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival{}, s.runs...)
}

// answer is the answer of a sound server.
func answer(s *server, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	body := "answer of " + s.row.ID + "\n"
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", seal(s.row.ID, r.Header.Get("X-Request-Id")))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

func seal(server, id string) string { return server + "." + id }
