package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// answers are lost for lossTime, after calmTime without a disruption.
	calmTime = 3 * time.Second
	lossTime = 4 * time.Second
)

// onceRequest is a form of request that may run once. None of them has a body.
type onceRequest struct {
	method, path string
	fields       []string
}

var onceRequests = []onceRequest{
	{http.MethodGet, "/once/next-match", nil},
	{http.MethodGet, "/stream/recap", nil},
	{http.MethodPost, "/once/result", []string{"Idempotency-Key", "result-of-table-3"}},
}

// playReplay checks that a request that may run once runs once if its answer is lost. For lossTime,
// one of two servers resets the connections of two in five such requests that it ran. The client
// also reads, on a route of the same service whose requests may be repeated.
func playReplay(d *deployment, trouble bool) (bool, error) {
	var isLossy atomic.Bool
	for i, zone := range []string{"a", "b"} {
		loses := func(r *http.Request, run int) bool {
			return isLossy.Load() && i == 0 && !strings.HasPrefix(r.URL.Path, "/read/") && run%5 >= 3
		}
		if _, err := d.addServer(zone, loses); err != nil {
			return false, err
		}
	}
	if err := d.start(2); err != nil {
		return false, err
	}
	if err := d.orderUntilAcknowledged(nil, http.MethodPut, "/api/config", config(3, []map[string]any{tenant("club", "key-of-club")})); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	c := newClient(d, "key-of-club")
	forms := map[string]onceRequest{}
	start := time.Now()
	for i := 0; time.Since(start) < 2*calmTime+lossTime; i++ {
		isLossy.Store(trouble && time.Since(start) > calmTime && time.Since(start) < calmTime+lossTime)
		address, err := c.resolve()
		if err != nil {
			return false, err
		}
		c.send(address, http.MethodGet, "/read/standings")
		form := onceRequests[i%len(onceRequests)]
		id, _ := c.send(address, form.method, form.path, form.fields...)
		forms[id] = form
		time.Sleep(20 * time.Millisecond)
	}
	counts := map[string]int{}
	for _, r := range d.runs() {
		counts[r.id]++
	}
	repeated, ran := 0, 0
	for id, form := range forms {
		if counts[id] > 0 {
			ran++
		}
		if counts[id] > 1 {
			repeated++
			d.record.printf("TWICE: %s ran %d times: %s %s", id, counts[id], form.method, form.path)
		}
	}
	d.record.printf("of %d requests that may run once, %d ran and %d of these ran more than once", len(forms), ran, repeated)
	return repeated > 0, nil
}
