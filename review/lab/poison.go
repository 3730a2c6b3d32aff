package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	poisonConfig = `{"version":1,"routes":[{"name":"tale","host":"lab.example","pathPrefix":"/tale/","kind":"stream","timeoutMs":6000,"sloMs":2000,"priority":2,"service":"llm","attempts":1,` +
		`"stages":[{"service":"club","after":[],"bytes":8000}],"public":false,"sticky":true,"resumable":false,"gapTargetMs":200}],` +
		`"services":[{"name":"llm","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0,"engine":{"slots":64,"kvCapTokens":548610,"kvTokenBytes":327680,"linkMbps":550000.0,"moves":true,"backups":true,"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}` + chainPools +
		`:{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	poisonKey = "badbad01"
	// backTime is how long a server that crashed is down, and repeatTime that between two tries of the client.
	backTime   = 3 * time.Second
	repeatTime = 3 * time.Second
	poisonRuns = 14
	// maxRetries is that of the rule.
	maxRetries = 3
)

// crashes counts the crashes of servers.
type crashes struct {
	mu sync.Mutex
	n  int
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// brittleServer is a server of a service of stages that crashes when it begins a piece with poisonKey. It is
// back at its address after backTime, with a new ID.
type brittleServer struct {
	l       *lab
	address string
	place   int
	crashes *crashes

	mu      sync.Mutex
	id      string
	starts  int
	http    *http.Server
	stopped bool
}

func (l *lab) addBrittleServer(host int, zone string, c *crashes) (*brittleServer, error) {
	s := &brittleServer{l: l, address: l.address(host, serverPort), crashes: c}
	l.mu.Lock()
	s.place = len(l.list)
	l.list = append(l.list, instance{Service: "club", Addr: s.address, Zone: zone, Version: "v1", Slots: 1, State: "ready"})
	l.mu.Unlock()
	return s, s.start()
}

func (s *brittleServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.address, s.starts)
	s.l.mu.Lock()
	s.l.list[s.place].ID, s.l.list[s.place].Born = s.id, time.Now().UnixMilli()
	s.l.mu.Unlock()
	id, slot := s.id, &sync.Mutex{}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, slot, w, r) })}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

func (s *brittleServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.http.Close()
}

func (s *brittleServer) crash() {
	s.crashes.mu.Lock()
	s.crashes.n++
	s.crashes.mu.Unlock()
	s.mu.Lock()
	s.l.note("server %s crashes", s.id)
	_ = s.http.Close()
	s.mu.Unlock()
	time.AfterFunc(backTime, func() { _ = s.start() })
}

func (s *brittleServer) serve(id string, slot *sync.Mutex, w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path != "/api/stage-run" {
		return
	}
	var call struct {
		Items []struct {
			Key string `json:"key"`
		} `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	slot.Lock()
	defer slot.Unlock()
	var out []map[string]string
	for _, it := range call.Items {
		if it.Key == poisonKey {
			s.crash()
			panic(http.ErrAbortHandler)
		}
		out = append(out, map[string]string{"handle": s.address + "/" + newID()})
	}
	time.Sleep(150*time.Millisecond + time.Duration(len(call.Items))*16*time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": out})
}

// playPoison lets a request that crashes the servers of its stage come again and again, beside others.
func playPoison(l *lab) (string, error) {
	c := &crashes{}
	for i, zone := range []string{"a", "b", "c", "a", "b"} {
		s, err := l.addBrittleServer(120+i, zone, c)
		if err != nil {
			return "", err
		}
		defer s.stop()
		if _, err := l.addServer(100+i, "llm", zone, streamWithPause); err != nil {
			return "", err
		}
	}
	if err := l.addMachines(3, 3); err != nil {
		return "", err
	}
	if err := l.orderUntilAcknowledged(l.cores(), http.MethodPut, "/api/config", poisonConfig, 20*time.Second); err != nil {
		return "", err
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(contactTime + time.Second)
	send := func(m *machine, path, key string) reply {
		return l.send(m, http.MethodPost, "lab.example", path, "prompt "+key, map[string]string{
			"X-Model": "m", "X-Token-Count": "600,80", "X-Prefix-Hash": key[:8] + ":600", "X-Pieces": "1", "X-Piece-Key": key,
		}, 6*time.Second)
	}
	stop := l.traffic(15, func(m *machine) reply { return send(m, "/tale/1", newID()) })
	late := 0
	var thirdAt time.Time
	for i := range poisonRuns {
		if l.hasTrouble {
			before, sentAt := c.count(), time.Now()
			r := send(l.fronts()[i%3], "/tale/poison", poisonKey)
			reached := c.count() > before
			l.note("request %s, which crashes servers: %d, crashes so far %d", r.id, r.status, c.count())
			if reached && !thirdAt.IsZero() && sentAt.After(thirdAt.Add(contactTime)) {
				late++
			}
			if thirdAt.IsZero() && c.count() >= 3 {
				thirdAt = time.Now()
			}
		}
		time.Sleep(repeatTime)
	}
	var others shares
	others.add(stop())
	l.note("%d crashes; of %d other requests, %d were served", c.count(), others.sent, others.served)
	fmt.Printf("%d crashes; of %d other requests, %d were served\n", c.count(), others.sent, others.served)
	if late > maxRetries {
		return fmt.Sprintf("BUDGET: a request reached servers in %d retries later than %v after it had crashed the third", late, contactTime), nil
	}
	return "", nil
}
