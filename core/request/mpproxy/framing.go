package mpproxy

import "net/http"

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
	case len(resp.TransferEncoding) > 0:
		return byChunks
	case resp.ContentLength < 0:
		return byClose
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
