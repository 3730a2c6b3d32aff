package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"time"
)

const (
	coldFor   = 3 * time.Second
	coldPerS  = 6.6
	coldOver  = 1.5
	coldSlack = 5
)

func init() { cases["cold"] = cold }

// cold lets a model server crash, which is back a second later under the ID that it had, and cold.
func cold(rec *recorder, trouble bool) verdict {
	prefix := freePrefix()
	p := newPlatform(rec, prefix)
	var engines []*server
	for i := range 4 {
		s := p.add("llm", zoneNames[i], 64, 134, 20*time.Millisecond)
		s.isEngine, s.coldS = true, coldFor.Seconds()
		engines = append(engines, s)
	}
	f := newFleet(rec, prefix, 5, 8)
	defer f.stopAll()
	f.startAll()
	host := "pule25.example"
	o := &operator{rec: rec, fleet: f, ip: prefix + ".5.1"}
	r := route("r-1", "/puxa400/", "stream", 2)
	r["service"], r["sticky"], r["resumable"], r["gapTargetMs"], r["timeoutMs"], r["sloMs"] = "llm", true, true, 200, 15000, 1500
	s := service("llm")
	s["coldS"], s["coldPerS"], s["maxConns"] = coldFor.Seconds(), coldPerS, 370
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
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	go c.load(100, "POST", "/puxa400/2f", 12*time.Second, stop)
	time.Sleep(6 * time.Second)
	type span struct {
		server   *server
		from, to time.Time
	}
	var spans []span
	for _, s := range engines[:3] {
		back := time.Now()
		if trouble {
			back = s.crash(time.Second, coldFor)
		}
		spans = append(spans, span{s, back, back.Add(coldFor)})
		time.Sleep(9 * time.Second)
	}
	close(stop)
	c.wg.Wait()

	allowed := coldPerS*coldOver + coldSlack
	worst, total := 0, 0
	came := p.arrivals()
	sort.Slice(came, func(i, j int) bool { return came[i].at.Before(came[j].at) })
	for _, x := range spans {
		var at, sent []time.Time
		for _, a := range came {
			if a.server == x.server.id && a.at.After(x.from) && a.at.Before(x.to) {
				at = append(at, a.at)
				sent = append(sent, c.sent[a.id])
			}
		}
		most, when := 0, time.Time{}
		for i := range at {
			// Only requests that were sent inside that second count.
			n := 0
			for k := i; k < len(at) && at[k].Sub(at[i]) < time.Second; k++ {
				if !sent[k].Before(at[i].Add(-2 * time.Millisecond)) {
					n++
				}
			}
			if n > most {
				most, when = n, at[i]
			}
		}
		rec.printf("server %s: at most %d requests in a second, from %.3f s after its start on; %.1f allowed", x.server.id, most, when.Sub(x.from).Seconds(), allowed)
		worst, total = max(worst, most), total+len(at)
	}
	state := "cold"
	if !trouble {
		state = "warm"
	}
	rec.printf("result: %d requests in a second at a %s server, %.1f allowed at a cold one; clients' answers by status: %v", worst, state, allowed, c.status)
	if c.status[http.StatusOK] < 1000 {
		return failed
	}
	if trouble && float64(worst) > allowed {
		return broken
	}
	return held
}
