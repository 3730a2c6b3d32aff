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
	// The figures of the service club-roster at the site prairie-ladder.
	stageBatch    = 8
	stageCallTime = 150 * time.Millisecond
	stageItemTime = 16 * time.Millisecond
	stageRoom     = 36_000_000
	stageKeep     = 4 * time.Second
	resultBytes   = 60_000
	// greyShare is the share of its calls that a grey server fails, and extraShare the share of
	// its answers that a server sends a second time.
	greyShare  = 0.45
	extraShare = 0.03
	// Both last for onTime, with a pause of offTime.
	onTime  = 5 * time.Second
	offTime = time.Second
)

// result is the result of a piece.
type result struct {
	id           string
	stage, piece int
	bytes        int
	until        time.Time
}

// stageServer makes pieces. It works on one call at a time.
type stageServer struct {
	d                       *deployment
	id, service, addr, zone string
	// isGrey is set if a part of the calls fails, and sendsExtra if a part of the answers is sent
	// a second time.
	isGrey, sendsExtra bool

	turn sync.Mutex

	mu              sync.Mutex
	results         map[string]result
	answers, extras int
}

func (d *deployment) addStageServer(zone string, isGrey, sendsExtra bool) (*stageServer, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.network, 101+len(d.servers)))
	if err != nil {
		return nil, err
	}
	d.listen = append(d.listen, l)
	row := &server{d: d, id: fmt.Sprintf("i-%s-%d", zone, len(d.servers)+1), service: "club-roster", addr: l.Addr().String(), zone: zone}
	s := &stageServer{d: d, id: row.id, service: row.service, addr: row.addr, zone: zone, isGrey: isGrey, sendsExtra: sendsExtra, results: map[string]result{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, row)
	d.stageServers = append(d.stageServers, s)
	return s, nil
}

// serve answers the requests on a connection one after another. If an answer is to be sent once
// more, that comes late: where the next answer on the connection is expected.
func (s *stageServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var extra []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra != nil {
			s.d.record.printf("stage server %s sends its last answer on the connection from %s once more", s.id, conn.RemoteAddr())
			_, _ = conn.Write(extra)
			extra = nil
		}
		answer := withID(r, s.answer(r, body, conn.RemoteAddr().String()))
		if _, err := conn.Write(answer); err != nil || r.Close {
			return
		}
		if s.drawExtra() {
			extra = answer
		}
	}
}

// withID returns the answer to r, with the ID of the request if r has one.
func withID(r *http.Request, answer []byte) []byte {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return answer
	}
	return bytes.Replace(answer, []byte("\r\n"), []byte("\r\nX-Request-Id: "+id+"\r\n"), 1)
}

// drawExtra decides whether an answer is sent a second time.
func (s *stageServer) drawExtra() bool {
	if !s.sendsExtra || !s.d.isDisrupted() || rand.Float64() >= extraShare {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extras++
	return true
}

// isDisrupted reports whether the disruptions last at present.
func (d *deployment) isDisrupted() bool {
	return time.Since(d.record.start)%(onTime+offTime) < onTime
}

type stageItem struct {
	ID          string   `json:"id"`
	Stage       int      `json:"stage"`
	Piece       int      `json:"piece"`
	RemainingMs float64  `json:"remainingMs"`
	Key         string   `json:"key"`
	Inputs      []string `json:"inputs"`
}

// answer returns the answer to a request.
func (s *stageServer) answer(r *http.Request, body []byte, from string) []byte {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		return message(http.StatusMisdirectedRequest, "X-Not-Run: 1\r\n", nil)
	}
	switch r.URL.Path {
	case "/healthz":
		return message(http.StatusOK, "X-Instance-Id: "+s.id+"\r\n", nil)
	case "/api/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(body, &call)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, h := range call.Handles {
			delete(s.results, h)
		}
		return message(http.StatusOK, "", []byte("{}"))
	case "/api/stage-run":
		var call struct {
			Items []stageItem `json:"items"`
		}
		if err := json.Unmarshal(body, &call); err != nil || len(call.Items) == 0 || len(call.Items) > stageBatch {
			return message(http.StatusBadRequest, "X-Not-Run: 1\r\n", nil)
		}
		return s.run(call.Items, from)
	}
	return message(http.StatusNotFound, "", nil)
}

