package mpproxy

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// lossyUpstream counts the arrivals of requests by path, and resets the connection in place of an
// answer, unless the path ends in answeredSuffix.
type lossyUpstream struct {
	mu       sync.Mutex
	arrivals map[string]int
}

const answeredSuffix = "/answered"

func startLossy(t *testing.T) (*lossyUpstream, string) {
	t.Helper()
	u := &lossyUpstream{arrivals: map[string]int{}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("For", r.Header.Get("Id"))
		if strings.HasSuffix(r.URL.Path, answeredSuffix) {
			return
		}
		u.mu.Lock()
		u.arrivals[r.Method+" "+r.URL.Path]++
		u.mu.Unlock()
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}))
	t.Cleanup(s.Close)
	return u, s.Listener.Addr().String()
}

func (u *lossyUpstream) arrivalsOf(q *Request) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrivals[q.Method+" "+q.Path]
}

// lostRequest returns a request without a body whose upstream echoes its ID.
func lostRequest(method, path string, fields ...string) *Request {
	q := request(path)
	q.Method, q.Body = method, nil
	q.Header.Set("Id", q.ID)
	for _, f := range fields {
		q.Header.Set(f, "k")
	}
	return q
}

// Guards against requests that run twice, or are repeated without being counted as attempts, when
// an upstream loses their answer on a connection that carried another request before.
func TestLostAnswerOnReusedConnection(t *testing.T) {
	for name, c := range map[string]struct {
		q *Request
		// first and second are the arrivals at u1 and u2.
		first, second int
	}{
		"once, GET":                               {lostRequest("GET", "/post/lost"), 1, 0},
		"once, POST with an idempotency key":      {lostRequest("POST", "/post/lost", "Idempotency-Key"), 1, 0},
		"once, DELETE":                            {lostRequest("DELETE", "/post/lost"), 1, 0},
		"repeatable, GET":                         {lostRequest("GET", "/read/lost"), 1, 1},
		"repeatable, HEAD":                        {lostRequest("HEAD", "/read/lost"), 1, 1},
		"repeatable, PUT with an idempotency key": {lostRequest("PUT", "/read/lost", "X-Idempotency-Key"), 1, 1},
		"repeatable, one attempt":                 {lostRequest("GET", "/open/lost"), 1, 0},
		"stream that can be resumed, GET":         {lostRequest("GET", "/tale/lost"), 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			first, firstAddress := startLossy(t)
			second, secondAddress := startLossy(t)
			r := newEndlessHarness(t, firstAddress, secondAddress)
			// While no time passes, u1 is chosen first however long the requests before took.
			now := time.Now()
			r.p.cfg.Clock = func() time.Time { return now }
			for range 2 {
				checkAnswer(t, answer{Status: 200}, r.serve(t.Context(), lostRequest("GET", "/read"+answeredSuffix)))
			}
			checkAnswer(t, answer{Status: 502}, r.serve(t.Context(), c.q))
			if diff := cmp.Diff([]int{c.first, c.second}, []int{first.arrivalsOf(c.q), second.arrivalsOf(c.q)}); diff != "" {
				t.Errorf("arrivals at u1 and u2 (-want +got):\n%s", diff)
			}
			if n := r.p.cfg.Metrics.Count("invariant.sendonce.breached"); n > 0 {
				t.Errorf("%d attempts were sent again by the transport", n)
			}
		})
	}
}
