package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	budgetRatio  = 0.2
	budgetSlack  = 56
	budgetWindow = 10 * time.Second
	// budgetLoad is the usual number of requests a second, for which the servers in the first zone have room. The
	// burst has 2.5 times as many.
	budgetLoad = 10.0
	budgetWork = 280 * time.Millisecond
)

func init() { cases["budget"] = budget }

// budget stops and starts the machines that clients use in turn, as in planned work, while two zones of three are
// evacuated. After that the zones are taken back, and for some seconds more requests come than the servers take.
func budget(rec *recorder, trouble bool) verdict {
	prefix := freePrefix()
	p := newPlatform(rec, prefix)
	zones := zoneNames[:3]
	for i := range 4 {
		p.add("app", []string{"a", "a", "a", "b"}[i], 1, 1, budgetWork)
	}
	f := newFleet(rec, prefix, 5, 9)
	defer f.stopAll()
	for i, m := range f.fronts() {
		m.zone = zones[i%len(zones)]
		f.writeSettings(m, true)
	}
	f.startAll()
	host := "pule25.example"
	o := &operator{rec: rec, fleet: f, ip: prefix + ".5.1"}
	routes := []map[string]any{route("r-1", "/puxa400/", "idempotent", 3)}
	if _, ok := o.order("PUT", "/api/config", plan(7, host, routes, []map[string]any{service("app")}), 20*time.Second, f.cores()...); !ok {
		panic("the configuration was not acknowledged")
	}
	c := newClients(rec, f, host)
	awaitReady(c, f, "/puxa400/2f")
	stop := make(chan struct{})
	go c.load(budgetLoad, "GET", "/puxa400/2f", 3*time.Second, stop)
	time.Sleep(3 * time.Second)
	evacuate := func(method string) {
		for _, zone := range zones[1:] {
			if _, ok := o.order(method, "/api/evacuate/"+zone, nil, 4*time.Second, f.cores()...); !ok {
				panic(method + " of zone " + zone + " was not acknowledged")
			}
		}
	}
	evacuate("POST")
	time.Sleep(5 * time.Second)
	var restarts sync.WaitGroup
	for _, m := range f.fronts() {
		if trouble {
			f.signal(m, syscall.SIGTERM)
			restarts.Go(func() {
				select {
				case <-m.done:
				case <-time.After(8 * time.Second):
					f.kill(m)
				}
				f.start(m)
			})
		}
		time.Sleep(time.Second)
	}
	restarts.Wait()
	time.Sleep(5 * time.Second)
	evacuate("DELETE")
	time.Sleep(6 * time.Second)
	rec.printf("more requests come")
	burst := make(chan struct{})
	go c.load(1.5*budgetLoad, "GET", "/puxa400/2f", 3*time.Second, burst)
	time.Sleep(6900 * time.Millisecond)
	close(burst)
	time.Sleep(6 * time.Second)
	close(stop)
	c.wg.Wait()

	var firsts, repeats []time.Time
	seen := map[string]bool{}
	came := p.arrivals()
	sort.Slice(came, func(i, j int) bool { return came[i].at.Before(came[j].at) })
	for _, a := range came {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	c.mu.Lock()
	for _, at := range c.sent {
		firsts = append(firsts, at)
	}
	c.mu.Unlock()
	count := func(list []time.Time, from time.Time) (n int) {
		for _, t := range list {
			if !t.Before(from) && t.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, at := -1e9, ""
	for _, start := range repeats {
		n := count(repeats, start)
		requests := max(count(firsts, start), count(firsts, start.Add(-budgetWindow)), count(firsts, start.Add(-budgetWindow/2)))
		allowed := budgetRatio*float64(requests) + budgetSlack
		if over := float64(n) - allowed; over > worst {
			worst = over
			at = fmt.Sprintf("%d repeats in 10 s from %.3f s on, %.1f allowed for %d requests", n, start.Sub(rec.start).Seconds(), allowed, requests)
		}
	}
	rec.printf("result: %s; answers by status: %v", at, c.status)
	if len(repeats) < 20 || c.status[http.StatusOK] < 50 {
		return failed
	}
	if worst > 0 {
		return broken
	}
	return held
}
