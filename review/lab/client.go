package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// reply is what a client saw of one request.
type reply struct {
	id     string
	sentAt time.Time
	status int
	body   string
	seal   string
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to a front on a new connection and reads the answer.
func (l *lab) send(m *machine, method, host, path, body string, header map[string]string, timeout time.Duration) reply {
	out := reply{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+hostPort(m.ip, frontPort)+path, strings.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	req.Header.Set("X-Request-Id", out.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := l.client(0).Do(req)
	if err != nil {
		out.err = err
		l.note("client: %s %s%s at %s: no answer (%v)", out.id, host, path, m.name, unwrap(err))
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	out.status, out.body, out.seal, out.err = resp.StatusCode, string(text), resp.Header.Get("X-Response-Seal"), err
	l.note("client: %s %s%s at %s: %d, seal %q, %d bytes, err %v", out.id, host, path, m.name, out.status, out.seal, len(text), err)
	return out
}

// traffic sends requests at a steady rate to the fronts in turn until stop is called. stop waits for all
// answers and returns them.
func (l *lab) traffic(perSecond int, request func(m *machine) reply) (stop func() []reply) {
	quit := make(chan struct{})
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []reply
	wg.Add(1)
	go func() {
		defer wg.Done()
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-t.C:
			}
			fronts := l.fronts()
			m := fronts[i%len(fronts)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := request(m)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, r)
			}()
		}
	}()
	return func() []reply {
		close(quit)
		wg.Wait()
		return out
	}
}
