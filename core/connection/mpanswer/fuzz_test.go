package mpanswer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"mustardpost.org/core/connection/mpscript"
)

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( [\t\x20-\x7e\x80-\xff]*)?$`)
	fieldLine  = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*$")
	foldedLine = regexp.MustCompile(`^[\t ][\t\x20-\x7e\x80-\xff]*$`)
)

// FuzzAnswer guards against any bytes of a server that are passed on as an answer although their head is
// malformed or their body is not whole, and against a panic.
func FuzzAnswer(f *testing.F) {
	for _, text := range mpscript.MalformedAnswers("whole") {
		f.Add([]byte(text))
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 204 None\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "", "\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(text)
			}
			_ = far.Close()
		}()
		tr := New(Config{MaxHeadBytes: testHeadBytes, Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
		defer tr.CloseIdleConnections()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := tr.RoundTrip(req)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		rest := checkPassedHead(t, text, resp)
		if err == nil {
			checkPassedBody(t, rest, resp, body)
		}
	})
}

// latin1 returns the bytes as characters, for patterns.
func latin1(data []byte) string {
	out := make([]rune, len(data))
	for i, b := range data {
		out[i] = rune(b)
	}
	return string(out)
}

// checkPassedHead fails unless the heads that text begins with are well formed, up to that of resp. It returns what
// follows them.
func checkPassedHead(t *testing.T, text []byte, resp *http.Response) []byte {
	t.Helper()
	for {
		var line string
		var lines []string
		for isFirst := true; isFirst || line != ""; isFirst = false {
			raw, rest, ok := bytes.Cut(text, []byte("\n"))
			if !ok {
				t.Fatalf("a head without an end was passed on as %s", resp.Status)
			}
			line, text = latin1(bytes.TrimSuffix(raw, []byte("\r"))), rest
			lines = append(lines, line)
		}
		if !statusLine.MatchString(lines[0]) {
			t.Fatalf("status line %q was passed on", lines[0])
		}
		for i, line := range lines[1 : len(lines)-1] {
			if !fieldLine.MatchString(line) && (i == 0 || !foldedLine.MatchString(line)) {
				t.Fatalf("field line %q was passed on", line)
			}
		}
		status, _ := strconv.Atoi(lines[0][9:12])
		if status == http.StatusSwitchingProtocols {
			t.Fatal("another protocol was passed on")
		}
		if status >= http.StatusOK {
			if status != resp.StatusCode {
				t.Fatalf("status %d was passed on as %d", status, resp.StatusCode)
			}
			return text
		}
	}
}

// checkPassedBody fails unless body is the whole of what delimits it, at the beginning of rest.
func checkPassedBody(t *testing.T, rest []byte, resp *http.Response, body []byte) {
	t.Helper()
	switch {
	case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		if len(body) > 0 {
			t.Fatalf("a body of %d bytes was passed on with status %d", len(body), resp.StatusCode)
		}
	case len(resp.TransferEncoding) > 0:
		if !bytes.Contains(rest, []byte("0")) || len(body) >= len(rest) {
			t.Fatalf("a body of %d bytes was passed on without its last chunk", len(body))
		}
		for name := range resp.Trailer {
			if textproto.TrimString(name) != name || strings.ContainsAny(name, " \t") {
				t.Fatalf("the field %q behind the body was passed on", name)
			}
		}
	case resp.ContentLength >= 0:
		if int64(len(body)) != resp.ContentLength || !bytes.HasPrefix(rest, body) {
			t.Fatalf("a body of %d bytes was passed on with length %d", len(body), resp.ContentLength)
		}
	default:
		if !bytes.Equal(rest, body) {
			t.Fatalf("a body of %d bytes was passed on, want %d", len(body), len(rest))
		}
	}
}