// run makes the pieces of a call. It has to be its turn.
func (s *stageServer) run(items []stageItem, from string) []byte {
	s.turn.Lock()
	defer s.turn.Unlock()
	start := time.Now()
	out := make([]map[string]string, len(items))
	made := 0
	s.mu.Lock()
	s.answers++
	if s.isGrey && s.d.isDisrupted() && rand.Float64() < greyShare {
		s.mu.Unlock()
		s.d.record.printf("stage server %s fails a call from %s, %d items", s.id, from, len(items))
		for i := range out {
			out[i] = map[string]string{"reason": "error"}
		}
		return reply(out)
	}
	used := 0
	for h, r := range s.results {
		if start.After(r.until) {
			delete(s.results, h)
			continue
		}
		used += r.bytes
	}
	handles := make([]string, len(items))
	text := ""
	for i, it := range items {
		text += fmt.Sprintf(" %s/%d/%d", it.ID, it.Stage, it.Piece)
		switch {
		case it.RemainingMs <= 0:
			out[i] = map[string]string{"reason": "late"}
		case used+resultBytes > stageRoom:
			out[i] = map[string]string{"reason": "room"}
			text += "=room"
		default:
			used += resultBytes
			made++
			handles[i] = fmt.Sprintf("%s/%x", s.addr, rand.Uint64())
			out[i] = map[string]string{"handle": handles[i]}
			s.results[handles[i]] = result{it.ID, it.Stage, it.Piece, resultBytes, start.Add(time.Hour)}
			text += "=" + handles[i]
		}
	}
	s.mu.Unlock()
	s.d.record.printf("stage server %s gets a call from %s, %d items", s.id, from, len(items))
	if made > 0 {
		time.Sleep(stageCallTime + time.Duration(made)*stageItemTime)
	}
	s.mu.Lock()
	for _, h := range handles {
		if r, ok := s.results[h]; ok {
			r.until = time.Now().Add(stageKeep)
			s.results[h] = r
		}
	}
	s.mu.Unlock()
	s.d.record.printf("stage server %s answers the call from %s:%s", s.id, from, text)
	return reply(out)
}

// reply returns the answer to a call with the given outcomes of its items.
func reply(items []map[string]string) []byte {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err) // Cannot fail: the values have simple types.
	}
	return message(http.StatusOK, "X-Instance-Load: 0,0,1\r\n", body)
}

func message(status int, fields string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), fields, len(body))
	b.Write(body)
	return b.Bytes()
}

// find returns the result with a handle.
func (d *deployment) find(handle string) (result, bool) {
	d.mu.Lock()
	servers := d.stageServers
	d.mu.Unlock()
	for _, s := range servers {
		s.mu.Lock()
		r, ok := s.results[handle]
		s.mu.Unlock()
		if ok && time.Now().Before(r.until) {
			return r, true
		}
	}
	return result{}, false
}

// modelServer answers streams. It checks the results that a request is given.
type modelServer struct {
	d     *deployment
	row   *server
	mu    sync.Mutex
	wrong int
	right int
}

func (d *deployment) addModelServer(zone string) (*modelServer, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.network, 101+len(d.servers)))
	if err != nil {
		return nil, err
	}
	d.listen = append(d.listen, l)
	m := &modelServer{d: d, row: &server{d: d, id: fmt.Sprintf("i-%s-%d", zone, len(d.servers)+1), service: "umpire-llm", addr: l.Addr().String(), zone: zone}}
	go func() { _ = (&http.Server{Handler: m, IdleTimeout: 15 * time.Second}).Serve(l) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, m.row)
	return m, nil
}

