package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["pieces"] = pieces }

const (
	// The figures of a stage are those of club-roster in the site file.
	stagePieces = 8
	callTime    = 150 * time.Millisecond
	itemTime    = 16 * time.Millisecond
	// extraShare is the share of the answers of a faulty server after which it sends a second one.
	extraShare = 0.05
	// errorShare is the share of calls that a server answers with the reason error for each item.
	errorShare = 0.1
)

// result is a result that a maker holds.
type result struct {
	request      string
	stage, piece int
}

// results are those of all makers, by handle.
type results struct {
	mu   sync.Mutex
	held map[string]result
	next int
}

// maker is a server that makes pieces. It speaks HTTP/1.1 by itself, since a faulty one also sends answers
// that belong to no request.
type maker struct {
	p        *platform
	s        *server
	results  *results
	isFaulty bool
	// turn holds the one slot.
	turn   chan struct{}
	extras int
	mu     sync.Mutex
}

func (m *maker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go m.converse(c)
	}
}

// converse serves one connection, a request at a time.
func (m *maker) converse(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	// extra is an answer that is sent again, late, at the point where the next one is expected.
	var extra []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra != nil {
			m.p.rec.printf("server %s sends its last answer once more, on a connection with the next request", m.s.id)
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer, repeats := m.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if repeats {
			extra = answer
		}
	}
}

func (m *maker) answer(r *http.Request, body []byte) (answer []byte, repeats bool) {
	var out []byte
	switch {
	case r.URL.Path == "/healthz":
		return message("200 OK", "", nil), false
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != m.s.id:
		return message("421 Misdirected Request", "X-Not-Run: 1\r\n", nil), false
	case r.URL.Path == "/api/stage-free":
		var call struct{ Handles []string }
		_ = json.Unmarshal(body, &call)
		m.results.mu.Lock()
		for _, h := range call.Handles {
			delete(m.results.held, h)
		}
		m.results.mu.Unlock()
		out = []byte("{}")
	default:
		out = m.run(body)
	}
	repeats = m.isFaulty && rand.Float64() < extraShare
	if repeats {
		m.mu.Lock()
		m.extras++
		m.mu.Unlock()
	}
	return message("200 OK", "X-Instance-Load: 0,0,1\r\nContent-Type: application/json\r\n", out), repeats
}

func message(status, header string, body []byte) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body))
}

// run makes the pieces of a call.
func (m *maker) run(body []byte) []byte {
	var call struct {
		Items []struct {
			ID           string
			Stage, Piece int
		}
	}
	_ = json.Unmarshal(body, &call)
	m.turn <- struct{}{}
	time.Sleep(callTime + time.Duration(len(call.Items))*itemTime)
	<-m.turn
	items := make([]map[string]string, len(call.Items))
	isError := rand.Float64() < errorShare
	m.results.mu.Lock()
	defer m.results.mu.Unlock()
	for i, it := range call.Items {
		if isError {
			items[i] = map[string]string{"reason": "error"}
			continue
		}
		m.results.next++
		handle := fmt.Sprintf("%s/%08x", addr(m.s.ip, appPort), m.results.next)
		m.results.held[handle] = result{it.ID, it.Stage, it.Piece}
		items[i] = map[string]string{"handle": handle}
	}
	out, _ := json.Marshal(map[string]any{"items": items})
	return out
}

// addMaker starts a server that makes pieces.
func (p *platform) addMaker(service, zone string, rs *results, isFaulty bool) *maker {
	s := p.newServer(service, zone, 1, 2, 0)
	m := &maker{p: p, s: s, results: rs, isFaulty: isFaulty, turn: make(chan struct{}, 1)}
	l, err := net.Listen("tcp", addr(s.ip, appPort))
	check(err)
	go m.serve(l)
	return m
}

