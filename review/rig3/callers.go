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
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to the machines that the directory names, each on a new connection.
type clients struct {
	rec   *recorder
	fleet *fleet
	ip    string
	host  string
	wg    sync.WaitGroup
	mu    sync.Mutex
	// header returns what a request has besides its ID and its deadline; it may be nil.
	header func() http.Header
	// cut is the number of answers that had begun and did not end.
	cut    atomic.Int64
	status map[int]int
	sent   map[string]time.Time
	// named are the addresses that the directory last named to the clients of each zone, without those that have
	// failed them since.
	named map[string][]string
}

func newClients(rec *recorder, f *fleet, host string) *clients {
	return &clients{rec: rec, fleet: f, ip: f.prefix + ".4.1", host: host, status: map[int]int{}, sent: map[string]time.Time{}, named: map[string][]string{}}
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

// longestTTL is ttl_max_s.
const longestTTL = 5 * time.Second

// follow asks the directory for the clients of a zone until stop is closed: up to three machines, nearest first, a
// second for each. An answer is kept for its time, and for longer if there is no new one.
func (c *clients) follow(zone string, stop <-chan struct{}) {
	for {
		ttl := 200 * time.Millisecond
		order := append([]*machine(nil), c.fleet.machines...)
		rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		sort.SliceStable(order, func(i, j int) bool { return order[i].zone == zone && order[j].zone != zone })
		for _, m := range order[:3] {
			if addrs, d, ok := c.resolve(m, zone); ok {
				ttl = min(d, longestTTL)
				c.mu.Lock()
				c.named[zone] = addrs
				c.mu.Unlock()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(ttl):
		}
	}
}

func (c *clients) resolve(m *machine, zone string) ([]string, time.Duration, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr(m.ip, dirPort)+"/api/resolve?name="+c.host+"&region=r&zone="+zone, nil)
	check(err)
	resp, err := c.transport(c.ip).RoundTrip(req)
	if err != nil {
		return nil, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addrs []string
		TTLS  float64
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || resp.StatusCode != http.StatusOK || len(body.Addrs) == 0 {
		return nil, 0, false
	}
	return body.Addrs, time.Duration(body.TTLS * float64(time.Second)), true
}

// pick returns a machine that the directory names to the clients of a zone, or nil.
func (c *clients) pick(zone string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := c.named[zone]
	if len(named) == 0 {
		return nil
	}
	at := named[rand.IntN(len(named))]
	for _, m := range c.fleet.fronts() {
		if addr(m.ip, frontPort) == at {
			return m
		}
	}
	return nil
}

// avoid takes a machine that has failed out of what the directory last named, if others are left.
func (c *clients) avoid(zone string, m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := slices.DeleteFunc(slices.Clone(c.named[zone]), func(at string) bool { return at == addr(m.ip, frontPort) })
	if len(left) > 0 {
		c.named[zone] = left
	}
}

// load sends perSecond requests a second from all zones, to machines that the directory names, until stop is closed.
func (c *clients) load(perSecond float64, method, path string, deadline time.Duration, stop <-chan struct{}) {
	zones := map[string]bool{}
	for _, m := range c.fleet.machines {
		zones[m.zone] = true
	}
	var names []string
	for zone := range zones {
		names = append(names, zone)
		go c.follow(zone, stop)
	}
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			zone := names[rand.IntN(len(names))]
			m := c.pick(zone)
			if m == nil {
				continue
			}
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				if c.send(m, method, path, deadline) == 0 {
					c.avoid(zone, m)
				}
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
	client := &http.Client{Transport: tr, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	resp, err := client.Do(req)
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
