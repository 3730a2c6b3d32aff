package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow"] = slow }

const (
	// slowWork is how long each request takes at its server.
	slowWork     = 900 * time.Millisecond
	slowRequests = 40
)

// slow changes the configuration: the new version adds a route to the service of the first one, with a shorter
// time-out, which is still far longer than a request takes. With TROUBLE=0 the added route has the time-out of the
// first one.
func slow(rec *recorder, trouble bool) verdict {
	prefix := freePrefix()
	p := newPlatform(rec, prefix)
	for i := range 4 {
		p.add("app", zoneNames[i], 6, 24, slowWork)
	}
	f := newFleet(rec, prefix, 5, 4)
	defer f.stopAll()
	f.startAll()
	host := "pule25.example"
	o := &operator{rec: rec, fleet: f, ip: prefix + ".5.1"}
	first, added := route("r-1", "/puxa400/", "idempotent", 2), route("r-2", "/lo7/", "idempotent", 2)
	timeout := 3000 * time.Millisecond
	if trouble {
		timeout = 1500 * time.Millisecond
	}
	added["timeoutMs"] = timeout.Milliseconds()
	services := []map[string]any{service("app")}
	if _, ok := o.order("PUT", "/api/config", plan(7, host, []map[string]any{first}, services), 20*time.Second, f.cores()...); !ok {
		panic("the configuration was not acknowledged")
	}
	c := newClients(rec, f, host)
	awaitReady(c, f, "/puxa400/2f")
	if _, ok := o.order("PUT", "/api/config", plan(9, host, []map[string]any{first, added}, services), 4*time.Second, f.cores()...); !ok {
		panic("the second configuration was not acknowledged")
	}
	time.Sleep(4 * time.Second)
	var onFirst, onAdded atomic.Int32
	var wg sync.WaitGroup
	for i := range slowRequests {
		m := f.fronts()[i%len(f.fronts())]
		wg.Go(func() {
			if c.send(m, http.MethodGet, "/puxa400/2f", 3*time.Second) == http.StatusOK {
				onFirst.Add(1)
			}
		})
		wg.Go(func() {
			if c.send(m, http.MethodGet, "/lo7/2f", timeout) == http.StatusOK {
				onAdded.Add(1)
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	wg.Wait()
	runs := map[string]int{}
	for _, a := range p.arrivals() {
		if a.ran && strings.HasPrefix(a.target, "/lo7/") {
			runs[a.id]++
		}
	}
	all := 0
	for _, n := range runs {
		all += n
	}
	rec.printf("result: of %d requests on each route, %d served on the first one and %d on the added one, where servers ran %d requests %d times; answers by status: %v",
		slowRequests, onFirst.Load(), onAdded.Load(), len(runs), all, c.status)
	if onFirst.Load() < slowRequests/2 {
		return failed
	}
	if 4*onAdded.Load() < onFirst.Load() {
		return broken
	}
	return held
}
