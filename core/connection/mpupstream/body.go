package mpupstream

import (
	"context"
	"errors"
	"io"
	"net/http"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpmemory"
)

// firstBufferBytes is the size of the first buffer for a response.
const firstBufferBytes = 16 << 10

// readBody returns the body of a response, up to one byte more than maxResponseBytes. Its buffer draws on the
// memory of the request before it grows. While there is no room, nothing more is read, so that the upstream waits.
func readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	tally := mpmemory.TallyOf(ctx)
	limit := maxResponseBytes + 1
	if n := resp.ContentLength; n >= 0 && n < int64(limit) {
		limit = int(n) + 1 // The end of the body is found without another buffer.
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), firstBufferBytes), limit)
			if size == cap(body) {
				return body, nil
			}
			if err := tally.Acquire(ctx, int64(size)); err != nil {
				return nil, mperror.Wrap(err, "no room for the response")
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			tally.Return(int64(cap(body)))
			body = grown
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
