package mpanswer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/connection/mpscript"
)

const testHeadBytes = 8 << 10

func newTestTransport() *Transport {
	return New(Config{Dial: (&net.Dialer{}).DialContext, MaxHeadBytes: testHeadBytes})
}

// answer is what a client gets. Body is empty unless it is whole.
type answer struct {
	Status int
	Body   string
	Failed bool
}

// ask sends a request with a method and a body to a server.
func ask(t *testing.T, tr *Transport, address, method string, body io.Reader) (answer, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address, body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return answer{Failed: true}, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{Status: resp.StatusCode, Failed: true}, err
	}
	return answer{Status: resp.StatusCode, Body: string(got)}, nil
}

func checkAnswer(t *testing.T, want, got answer) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// Guards against bytes of a server that are no answer and reach callers as one: statuses that are none, names of
// fields with blanks, and bodies that end elsewhere than their server meant.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range mpscript.MalformedAnswers("whole") {
		t.Run(name, func(t *testing.T) {
			got, err := ask(t, newTestTransport(), mpscript.Listen(t, mpscript.Answer(text)), http.MethodGet, nil)
			if !got.Failed {
				t.Errorf("answer %d %q, want an error", got.Status, got.Body)
			}
			if err != nil && strings.Contains(err.Error(), "panic") {
				t.Error(err)
			}
		})
	}
}

// Guards against sound answers that are refused.
func TestSoundAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text, method string
		want         answer
	}{
		"a length":                      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"chunks":                        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Y: 1\r\n\r\n", "GET", answer{200, "whole", false}},
		"the end of the connection":     {"HTTP/1.1 200 OK\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"HTTP/1.0":                      {"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"equal lengths":                 {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"no reason":                     {"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"an empty reason":               {"HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"a reason in Latin-1":           {"HTTP/1.1 200 tr\xe8s bien\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"an empty value":                {"HTTP/1.1 200 OK\r\nX-Y:\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"blanks around a value":         {"HTTP/1.1 200 OK\r\nContent-Length:\t 5 \r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"a folded value":                {"HTTP/1.1 200 OK\r\nX-Y: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"line feeds":                    {"HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole", "GET", answer{200, "whole", false}},
		"an interim answer":             {"HTTP/1.1 103 Early Hints\r\nX-Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
		"a refusal":                     {"HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{503, "whole", false}},
		"the highest status":            {"HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{599, "whole", false}},
		"a length without a body":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD", answer{200, "", false}},
		"a status that has no body":     {"HTTP/1.1 204 None\r\n\r\n", "GET", answer{204, "", false}},
		"names in the body":             {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nX Y: 1\n", "GET", answer{200, "X Y: 1\n", false}},
		"a head in the body":            {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n", "GET", answer{200, "HTTP/1.1 000 Odd\r\n\r\n", false}},
		"as large a head as is allowed": {"HTTP/1.1 200 OK\r\nX-Y: " + strings.Repeat("x", testHeadBytes-100) + "\r\nContent-Length: 5\r\n\r\nwhole", "GET", answer{200, "whole", false}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ask(t, newTestTransport(), mpscript.Listen(t, mpscript.Answer(c.text)), c.method, nil)
			if err != nil {
				t.Error(err)
			}
			checkAnswer(t, c.want, got)
		})
	}
	t.Run("byte by byte", func(t *testing.T) {
		const text = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
		near, far := net.Pipe() // A read gets what one write sends.
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			for i := range len(text) {
				_, _ = io.WriteString(far, text[i:i+1])
			}
		}()
		tr := New(Config{MaxHeadBytes: testHeadBytes, Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
		got, err := ask(t, tr, "h", http.MethodGet, nil)
		if err != nil {
			t.Error(err)
		}
		checkAnswer(t, answer{200, "whole", false}, got)
	})
}

// Guards against heads of later answers on a connection that are not looked at.
func TestLaterAnswersOnAConnection(t *testing.T) {
	var answers [][]byte
	for _, name := range []string{"whole", "whole"} {
		answers = append(answers, []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"+name))
	}
	answers = append(answers, []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Y: 1\r\n\r\nwhole"))
	address := mpscript.Listen(t, func(c *net.TCPConn) {
		buf := make([]byte, 4<<10)
		for _, text := range answers {
			if _, err := c.Read(buf); err != nil {
				return
			}
			_, _ = c.Write(text)
		}
	})
	tr := newTestTransport()
	var got []answer
	for range answers {
		a, _ := ask(t, tr, address, http.MethodPost, strings.NewReader("x"))
		got = append(got, a)
	}
	if diff := cmp.Diff([]answer{{200, "whole", false}, {200, "whole", false}, {Failed: true}}, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// Guards against a part of an answer that counts as the whole, because the reset that ended it was met by the
// write of a long request.
func TestResetDuringAnUpload(t *testing.T) {
	const uploads, uploadBytes = 60, 8 << 20
	address := mpscript.Listen(t, mpscript.ResetEarly("HTTP/1.1 200 OK\r\n\r\npart", time.Millisecond))
	body := make([]byte, uploadBytes)
	for range uploads {
		if got, _ := ask(t, newTestTransport(), address, http.MethodPost, bytes.NewReader(body)); !got.Failed {
			t.Fatalf("answer %d %q, want an error", got.Status, got.Body)
		}
	}
}

// Guards against an answer that is lost because its server ends it without reading the rest of the request.
func TestEndDuringAnUpload(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := mpscript.Listen(t, mpscript.EndEarly("HTTP/1.1 413 Too Large\r\n\r\nwhole", release))
	got, err := ask(t, newTestTransport(), address, http.MethodPost, bytes.NewReader(make([]byte, 32<<20)))
	if err != nil {
		t.Error(err)
	}
	checkAnswer(t, answer{413, "whole", false}, got)
}

// Guards against an error that callers cannot tell from that of a lost connection.
func TestErrorOfAMalformedAnswer(t *testing.T) {
	_, err := ask(t, newTestTransport(), mpscript.Listen(t, mpscript.Answer("HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n")), http.MethodGet, nil)
	if !errors.Is(err, ErrMalformed) {
		t.Errorf("error %v, want ErrMalformed", err)
	}
}
