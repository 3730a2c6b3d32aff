package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// client asks the directory where to connect. It opens a connection for each request, so that its
// HTTP transport never repeats a request by itself, and follows no redirects.
type client struct {
	d    *deployment
	key  string
	http *http.Client
	last atomic.Int64
}

func newClient(d *deployment, key string) *client {
	return &client{d: d, key: key, http: &http.Client{
		Transport:     &http.Transport{DisableCompression: true, DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// resolve returns the address of a front machine. It asks up to three machines.
func (c *client) resolve() (string, error) {
	var lastErr error
	for _, i := range rand.Perm(len(c.d.machines))[:3] {
		address, err := c.ask(c.d.machines[i])
		if err == nil {
			return address, nil
		}
		lastErr = err
	}
	return "", lastErr
}

// ask asks the directory of m where to connect.
func (c *client) ask(m *machine) (string, error) {
	resp, err := shortClient.Get("http://" + c.d.address(m, c.d.ports.directory) + "/api/resolve?name=ladder.example&region=r&zone=a")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("the directory of %s answered %s", m.name, resp.Status)
	}
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", err
	}
	if len(answer.Addrs) == 0 {
		return "", fmt.Errorf("the directory of %s names no address", m.name)
	}
	return answer.Addrs[rand.IntN(len(answer.Addrs))], nil
}

// send makes one client attempt and returns its ID and the status of the answer, or 0 without one.
// The header fields are pairs of names and values.
func (c *client) send(address, method, path string, fields ...string) (id string, status int) {
	id = fmt.Sprintf("%08x%08x", rand.Uint32(), c.last.Add(1))
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return id, 0
	}
	req.Host = "ladder.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "600")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	c.d.record.printf("client sends %s: %s %s %v", id, method, path, fields)
	start := time.Now()
	// It waits no longer than it says.
	deadline, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	if err != nil {
		return id, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		c.d.record.printf("client has no answer to %s after %v", id, time.Since(start).Round(time.Millisecond))
		return id, 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.d.record.printf("client is answered %s: %d, seal %q, %d bytes, complete: %t", id, resp.StatusCode, resp.Header.Get("X-Response-Seal"), len(body), err == nil)
	return id, resp.StatusCode
}
