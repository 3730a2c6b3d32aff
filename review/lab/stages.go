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
	"strings"
	"sync"
	"time"
)

const (
	// The figures of the service of stages in the configuration.
	callTime      = 150 * time.Millisecond
	itemTime      = 16 * time.Millisecond
	maxWaiting    = 2
	roomBytes     = 36_000_000
	handleTime    = 4 * time.Second
	largeBytes    = 3_600_000
	smallBytes    = 8_000
	firstToken    = 1700 * time.Millisecond
	eventGap      = 30 * time.Millisecond
	repeatedShare = 0.03
	stageRate     = 32
	playTime      = 80

	stageConfig = `{"version":1,"routes":[{"name":"tale","host":"lab.example","pathPrefix":"/tale/","kind":"stream","timeoutMs":12000,"sloMs":4000,"priority":2,"service":"llm","attempts":1,` +
		`"stages":[{"service":"club","after":[],"bytes":3000000},{"service":"club","after":[],"bytes":8000}],"public":false,"sticky":true,"resumable":false,"gapTargetMs":200}],` +
		`"services":[{"name":"llm","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0,"engine":{"slots":64,"kvCapTokens":548610,"kvTokenBytes":327680,"linkMbps":550000.0,"moves":true,"backups":true,"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},` +
		`{"name":"club","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0,"pieces":{"slots":1,"queue":2,"batch":8,"callMs":150.0,"itemMs":16.0,"headroomMb":36.0,"handleS":4.0,"linkMbps":10000}}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

// stageItem is an item of a call.
type stageItem struct {
	ID    string `json:"id"`
	Stage int    `json:"stage"`
	Piece int    `json:"piece"`
	Key   string `json:"key"`
}

// results holds what the servers of stages have made, by handle.
type results struct {
	mu      sync.Mutex
	items   map[string]stageItem
	made    int
	noRoom  int
	foreign []string
}

// stageServer is a stand-in for a server of a service of stages. It makes one call at a time, and accounts
// for the memory of its results.
type stageServer struct {
	l        *lab
	id       string
	address  string
	results  *results
	repeats  bool
	listener net.Listener
	slot     sync.Mutex

	mu       sync.Mutex
	waiting  int
	used     int
	sizes    map[string]int
	answers  int
	repeated int
}

func (l *lab) addStageServer(host int, zone string, r *results, repeats bool) (*stageServer, error) {
	s := &stageServer{l: l, id: fmt.Sprintf("i-club-%d", host), address: l.address(host, serverPort), results: r, repeats: repeats, sizes: map[string]int{}}
	var err error
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, instance{ID: s.id, Service: "club", Addr: s.address, Zone: zone, Version: "v1", Slots: 1, State: "ready", Born: time.Now().UnixMilli()})
	return s, nil
}

// serve serves the requests of a connection one after the other. If an answer is to be repeated late, its
// second copy comes where the answer to the next request is expected.
func (s *stageServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.l.note("server %s: second copy of an earlier answer", s.id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		status, answer, mayRepeat := s.handle(req, body)
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nX-Instance-Load: 0,0,1\r\n", status, http.StatusText(status))
		if status != http.StatusOK {
			head += "X-Not-Run: 1\r\n"
		}
		if id := req.Header.Get("X-Request-Id"); id != "" {
			head += "X-Request-Id: " + id + "\r\n"
		}
		whole := []byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer))
		if _, err := c.Write(whole); err != nil {
			return
		}
		if mayRepeat && s.mayRepeat() {
			late = whole
		}
	}
}

// mayRepeat reports whether one more answer may be repeated, which repeatedShare of them are at most.
func (s *stageServer) mayRepeat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.repeats || !s.l.hasTrouble || float64(s.repeated+1) > repeatedShare*float64(s.answers) {
		return false
	}
	s.repeated++
	return true
}

func (s *stageServer) handle(r *http.Request, body []byte) (status int, answer []byte, mayRepeat bool) {
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != s.id:
		return http.StatusMisdirectedRequest, nil, false
	case r.URL.Path == "/api/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(body, &call)
		for _, h := range call.Handles {
			s.free(h)
		}
		return http.StatusOK, nil, false
	case r.URL.Path == "/api/stage-run":
		return s.run(body)
	}
	return http.StatusNotFound, nil, false
}

func (s *stageServer) free(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= s.sizes[handle]
	delete(s.sizes, handle)
}

// run makes the items of a call. An answer may be repeated if no item was made, for want of room.
func (s *stageServer) run(body []byte) (status int, answer []byte, mayRepeat bool) {
	var call struct {
		Items []stageItem `json:"items"`
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&call); err != nil {
		return http.StatusBadRequest, nil, false
	}
	s.mu.Lock()
	if s.waiting >= maxWaiting+1 {
		s.mu.Unlock()
		return http.StatusServiceUnavailable, nil, false
	}
	s.waiting++
	s.mu.Unlock()
	s.slot.Lock()
	defer s.slot.Unlock()
	type outcome struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	var out []outcome
	var handles []string
	s.mu.Lock()
	for _, it := range call.Items {
		size := smallBytes
		if it.Stage == 0 {
			size = largeBytes
		}
		if s.used+size > roomBytes {
			out = append(out, outcome{Reason: "room"})
			continue
		}
		h := fmt.Sprintf("%s/%012x", s.address, rand.Uint64()>>16)
		s.used += size
		s.sizes[h] = size
		handles = append(handles, h)
		out = append(out, outcome{Handle: h})
		s.results.add(h, it)
	}
	s.mu.Unlock()
	time.Sleep(callTime + time.Duration(len(call.Items))*itemTime)
	for _, h := range handles {
		time.AfterFunc(handleTime, func() { s.free(h) })
	}
	s.mu.Lock()
	s.waiting--
	s.answers++
	s.mu.Unlock()
	s.l.note("server %s: call %s", s.id, describe(call.Items, out))
	if len(handles) == 0 {
		s.results.countNoRoom()
	}
	answer, _ = json.Marshal(map[string]any{"items": out}) // Cannot fail.
	return http.StatusOK, answer, len(handles) == 0
}

func describe[T any](items []stageItem, out []T) string {
	var b strings.Builder
	for i, it := range items {
		fmt.Fprintf(&b, " %s/%d/%d -> %v", it.ID, it.Stage, it.Piece, out[i])
	}
	return b.String()
}

func (r *results) add(handle string, it stageItem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made++
	r.items[handle] = it
}

func (r *results) countNoRoom() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noRoom++
}

// check records the handles that a request was given though they were made for another.
func (r *results) check(l *lab, id, inputs string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range strings.Split(inputs, ",") {
		if it, ok := r.items[h]; ok && it.ID != id {
			r.foreign = append(r.foreign, h)
			l.note("MIXED: request %s is given %s, which was made for request %s, stage %d, piece %d", id, h, it.ID, it.Stage, it.Piece)
		}
	}
}

// playStages sends requests with stages to servers of which some repeat answers late.
func playStages(l *lab) (string, error) {
	r := &results{items: map[string]stageItem{}}
	for i, zone := range []string{"a", "b", "c", "a"} {
		s, err := l.addStageServer(120+i, zone, r, i%2 == 0)
		if err != nil {
			return "", err
		}
		defer func() { _ = s.listener.Close() }()
		_, err = l.addServer(100+i, "llm", zone, func(s *server, w http.ResponseWriter, q *http.Request) {
			r.check(l, q.Header.Get("X-Request-Id"), q.Header.Get("X-Inputs"))
			streamAnswer(s, w, q)
		})
		if err != nil {
			return "", err
		}
	}
	if err := l.addMachines(3, 3); err != nil {
		return "", err
	}
	if err := l.orderUntilAcknowledged(l.cores(), http.MethodPut, "/api/config", stageConfig, 20*time.Second); err != nil {
		return "", err
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	stop := l.traffic(stageRate, func(m *machine) reply {
		pieces := "1,0"
		if rand.IntN(3) == 0 {
			pieces = "0,1"
		}
		part := fmt.Sprintf("%08x", rand.Uint32())
		return l.send(m, http.MethodPost, "lab.example", "/tale/1", "prompt", map[string]string{
			"X-Model": "m", "X-Token-Count": "600,80", "X-Prefix-Hash": part + ":600", "X-Pieces": pieces, "X-Piece-Key": part,
		}, 12*time.Second)
	})
	for range playTime {
		time.Sleep(time.Second)
		r.mu.Lock()
		n := len(r.foreign)
		r.mu.Unlock()
		if n > 0 {
			break
		}
	}
	replies := stop()
	served := 0
	for _, q := range replies {
		if q.status == http.StatusOK && q.err == nil {
			served++
		}
	}
	l.note("%d requests, %d served; %d results made, %d calls without room; %d results given to another request", len(replies), served, r.made, r.noRoom, len(r.foreign))
	fmt.Printf("%d requests, %d served; %d results made, %d calls without room\n", len(replies), served, r.made, r.noRoom)
	if len(r.foreign) > 0 {
		return fmt.Sprintf("MIXED: %d requests were given results of another request", len(r.foreign)), nil
	}
	return "", nil
}

// streamAnswer answers with a stream of three events.
func streamAnswer(s *server, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", seal(s.row.ID, id))
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(firstToken)
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, id, i+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventGap)
	}
}
