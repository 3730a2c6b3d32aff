package mpload

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"mustardpost.org/core/connection/mpanswer"
)

const (
	directoryTimeout = time.Second
	maxIdlePerHost   = 256
	maxHeadBytes     = 32 << 10
)

// client sends requests on behalf of all callers. It caches the addresses that the
// system returned for as long as the system allows.
type client struct {
	http             *http.Client
	initialAddresses []string

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	next      int
}

func newClient(initialAddresses []string) *client {
	transport := mpanswer.New(mpanswer.Config{
		Dial: (&net.Dialer{}).DialContext, MaxIdlePerHost: maxIdlePerHost, MaxHeadBytes: maxHeadBytes, AcceptsGzip: true,
	})
	return &client{http: &http.Client{Transport: transport}, initialAddresses: initialAddresses}
}

// address returns the next address, in round-robin order.
func (c *client) address(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		c.refresh(ctx)
	}
	list := c.addresses
	if len(list) == 0 {
		list = c.initialAddresses
	}
	c.next++
	return list[c.next%len(list)]
}

// refresh fetches the addresses from the first VM that answers. c.mu must be held.
func (c *client) refresh(ctx context.Context) {
	for i := range c.initialAddresses {
		address := c.initialAddresses[(c.next+i)%len(c.initialAddresses)]
		var reply struct {
			Addresses []string `json:"addresses"`
			Keep      int64    `json:"keep"`
		}
		if getJSON(ctx, c.http, "http://"+address+"/v1/address", &reply) != nil || len(reply.Addresses) == 0 {
			continue
		}
		c.addresses = reply.Addresses
		c.expires = time.Now().Add(time.Duration(reply.Keep) * time.Millisecond)
		return
	}
}

// expireAddresses makes the next call of address fetch the addresses again, after
// an address could not be reached.
func (c *client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
	c.next++
}

func getJSON(ctx context.Context, client *http.Client, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
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
