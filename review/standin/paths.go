package main

import (
	"fmt"
	"net/http"
	"time"
)

// playPaths checks that requests run with the path that their callers sent. The configuration
// changes: a route for all other paths of the host is added. Callers ask for paths that begin with
// one slash and with two.
func playPaths(d *deployment, trouble bool) (bool, error) {
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addServer(zone, nil); err != nil {
			return false, err
		}
	}
	if err := d.start(2); err != nil {
		return false, err
	}
	tenants := []map[string]any{tenant("club", "key-of-club")}
	if err := d.orderUntilAcknowledged(nil, http.MethodPut, "/api/config", config(3, tenants)); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	if trouble {
		body := config(6, tenants, route("others", "/", "idempotent", "ladder-core", 600))
		if err := d.orderUntilAcknowledged(nil, http.MethodPut, "/api/config", body); err != nil {
			return false, err
		}
	}
	time.Sleep(applyTime)
	c := newClient(d, "key-of-club")
	sent := map[string]string{}
	for i := range 20 {
		address, err := c.resolve()
		if err != nil {
			return false, err
		}
		for _, path := range []string{fmt.Sprintf("/read/club-%d?page=2", i), fmt.Sprintf("//clubs/once/club-%d?page=2", i)} {
			id, _ := c.send(address, http.MethodGet, path)
			sent[id] = path
		}
	}
	changed := 0
	for _, r := range d.runs() {
		if path := sent[r.id]; r.target != path {
			changed++
			d.record.printf("UNASKED: %s was sent with the path %q and ran with the target %q, which is the path %q", r.id, path, r.target, r.path)
		}
	}
	d.record.printf("of %d requests, %d ran with another path", len(sent), changed)
	return changed > 0, nil
}