// pieces lets some servers that make the pieces of a stage send second answers, and checks which results the
// model servers are told to read.
func pieces(rec *recorder, trouble bool) verdict {
	prefix := freePrefix()
	p := newPlatform(rec, prefix)
	rs := &results{held: map[string]result{}}
	var makers []*maker
	for i := range 4 {
		makers = append(makers, p.addMaker("roster", zoneNames[i], rs, trouble && i < 2))
	}
	var mu sync.Mutex
	read, mixed := 0, 0
	for i := range 4 {
		s := p.add("llm", zoneNames[i], 64, 134, 20*time.Millisecond)
		s.isEngine = true
		s.onInputs = func(id string, handles []string) int {
			rs.mu.Lock()
			defer rs.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			var own []string
			foreign := ""
			for _, h := range handles {
				r, ok := rs.held[h]
				if !ok {
					return http.StatusConflict
				}
				if r.request != id {
					foreign = fmt.Sprintf("%s of request %s", h, r.request)
				}
				own = append(own, h)
			}
			read++
			if foreign != "" || len(own) != stagePieces {
				mixed++
				rec.printf("mixed: request %s is given %d inputs, among them %s", id, len(own), foreign)
			}
			return http.StatusOK
		}
	}
	f := newFleet(rec, prefix, 5, 4)
	defer f.stopAll()
	f.startAll()
	host := "pule25.example"
	o := &operator{rec: rec, fleet: f, ip: prefix + ".5.1"}
	r := route("r-1", "/puxa400/", "stream", 1)
	r["service"], r["sticky"], r["resumable"], r["gapTargetMs"], r["timeoutMs"], r["sloMs"] = "llm", true, false, 200, 15000, 2000
	r["stages"] = []map[string]any{{"service": "roster", "after": []int{}, "bytes": 8000}}
	s := service("llm")
	s["maxConns"] = 370
	s["engine"] = map[string]any{
		"slots": 64, "kvCapTokens": 548610, "kvTokenBytes": 327680, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 3, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
	}
	t := service("roster")
	t["maxConns"] = 370
	t["pieces"] = map[string]any{
		"slots": 1, "queue": 2, "batch": stagePieces, "callMs": callTime.Milliseconds(), "itemMs": itemTime.Milliseconds(), "headroomMb": 36.0, "handleS": 4.0, "linkMbps": 10000,
	}
	if _, ok := o.order("PUT", "/api/config", plan(7, host, []map[string]any{r}, []map[string]any{s, t}), 20*time.Second, f.cores()...); !ok {
		panic("the configuration was not acknowledged")
	}
	c := newClients(rec, f, host)
	c.header = func() http.Header {
		h := http.Header{}
		h.Set("X-Model", "m")
		h.Set("X-Token-Count", "600,12")
		h.Set("X-Prefix-Hash", fmt.Sprintf("%08x:350,%08x:250", 0x5c1e0000+rand.IntN(40), rand.Uint32()))
		h.Set("X-Pieces", fmt.Sprint(stagePieces))
		h.Set("X-Piece-Key", fmt.Sprintf("%012x", rand.Uint64()>>16))
		return h
	}
	awaitReady(c, f, "/puxa400/2f")
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	rate := 12.0
	if text := os.Getenv("RATE"); text != "" {
		_, _ = fmt.Sscan(text, &rate)
	}
	go c.load(rate, "POST", "/puxa400/2f", 12*time.Second, stop)
	time.Sleep(90 * time.Second)
	close(stop)
	c.wg.Wait()
	extras := 0
	for _, m := range makers {
		m.mu.Lock()
		extras += m.extras
		m.mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	rec.printf("result: %d of %d requests were given inputs of another request; %d second answers; clients' answers by status: %v", mixed, read, extras, c.status)
	if read < 200 {
		return failed
	}
	if mixed > 0 {
		return broken
	}
	return held
}

// inputsOf returns the handles that a request names.
func inputsOf(h http.Header) []string {
	return strings.FieldsFunc(h.Get("X-Inputs"), func(r rune) bool { return r == ',' })
}
