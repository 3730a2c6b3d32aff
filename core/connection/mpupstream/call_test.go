package mpupstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Guards against servers that end a VM of 144 MB by heads without an end: the pollers of load reports, the
// reader of the platform's list and the sender of orders held up to 10 MiB of each.
func TestHeadsWithoutEnd(t *testing.T) {
	const (
		servers = 10
		// maxAllocatedBytes is what the calls may allocate, also for what is garbage again.
		maxAllocatedBytes = servers * (1 << 20)
	)
	for name, repeat := range map[string]string{
		"one line":        "x",
		"lines":           "X-More: " + strings.Repeat("y", 50) + "\r\n",
		"interim answers": "\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y",
	} {
		t.Run(name, func(t *testing.T) {
			unit := bytes.Repeat([]byte(repeat), 1+(64<<10)/len(repeat))
			client := &http.Client{Timeout: 5 * time.Second, Transport: NewCallTransport(false)}
			done := make(chan error)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range servers {
				address := listenEndlessly(t, "HTTP/1.1 103 Early Hints\r\nX-First: ", unit)
				go func() {
					resp, err := client.Get("http://" + address)
					if err == nil {
						_ = resp.Body.Close()
					}
					done <- err
				}()
			}
			for range servers {
				if err := <-done; err == nil {
					t.Error("a head without an end was taken for a response")
				}
			}
			runtime.ReadMemStats(&after)
			if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocatedBytes {
				t.Errorf("%d bytes were allocated for the heads of %d servers, want at most %d", got, servers, maxAllocatedBytes)
			}
		})
	}
}

// listenEndlessly returns the address of a server that answers with prefix, and then with unit again and
// again.
func listenEndlessly(t *testing.T, prefix string, unit []byte) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = io.WriteString(conn, prefix)
		for err == nil {
			_, err = conn.Write(unit)
		}
	}()
	return l.Addr().String()
}
