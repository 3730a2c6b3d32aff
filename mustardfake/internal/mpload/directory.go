package mpload

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	askWithin = time.Second
	connected = 256
)

// client is the callers' side: connections, and the addresses that the system
// named, kept for as long as it allowed.
type client struct {
	http *http.Client
	seed []string

	mu        sync.Mutex
	addresses []string
	until     time.Time
	next      int
}

func newClient(seed []string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: connected, MaxIdleConns: 0}
	return &client{http: &http.Client{Transport: transport}, seed: seed}
}

// address returns the next address to use.
func (c *client) address(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.ask(ctx)
	}
	list := c.addresses
	if len(list) == 0 {
		list = c.seed
	}
	c.next++
	return list[c.next%len(list)]
}

// ask renews the addresses from any VM that answers; c.mu is held.
func (c *client) ask(ctx context.Context) {
	for i := range c.seed {
		address := c.seed[(c.next+i)%len(c.seed)]
		var reply struct {
			Addresses []string `json:"addresses"`
			Keep      int64    `json:"keep"`
		}
		if get(ctx, c.http, "http://"+address+"/v1/address", &reply) != nil || len(reply.Addresses) == 0 {
			continue
		}
		c.addresses = reply.Addresses
		c.until = time.Now().Add(time.Duration(reply.Keep) * time.Millisecond)
		return
	}
}

// failed drops an address that could not be reached.
func (c *client) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
	c.next++
}

func get(ctx context.Context, client *http.Client, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}
