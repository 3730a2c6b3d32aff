package mporder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an order that the HTTP client sends again, to another address, after a redirect: it
// could take effect twice, or after a newer one.
func TestRedirectedOrderIsNotSentAgain(t *testing.T) {
	var arrivals atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrivals.Add(1) }))
	t.Cleanup(other.Close)
	for _, code := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		s := httptest.NewServer(http.RedirectHandler(other.URL, code))
		t.Cleanup(s.Close)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := New(Config{}).client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != code {
			t.Errorf("status %d, want that of the upstream, %d", resp.StatusCode, code)
		}
	}
	if n := arrivals.Load(); n > 0 {
		t.Errorf("%d of 4 orders were sent again", n)
	}
}
