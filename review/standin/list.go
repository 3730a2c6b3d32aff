package main

import (
	"net/http"
	"time"
)

// playList checks that requests run at servers of their route's service. The platform's list gets
// one entry from another writer: it names a server of the service fee-ledger under the service
// ladder-core, and lacks the fields version, slots and coldLeftMs.
func playList(d *deployment, trouble bool) (bool, error) {
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addServer(zone, nil); err != nil {
			return false, err
		}
	}
	ledger, err := d.addServerOf("fee-ledger", "c", nil)
	if err != nil {
		return false, err
	}
	if err := d.start(3); err != nil {
		return false, err
	}
	if err := d.orderUntilAcknowledged(nil, http.MethodPut, "/api/config", config(3, []map[string]any{tenant("club", "key-of-club")})); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	c := newClient(d, "key-of-club")
	ids := map[string]bool{}
	for i := range 150 {
		if trouble && i == 30 {
			entry := map[string]any{"id": ledger.id, "service": "ladder-core", "addr": ledger.addr, "zone": ledger.zone, "state": "ready"}
			d.record.printf("the platform's list gets an entry from another writer: %v", entry)
			d.mu.Lock()
			d.foreign = append(d.foreign, entry)
			d.mu.Unlock()
		}
		address, err := c.resolve()
		if err != nil {
			return false, err
		}
		id, _ := c.send(address, http.MethodPost, "/once/result")
		ids[id] = true
		c.send(address, http.MethodGet, "/dues/of-club")
		time.Sleep(50 * time.Millisecond)
	}
	wrong := 0
	for _, r := range d.runs() {
		if ids[r.id] && r.server.service != "ladder-core" {
			wrong++
			d.record.printf("ROUTE: %s, a request of ladder-core, ran at %s of %s", r.id, r.server.id, r.server.service)
		}
	}
	d.record.printf("of %d requests of ladder-core, %d ran at a server of another service", len(ids), wrong)
	return wrong > 0, nil
}
