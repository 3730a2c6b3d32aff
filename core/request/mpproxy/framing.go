package mpproxy

import (
	"context"
	"net"
	"net/http"

	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/request/mpselect"
)

// framing is how a response marks the end of its body.
type framing int

const (
	// noBody means that there is no response yet, or that it has no body.
	noBody framing = iota
	byLength
	byChunks
	// byClose means that the body ends with its connection. Its end does not tell
	// whether the upstream had sent all of it.
	byClose
)

// framingOf returns the framing of a response to a request with the given method.
func framingOf(method string, resp *http.Response) framing {
	switch {
	case method == http.MethodHead:
		return noBody
	case mpupstream.EndsWithConnection(resp):
		return byClose
	case len(resp.TransferEncoding) > 0:
		return byChunks
	default:
		return byLength
	}
}

// String returns the name that is used in logs.
func (f framing) String() string {
	switch f {
	case byLength:
		return "length"
	case byChunks:
		return "chunks"
	case byClose:
		return "close"
	default:
		return "none"
	}
}

type connKey struct{}

// WithConn returns a context that holds the connection c of a caller. It is the
// ConnContext of servers whose requests the Proxy serves.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// setLinger sets how the caller's connection is closed: with a reset if seconds is 0, or
// after all data has been sent if it is negative.
func (e *exchange) setLinger(ctx context.Context, seconds int) {
	if c, ok := ctx.Value(connKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(seconds) // Fails only if the connection is closed.
	}
}

// endWithConnection lets the response end with its connection. Until completeResponse is
// called, the connection ends with a reset, also if this process dies.
func (e *exchange) endWithConnection(ctx context.Context) {
	e.w.Header().Set("Transfer-Encoding", "identity") // Keeps net/http from adding a length or chunks.
	e.endsWithConnection = true
	e.setLinger(ctx, 0)
}

// completeResponse is called when all of the response has been written.
func (e *exchange) completeResponse(ctx context.Context) {
	if e.endsWithConnection {
		e.setLinger(ctx, -1)
	}
}

// checkStreamEnd returns whose fault it is and why if a stream that ended cannot be passed
// on as it is. The reason is empty if it can.
func (e *exchange) checkStreamEnd(s *eventScanner) (mpselect.Outcome, string) {
	switch {
	case s.insideEvent():
		return mpselect.Failed, "stream ended inside an event"
	case e.framing != byClose:
	case !e.headerWritten && e.lastEventID == "":
		return mpselect.Failed, "stream ended before its first event"
	case e.headerWritten && !e.endsWithConnection:
		return mpselect.Succeeded, "resumed stream does not mark its end"
	}
	return mpselect.Succeeded, ""
}
