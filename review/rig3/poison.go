package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

const (
	poisonBody = "a request that crashes the server that runs it"
	// crashDelay is how long after its first event such a request crashes its server. CRASH_MS replaces it.
	crashDelay   = 800 * time.Millisecond
	poisonPause  = 2500 * time.Millisecond
	poisonSends  = 16
	poisonBound  = 3
	serverReturn = 3 * time.Second
)

// poison sends a request that crashes each model server which begins to run it, again and again, with the same
// path, caller and body, at all machines in turn. The server crashes when it has sent some events.
func poison(rec *recorder, trouble bool) verdict {
	prefix := freePrefix()
	p := newPlatform(rec, prefix)
	delay := crashDelay
	if ms, err := strconv.Atoi(os.Getenv("CRASH_MS")); err == nil {
		delay = time.Duration(ms) * time.Millisecond
	}
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 8 {
		s := p.add("llm", zoneNames[i%len(zoneNames)], 64, 134, 60*time.Millisecond)
		s.isEngine, s.events = true, 20
		s.onBody = func(body []byte) {
			if !trouble || string(body) != poisonBody {
				return
			}
			time.AfterFunc(delay, func() {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				s.crash(serverReturn, 0)
			})
		}
	}
	f := newFleet(rec, prefix, 5, 4)
	defer f.stopAll()
	f.startAll()
	host := "pule25.example"
	o := &operator{rec: rec, fleet: f, ip: prefix + ".5.1"}
	r := route("r-1", "/puxa400/", "stream", 1)
	r["service"], r["sticky"], r["resumable"], r["gapTargetMs"], r["timeoutMs"], r["sloMs"] = "llm", true, false, 200, 15000, 1500
	s := service("llm")
	s["maxConns"] = 370
	s["engine"] = map[string]any{
		"slots": 64, "kvCapTokens": 548610, "kvTokenBytes": 327680, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 3, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
	}
	if _, ok := o.order("PUT", "/api/config", plan(7, host, []map[string]any{r}, []map[string]any{s}), 20*time.Second, f.cores()...); !ok {
		panic("the configuration was not acknowledged")
	}
	c := newClients(rec, f, host)
	c.header = func() http.Header {
		h := http.Header{}
		h.Set("X-Model", "m")
		h.Set("X-Token-Count", "600,12")
		h.Set("X-Prefix-Hash", fmt.Sprintf("%08x:350,%08x:250", 0x5c1e0000+rand.IntN(40), rand.Uint32()))
		return h
	}
	awaitReady(c, f, "/puxa400/2f")
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	go c.load(30, "POST", "/puxa400/2f", 12*time.Second, stop)
	time.Sleep(3 * time.Second)
	sent := map[string]time.Time{}
	for i := range poisonSends {
		id := fmt.Sprintf("%016x", rand.Uint64())
		sent[id] = time.Now()
		m := f.fronts()[i%len(f.fronts())]
		go c.sendPoison(m, id)
		time.Sleep(poisonPause)
	}
	close(stop)
	c.wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	late, all := 0, 0
	for _, a := range p.arrivals() {
		at, ok := sent[a.id]
		if !ok || !a.ran {
			continue
		}
		all++
		if len(crashes) >= 3 && at.After(crashes[2].Add(contactTime)) {
			late++
		}
	}
	rec.printf("result: the request reached servers %d times and crashed %d, %d times later than contactMs after the third crash, %d allowed; %d of the others' answers were cut off; answers by status: %v",
		all, len(crashes), late, poisonBound, c.cut.Load(), c.status)
	if c.status[http.StatusOK] < 300 {
		return failed
	}
	if late > poisonBound {
		return broken
	}
	return held
}

// sendPoison sends the request once more, with an ID of its own.
func (c *clients) sendPoison(m *machine, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr(m.ip, frontPort)+"/puxa400/7c", bytes.NewReader([]byte(poisonBody)))
	check(err)
	req.Host = c.host
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Count", "600,12")
	req.Header.Set("X-Prefix-Hash", "0ddba110:350,0ddba111:250")
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "12000")
	resp, err := c.transport(c.ip).RoundTrip(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	c.rec.printf("client: the request that crashes servers, %s, at %s: %d %v", id, m.name, status, err)
}
