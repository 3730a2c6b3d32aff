package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to the machines that are ready, each on a new connection.
type clients struct {
	rec   *recorder
	fleet *fleet
	ip    string
	host  string
	last  atomic.Int64
	wg    sync.WaitGroup
	mu    sync.Mutex
	// header returns what a request has besides its ID and its deadline; it may be nil.
	header func() http.Header
	// cut is the number of answers that had begun and did not end.
	cut    atomic.Int64
	status map[int]int
	sent   map[string]time.Time
}

func newClients(rec *recorder, f *fleet, host string) *clients {
	return &clients{rec: rec, fleet: f, ip: f.prefix + ".4.1", host: host, status: map[int]int{}, sent: map[string]time.Time{}}
}

func (c *clients) transport(ip string) *http.Transport {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: time.Second}
	return &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
}

// send sends one request to a machine and returns the status of its answer, or 0.
func (c *clients) send(m *machine, method, path string, deadline time.Duration) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr(m.ip, frontPort)+path, nil)
	check(err)
	req.Host = c.host
	if c.header != nil {
		req.Header = c.header()
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	start := time.Now()
	c.mu.Lock()
	c.sent[id] = start
	c.mu.Unlock()
	tr := c.transport(c.ip)
	resp, err := tr.RoundTrip(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			c.cut.Add(1)
		}
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	c.status[status]++
	c.mu.Unlock()
	c.rec.printf("client: %s %s %s at %s, sent %.3f s ago: %d %v", id, method, path, m.name, time.Since(start).Seconds(), status, err)
	return status
}

// load sends perSecond requests a second to machines drawn by lot until stop is closed.
func (c *clients) load(perSecond float64, method, path string, deadline time.Duration, stop <-chan struct{}) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	fronts := c.fleet.fronts()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			m := fronts[rand.IntN(len(fronts))]
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(m, method, path, deadline)
			}()
		}
	}
}

// operator sends orders as PROTOCOL.md says: to one machine of the core, and after a second without an answer,
// a failure or a 5xx to the next one.
type operator struct {
	rec   *recorder
	fleet *fleet
	ip    string
}

// try sends an order to one machine and waits for a second. It returns the status, or 0.
func (o *operator) try(m *machine, method, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr(m.ip, coreBase)+path, bytes.NewReader(body))
	check(err)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(o.ip)}, Timeout: time.Second}
	tr := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true}
	start := time.Now()
	resp, err := tr.RoundTrip(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	o.rec.printf("operator: %s %s at %s, after %.3f s: %d %v", method, path, m.name, time.Since(start).Seconds(), status, err)
	return status
}

// order sends an order to the given machines in turn until one acknowledges it, and returns when that was.
func (o *operator) order(method, path string, body []byte, limit time.Duration, machines ...*machine) (time.Time, bool) {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		if status := o.try(machines[i%len(machines)], method, path, body); status >= 200 && status < 300 {
			return time.Now(), true
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return time.Time{}, false
}

// plan returns a configuration with one service and the given routes.
func plan(version int, host string, routes []map[string]any, services []map[string]any) []byte {
	for _, r := range routes {
		r["host"] = host
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	check(err)
	return data
}

// awaitReady waits until all fronts are ready and serve a request.
func awaitReady(c *clients, f *fleet, path string) {
	end := time.Now().Add(20 * time.Second)
	for _, m := range f.fronts() {
		for c.send(m, "GET", path, 3*time.Second) != http.StatusOK {
			if time.Now().After(end) {
				panic(fmt.Sprintf("%s serves nothing after 20 s", m.name))
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// route returns a route to the service app, and service a service.
func route(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "pathPrefix": prefix, "kind": kind, "timeoutMs": 3000, "sloMs": 200, "priority": 1, "service": "app", "attempts": attempts, "public": true,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0}
}
