package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// shortClient gives up a call after a second without a response and closes its connection.
var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// order sends one order to a machine of the core. It returns the status, or 0 without a response.
func (d *deployment) order(m *machine, method, path string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+d.address(m, d.ports.control)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := shortClient.Do(req)
	if err != nil {
		d.record.printf("operator: %s %s to %s: no response", method, path, m.name)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	d.record.printf("operator: %s %s to %s: %d", method, path, m.name, resp.StatusCode)
	return resp.StatusCode
}

// orderUntilAcknowledged sends an order to the machines of the core in turn until one
// acknowledges it, except to the given machine.
func (d *deployment) orderUntilAcknowledged(except *machine, method, path string, body []byte) error {
	core := d.core()
	wait := 50 * time.Millisecond
	for i := rand.IntN(len(core)); wait < 5*time.Second; i++ {
		m := core[i%len(core)]
		if m == except {
			continue
		}
		if status := d.order(m, method, path, body); status/100 == 2 {
			return nil
		}
		time.Sleep(wait)
		wait += wait / 2
	}
	return errors.New(method + " " + path + " was not acknowledged")
}

// config is a configuration with two services. Routes may be added to it.
func config(version int, tenants []map[string]any, more ...any) []byte {
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": append([]any{
			route("ladder-read", "/read/", "idempotent", "ladder-core", 600), route("result-post", "/once/", "non_idempotent", "ladder-core", 600),
			route("season-recap", "/stream/", "stream", "ladder-core", 12000), route("dues", "/dues/", "idempotent", "fee-ledger", 600),
		}, more...),
		"services": []any{
			map[string]any{"name": "ladder-core", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0},
			map[string]any{"name": "fee-ledger", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	if err != nil {
		panic(err) // Cannot fail: the values have simple types.
	}
	return body
}

// tenant returns a tenant of a configuration.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": append([]string{}, keys...), "priority": 1}
}

// route is a route of a configuration.
func route(name, prefix, kind, service string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "host": "ladder.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "sloMs": 120, "priority": 2,
		"service": service, "attempts": 1, "stages": []any{}, "public": false, "sticky": false, "resumable": false, "gapTargetMs": 200,
	}
}
