package main

import (
	"net/http"
	"time"
)

// applyTime is the bound applyMs, with a margin.
const applyTime = 2500 * time.Millisecond

// playKeys checks that requests without a valid key do not run once the only tenant has lost all
// its keys, one after the other.
func playKeys(d *deployment, trouble bool) (bool, error) {
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addServer(zone, nil); err != nil {
			return false, err
		}
	}
	if err := d.start(2); err != nil {
		return false, err
	}
	put := func(version int, keys ...string) error {
		return d.orderUntilAcknowledged(nil, http.MethodPut, "/api/config", config(version, []map[string]any{tenant("club", keys...)}))
	}
	if err := put(3, "key-one", "key-two"); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	valid, removed, unknown := newClient(d, "key-two"), newClient(d, "key-one"), newClient(d, "key-of-nobody")
	if address, err := valid.resolve(); err != nil {
		return false, err
	} else if _, status := valid.send(address, http.MethodGet, "/read/standings"); status != http.StatusOK {
		d.record.printf("a request with a valid key was answered %d", status)
	}
	if trouble {
		if err := put(5, "key-two"); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		if err := put(8); err != nil {
			return false, err
		}
	} else {
		removed = valid
	}
	time.Sleep(applyTime)
	bad := map[string]string{}
	for range 20 {
		address, err := valid.resolve()
		if err != nil {
			return false, err
		}
		id, _ := unknown.send(address, http.MethodPost, "/once/result")
		bad[id] = "whose key no configuration ever held"
		if id, _ = removed.send(address, http.MethodPost, "/once/result"); trouble {
			bad[id] = "with a key that was taken away"
		}
		time.Sleep(50 * time.Millisecond)
	}
	ran := 0
	for _, r := range d.runs() {
		if why := bad[r.id]; why != "" {
			ran++
			d.record.printf("ROUTE: %s ran, a request %s", r.id, why)
		}
	}
	d.record.printf("of %d requests without a valid key, %d ran", len(bad), ran)
	return ran > 0, nil
}