func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", m.row.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.row.id {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	inputs := r.Header.Get("X-Inputs")
	if inputs == "" {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	pieces := map[int]bool{}
	var foreign []string
	for _, handle := range strings.Split(inputs, ",") {
		res, ok := m.d.find(handle)
		if !ok {
			h.Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusConflict)
			return
		}
		if res.id != id || pieces[res.piece] {
			foreign = append(foreign, fmt.Sprintf("%s, which is piece %d of %s", handle, res.piece, res.id))
		}
		pieces[res.piece] = true
	}
	m.mu.Lock()
	if len(foreign) > 0 {
		m.wrong++
		m.d.record.printf("MIXED: server %s runs %s with %s", m.row.id, id, strings.Join(foreign, "; "))
	} else {
		m.right++
		m.d.record.printf("server %s runs %s with its own results", m.row.id, id)
	}
	m.mu.Unlock()
	h.Set("X-Response-Seal", "seal-"+id)
	h.Set("Content-Type", "text/event-stream")
	time.Sleep(60 * time.Millisecond)
	for i := range 5 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d of %s\n\n", i+1, i+1, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// stageConfig is a configuration with three streams of different priority, whose requests have one
// stage.
func stageConfig() []byte {
	var routes []any
	for priority, name := range []string{"dispute-review", "season-recap", "rules-query"} {
		routes = append(routes, map[string]any{
			"name": name, "host": "ladder.example", "pathPrefix": "/" + name + "/", "kind": "stream", "timeoutMs": 12000, "sloMs": 2000,
			"priority": priority, "service": "umpire-llm", "attempts": 1, "public": true, "sticky": true, "resumable": false, "gapTargetMs": 200,
			"stages": []any{map[string]any{"service": "club-roster", "after": []int{}, "bytes": resultBytes}},
		})
	}
	body, err := json.Marshal(map[string]any{
		"version": 3,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "umpire-llm", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0, "engine": map[string]any{
				"slots": 64, "kvCapTokens": 548610, "kvTokenBytes": 327680, "linkMbps": 550000, "moves": true, "backups": true, "stride": 3, "most": 12,
				"pinMs": 4000, "holdMs": 2000, "handleS": 5, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "club-roster", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0, "pieces": map[string]any{
				"slots": 1, "queue": 2, "batch": stageBatch, "callMs": stageCallTime.Milliseconds(), "itemMs": stageItemTime.Milliseconds(),
				"headroomMb": stageRoom / 1e6, "handleS": stageKeep.Seconds(), "linkMbps": 10000,
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{},
	})
	if err != nil {
		panic(err) // Cannot fail: the values have simple types.
	}
	return body
}

// playStages checks that requests are given the results of their own pieces. One of eight
// stage servers fails a part of its calls, and it and three others send a part of their answers a
// second time.
func playStages(d *deployment, trouble bool) (bool, error) {
	for i, zone := range []string{"a", "b", "c", "a", "b", "c", "a", "b"} {
		if _, err := d.addStageServer(zone, trouble && i == 0, trouble && i < 4); err != nil {
			return false, err
		}
	}
	var models []*modelServer
	for _, zone := range []string{"a", "b"} {
		m, err := d.addModelServer(zone)
		if err != nil {
			return false, err
		}
		models = append(models, m)
	}
	if err := d.start(2); err != nil {
		return false, err
	}
	if err := d.orderUntilAcknowledged(nil, http.MethodPut, "/api/config", stageConfig()); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	c := newClient(d, "")
	var wg sync.WaitGroup
	routes := []string{"/dispute-review/", "/season-recap/", "/rules-query/"}
	for i := 0; time.Since(d.record.start) < 100*time.Second; i++ {
		wg.Go(func() {
			if address, err := c.resolve(); err == nil {
				c.send(address, http.MethodPost, routes[i%3]+"x", "X-Deadline-Ms", "8000", "X-Pieces", fmt.Sprint(stageBatch), "X-Piece-Key", "7c1e07a291bd",
					"X-Model", "m", "X-Token-Count", "1460,80", "X-Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%x:660", rand.Uint32()))
			}
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(30*time.Millisecond)))
		if wrong(models) > 0 {
			break
		}
	}
	wg.Wait()
	d.mu.Lock()
	for _, s := range d.stageServers {
		d.record.printf("stage server %s sent %d of its %d answers to calls a second time", s.id, s.extras, s.answers)
	}
	d.mu.Unlock()
	d.record.printf("%d requests ran with results of other requests", wrong(models))
	return wrong(models) > 0, nil
}

func wrong(models []*modelServer) int {
	n := 0
	for _, m := range models {
		m.mu.Lock()
		n += m.wrong
		m.mu.Unlock()
	}
	return n
}
