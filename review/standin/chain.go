package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// chainConfig is the configuration of stageConfig, with a further route if hasChain is set. Its second
// stage reads the large result of the first.
func chainConfig(version int, hasChain bool) ([]byte, error) {
	var c map[string]any
	if err := json.Unmarshal(stageConfig(), &c); err != nil {
		return nil, err
	}
	c["version"] = version
	routes := c["routes"].([]any)
	if hasChain {
		added := map[string]any{}
		for k, v := range routes[0].(map[string]any) {
			added[k] = v
		}
		added["name"], added["pathPrefix"] = "match-video", "/match-video/"
		added["stages"] = []any{
			map[string]any{"service": "club-roster", "after": []int{}, "bytes": 3_000_000},
			map[string]any{"service": "club-roster", "after": []int{0}, "bytes": resultBytes},
		}
		c["routes"] = append(routes, added)
	}
	return json.Marshal(c)
}

// playChain checks that requests on a route that was added are served about as often as those on
// the first routes.
func playChain(d *deployment, trouble bool) (bool, error) {
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addStageServer(zone, false, false); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addModelServer(zone); err != nil {
			return false, err
		}
	}
	if err := d.start(2); err != nil {
		return false, err
	}
	for version, hasChain := range []bool{false, trouble} {
		body, err := chainConfig(3+4*version, hasChain)
		if err != nil {
			return false, err
		}
		if err := d.orderUntilAcknowledged(nil, http.MethodPut, "/api/config", body); err != nil {
			return false, err
		}
		if err := d.waitReady(); err != nil {
			return false, err
		}
		time.Sleep(applyTime)
	}
	c := newClient(d, "")
	send := func(path, pieces string, served chan<- bool) {
		address, err := c.resolve()
		if err != nil {
			served <- false
			return
		}
		_, status := c.send(address, http.MethodPost, path, "X-Deadline-Ms", "8000", "X-Pieces", pieces, "X-Piece-Key", "7c1e07a291bd",
			"X-Model", "m", "X-Token-Count", "1460,80", "X-Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%x:660", rand.Uint32()))
		served <- status == http.StatusOK
	}
	const requests = 30
	first, added := make(chan bool, requests), make(chan bool, requests)
	for range requests {
		go send("/dispute-review/x", "2", first)
		if trouble {
			go send("/match-video/x", "2,2", added)
		}
		time.Sleep(400 * time.Millisecond)
	}
	servedFirst, servedAdded := 0, 0
	for range requests {
		if <-first {
			servedFirst++
		}
		if trouble && <-added {
			servedAdded++
		}
	}
	d.record.printf("served: %d of %d on a first route; %d of %d on the route that was added (disruption: %t)", servedFirst, requests, servedAdded, requests, trouble)
	return trouble && 4*servedAdded < servedFirst, nil
}
