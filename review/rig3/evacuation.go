package main

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeFor is the longest freeze of the site file.
	freezeFor = 7 * time.Second
	// resendFor is longer than an order may be sent again (ackMs).
	resendFor = 4100 * time.Millisecond
	evacBound = 5 * time.Second
	// outerTime is by how much an unstable core may stretch the bound.
	outerTime      = 5 * time.Second
	contactTime    = 3 * time.Second
	evacuationRuns = 8
)

func init() { cases["evacuation"] = evacuation }

// evacuation freezes a machine of the core for seven seconds, again and again. Meanwhile the operator takes the
// evacuation of three zones back. It gets no answer from the frozen machine within a second, closes the connection
// and sends the order to another one, which acknowledges it. More than ackMs later the operator evacuates the
// zones anew. When the machine wakes, it finds the old orders.
func evacuation(rec *recorder, trouble bool) verdict {
	prefix := freePrefix()
	p := newPlatform(rec, prefix)
	for i := range 8 {
		p.add("app", zoneNames[i%len(zoneNames)], 6, 24, 15*time.Millisecond)
	}
	f := newFleet(rec, prefix, 5, 4)
	defer f.stopAll()
	f.startAll()
	host := "pule25.example"
	o := &operator{rec: rec, fleet: f, ip: prefix + ".5.1"}
	cores := f.cores()
	body := plan(7, host, []map[string]any{{
		"name": "r-1", "pathPrefix": "/puxa400/", "kind": "idempotent", "timeoutMs": 1500, "sloMs": 200, "priority": 1, "service": "app", "attempts": 2, "public": true,
	}}, []map[string]any{{"name": "app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0}})
	if _, ok := o.order("PUT", "/api/config", body, 20*time.Second, cores...); !ok {
		panic("the configuration was not acknowledged")
	}
	c := newClients(rec, f, host)
	awaitReady(c, f, "/puxa400/2f")
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	go c.load(40, "GET", "/puxa400/2f", 1500*time.Millisecond, stop)

	zones := []string{"b", "c", "d"}
	both := func(method string, machines []*machine) (last time.Time) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		missing := ""
		for _, zone := range zones {
			wg.Go(func() {
				at, ok := o.order(method, "/api/evacuate/"+zone, nil, 4*time.Second, machines...)
				mu.Lock()
				defer mu.Unlock()
				if !ok {
					missing = method + " of zone " + zone
				}
				if at.After(last) {
					last = at
				}
			})
		}
		wg.Wait()
		if missing != "" {
			panic(missing + " was not acknowledged")
		}
		return last
	}
	both("POST", cores)
	time.Sleep(evacBound)
	late, all := 0, 0
	for run := range evacuationRuns {
		target, others := cores[len(cores)-1], cores[:len(cores)-1]
		frozen := time.Now()
		if trouble {
			f.signal(target, syscall.SIGSTOP)
		}
		back := both("DELETE", append([]*machine{target}, others...))
		time.Sleep(time.Until(back.Add(resendFor)))
		acked := both("POST", others)
		time.Sleep(time.Until(frozen.Add(freezeFor)))
		if trouble {
			f.signal(target, syscall.SIGCONT)
		}
		// The core is stable and all fronts are in touch from contactMs after the freeze on.
		from := acked.Add(evacBound)
		if calm := time.Now().Add(contactTime + 200*time.Millisecond); calm.After(from) {
			from = calm
		}
		time.Sleep(time.Until(from.Add(1500 * time.Millisecond)))
		count := func(from time.Time) (outside, counted int) {
			for _, a := range p.arrivals() {
				if a.at.After(from) && a.ran {
					counted++
					if slices.Contains(zones, a.zone) {
						outside++
					}
				}
			}
			rec.printf("run %d: later than %.3f s after the acknowledgement, %d of %d requests reached servers in the evacuated zones",
				run+1, from.Sub(acked).Seconds(), outside, counted)
			return outside, counted
		}
		outside, counted := count(from)
		if outside > 0 {
			// Only what comes after the stretched bound counts.
			from = acked.Add(evacBound + outerTime)
			time.Sleep(time.Until(from.Add(2 * time.Second)))
			outside, counted = count(from)
		}
		late, all = late+outside, all+counted
		if late > 0 {
			break
		}
	}
	close(stop)
	c.wg.Wait()
	rec.printf("result: %d of %d requests too late; clients' answers by status: %v", late, all, c.status)
	if all < 20 || c.status[http.StatusOK] < 200 {
		return failed
	}
	if late > 0 {
		return broken
	}
	return held
}
