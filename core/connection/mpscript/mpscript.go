// Package mpscript has servers for tests that send given bytes, also such as are no answer of HTTP/1.1.
package mpscript

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// smallBufferBytes is the size of the buffers of servers that do not read what is sent to them.
const smallBufferBytes = 4 << 10

// Server serves one connection, which is closed afterwards.
type Server func(c *net.TCPConn)

// Listen starts a server, and returns its address. It ends with the test.
func Listen(t testing.TB, s Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				go func() {
					defer func() { _ = tcp.Close() }()
					s(tcp)
				}()
			}
		}
	}()
	return l.Addr().String()
}

// Answer returns a server that reads one request and sends text.
func Answer(text string) Server {
	return func(c *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, text)
	}
}

// InTurn returns a server that serves the first connection by first, and all others by others.
func InTurn(first, others Server) Server {
	var isLater atomic.Bool
	return func(c *net.TCPConn) {
		if isLater.Swap(true) {
			others(c)
			return
		}
		first(c)
	}
}

// ResetEarly returns a server that sends text once it has read the head of a request, and resets the connection
// after delay without having read the body.
func ResetEarly(text string, delay time.Duration) Server {
	return func(c *net.TCPConn) {
		if !readHead(c) {
			return
		}
		_, _ = io.WriteString(c, text)
		time.Sleep(delay)
		_ = c.SetLinger(0)
	}
}

// EndEarly returns a server that sends text once it has read the head of a request, ends what it sends, and
// keeps the connection open without reading the body until release is closed.
func EndEarly(text string, release <-chan struct{}) Server {
	return func(c *net.TCPConn) {
		if !readHead(c) {
			return
		}
		_, _ = io.WriteString(c, text)
		_ = c.CloseWrite()
		<-release
	}
}

// readHead reads the head of a request, and hardly more.
func readHead(c *net.TCPConn) bool {
	_ = c.SetReadBuffer(smallBufferBytes)
	_, err := http.ReadRequest(bufio.NewReaderSize(c, smallBufferBytes))
	return err == nil
}

// MalformedAnswers returns answers with the given body that are malformed by RFC 9112, but for their head or the
// fields behind the body.
func MalformedAnswers(body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	withLength := func(line string) string { return line + length + "\r\n" + body }
	return map[string]string{
		"status 000":                                withLength("HTTP/1.1 000 Odd\r\n"),
		"status 099":                                withLength("HTTP/1.1 099 Odd\r\n"),
		"status 600":                                withLength("HTTP/1.1 600 Odd\r\n"),
		"status 999":                                withLength("HTTP/1.1 999 Odd\r\n"),
		"status with a sign":                        withLength("HTTP/1.1 +20 Odd\r\n"),
		"status of two digits":                      withLength("HTTP/1.1 20 Odd\r\n"),
		"another protocol that nobody asked for":    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: odd\r\n\r\n" + body,
		"another version":                           withLength("HTTP/2.0 200 OK\r\n"),
		"a control byte in the reason":              withLength("HTTP/1.1 200 O\x01K\r\n"),
		"a blank in a name":                         withLength("HTTP/1.1 200 OK\r\nX Y: 1\r\n"),
		"a blank behind the name of the length":     "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n" + body,
		"a blank behind the name of the encoding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"a tab behind a name":                       withLength("HTTP/1.1 200 OK\r\nX-Y\t: 1\r\n"),
		"a control byte in a name":                  withLength("HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n"),
		"DEL in a name":                             withLength("HTTP/1.1 200 OK\r\nX\x7fY: 1\r\n"),
		"no name":                                   withLength("HTTP/1.1 200 OK\r\n: 1\r\n"),
		"a line without a colon":                    withLength("HTTP/1.1 200 OK\r\nodd\r\n"),
		"a control byte in a value":                 withLength("HTTP/1.1 200 OK\r\nX-Y: a\x01b\r\n"),
		"a carriage return in a value":              withLength("HTTP/1.1 200 OK\r\nX-Y: a\rb\r\n"),
		"a folded line without a field":             withLength("HTTP/1.1 200 OK\r\n folded\r\n"),
		"chunks in HTTP/1.0":                        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"a length beside chunks":                    "HTTP/1.1 200 OK\r\n" + length + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"two lengths":                               withLength("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"),
		"a length with a sign":                      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: +%d\r\n\r\n%s", len(body), body),
		"another encoding":                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunks + "\r\n",
		"chunks twice":                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"a blank in the name of a field behind it":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X Y: 1\r\n\r\n",
		"a status line of an interim answer is odd": "HTTP/1.1 103 Early\x01\r\n\r\n" + withLength("HTTP/1.1 200 OK\r\n"),
		"a field of an interim answer is odd":       "HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n" + withLength("HTTP/1.1 200 OK\r\n"),
	}
}
