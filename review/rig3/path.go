package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func init() { cases["path"] = path }

// path changes the configuration: the new version adds a route for all paths of the host. Clients send requests
// to paths of which some begin with two slashes. Each request that a server runs must have the path that its
// client sent.
func path(rec *recorder, trouble bool) verdict {
	prefix := freePrefix()
	p := newPlatform(rec, prefix)
	for i := range 4 {
		p.add("app", zoneNames[i], 6, 24, 15*time.Millisecond)
	}
	f := newFleet(rec, prefix, 5, 4)
	defer f.stopAll()
	f.startAll()
	host := "pule25.example"
	o := &operator{rec: rec, fleet: f, ip: prefix + ".5.1"}
	cores := f.cores()
	routes := []map[string]any{route("r-1", "/puxa400/", "idempotent", 2)}
	if _, ok := o.order("PUT", "/api/config", plan(7, host, routes, []map[string]any{service("app")}), 20*time.Second, cores...); !ok {
		panic("the configuration was not acknowledged")
	}
	c := newClients(rec, f, host)
	awaitReady(c, f, "/puxa400/2f")
	if trouble {
		routes = append(routes, route("r-2", "/", "non_idempotent", 1))
		if _, ok := o.order("PUT", "/api/config", plan(9, host, routes, []map[string]any{service("app")}), 4*time.Second, cores...); !ok {
			panic("the second configuration was not acknowledged")
		}
	}
	time.Sleep(4 * time.Second)
	sent := map[string]string{}
	for i := range 40 {
		target := []string{"/puxa400/2f", "/puxa400//2f?a=//b", "//lo7/2f", "//lo7//2f?q=1"}[i%4]
		id := fmt.Sprintf("%016x", rand.Uint64())
		sent[id] = target
		m := f.fronts()[i%len(f.fronts())]
		status, err := c.raw(m, "POST", target, id)
		rec.printf("client: %s POST %s at %s: %d %v", id, target, m.name, status, err)
	}
	ran, changed := 0, 0
	for _, a := range p.arrivals() {
		want, ok := sent[a.id]
		if !ok || !a.ran {
			continue
		}
		ran++
		if a.target != want || a.method != "POST" {
			changed++
			rec.printf("changed: %s was sent as POST %s and run as %s %s", a.id, want, a.method, a.target)
		}
	}
	rec.printf("result: %d of %d requests that ran had another path", changed, ran)
	if ran < 20 {
		return failed
	}
	if changed > 0 {
		return broken
	}
	return held
}

// raw sends a request with the target as it is, and returns the status of its answer.
func (c *clients) raw(m *machine, method, target, id string) (int, error) {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.ip)}, Timeout: time.Second}
	conn, err := d.Dial("tcp", addr(m.ip, frontPort))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello", method, target, c.host, id)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
