package mpingress

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a part of a request that counts as the whole, because the write of an interim response met the
// reset that ended the request.
func TestRequestThatEndsByAReset(t *testing.T) {
	for name, text := range map[string]string{
		"a length":   strings.TrimSuffix(post("xyz"), "yz"),
		"chunks":     strings.TrimSuffix(chunked("xyz", 2), "0\r\n\r\n"),
		"last chunk": strings.TrimSuffix(chunked("xyz", 2), "\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			left := make(chan struct{})
			bodies := make(chan error, 1)
			s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-left
				_, err := ReadBody(r, testBodyLimit)
				bodies <- err
			}))
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			// The server answers with 100 Continue before it reads the body.
			if _, err := io.WriteString(c, strings.Replace(text, "\r\n", "\r\nExpect: 100-continue\r\n", 1)); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(50*time.Millisecond, func() {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				time.AfterFunc(50*time.Millisecond, func() { close(left) })
			})
			if err := <-bodies; err == nil {
				t.Error("a body that was broken off counts as whole")
			}
		})
	}
}
