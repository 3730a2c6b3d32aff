package mpproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpmemory"
	"mustardpost.org/core/request/mpselect"
)

const (
	// Responses are buffered in parts, which need no copies when they grow. The first one has the length of
	// the response, at most firstPartBytes, or minPartBytes if the length is not known. Further ones are as long
	// as those before, at most maxPartBytes.
	minPartBytes   = 4 << 10
	firstPartBytes = 64 << 10
	maxPartBytes   = 256 << 10
	// neverTimeout is that of attempts that are not given up for an idle upstream.
	neverTimeout = 24 * time.Hour
)

// Memory is the budget on which buffered responses draw.
type Memory interface {
	// Draw reserves n bytes more for a response that holds held bytes. It returns a Wait if they must be
	// awaited, and an error if there can never be room.
	Draw(now time.Time, held, n int64) (*mpmemory.Wait, error)
	// Return gives back n bytes.
	Return(n int64)
}

var (
	errResponseTooLarge = errors.New("response body too large")
	errNoRoom           = errors.New("no room for the response")
)

// responseBuffer holds a response while it is read, and until it is written to the caller.
type responseBuffer struct {
	e      *exchange
	parts  [][]byte
	size   int64
	length int64
	// reserved is what is drawn on the budget.
	reserved int64
}

// bufferResponse reads the whole body of resp. If it fails, it returns the outcome for the upstream and
// why. The caller releases the buffer in each case.
func (e *exchange) bufferResponse(
	ctx context.Context, resp *http.Response, idleTimer *time.Timer, last bool,
) (*responseBuffer, mpselect.Outcome, error) {
	b := &responseBuffer{e: e, length: resp.ContentLength}
	if e.framing == noBody {
		b.length = 0
	}
	for {
		n, err := b.fill(ctx, resp.Body, idleTimer, last)
		if b.size += int64(n); b.size > maxResponseBytes {
			return b, mpselect.Failed, errResponseTooLarge
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return b, mpselect.Succeeded, nil
		case errors.Is(err, errNoRoom):
			return b, mpselect.Neutral, err
		default:
			return b, outcomeOfLoss(ctx, idleTimer), mperror.Wrap(err, "read response body")
		}
	}
}

// fill reads once from body.
func (b *responseBuffer) fill(ctx context.Context, body io.Reader, idleTimer *time.Timer, last bool) (int, error) {
	var probe [1]byte
	if b.size == b.length {
		// Finds the end of the response. There is more only if its length was not meant.
		n, err := body.Read(probe[:])
		if n == 0 {
			return 0, err
		}
		b.length = -1
		if growErr := b.grow(ctx, idleTimer, last); growErr != nil {
			return 0, growErr
		}
		i := len(b.parts) - 1
		b.parts[i] = append(b.parts[i], probe[:n]...)
		return n, err
	}
	if err := b.grow(ctx, idleTimer, last); err != nil {
		return 0, err
	}
	i := len(b.parts) - 1
	part := b.parts[i]
	n, err := body.Read(part[len(part):cap(part)])
	b.parts[i] = part[:len(part)+n]
	return n, err
}

// grow adds a part if the last one is full. If the budget is short, it waits until there is room or ctx is
// done, and the upstream waits too.
func (b *responseBuffer) grow(ctx context.Context, idleTimer *time.Timer, last bool) error {
	if i := len(b.parts) - 1; i >= 0 && len(b.parts[i]) < cap(b.parts[i]) {
		return nil
	}
	n := min(max(b.size, minPartBytes), maxPartBytes)
	if left := b.length - b.size; b.length >= 0 {
		n = min(left, max(n, firstPartBytes))
	}
	if err := b.reserve(ctx, n, idleTimer, last); err != nil {
		return err
	}
	b.parts = append(b.parts, make([]byte, 0, n))
	return nil
}

func (b *responseBuffer) reserve(ctx context.Context, n int64, idleTimer *time.Timer, last bool) error {
	memory := b.e.p.cfg.Memory
	if memory == nil {
		return nil
	}
	wait, err := memory.Draw(b.e.p.cfg.Clock(), b.reserved, n)
	if err != nil {
		return errNoRoom
	}
	if wait != nil {
		b.e.p.cfg.Metrics.Add("memory.awaited", 1)
		// The upstream is not idle meanwhile: nobody reads.
		start := b.e.p.cfg.Clock()
		idleTimer.Reset(neverTimeout)
		err = wait.Await(ctx, 0)
		b.e.heldUp += b.e.p.cfg.Clock().Sub(start)
		idleTimer.Reset(b.e.idleTimeout(b.e.timeLeft(), last))
		if err != nil {
			return errNoRoom
		}
	}
	b.reserved += n
	return nil
}

// write writes the response to the caller.
func (b *responseBuffer) write(w io.Writer) {
	for _, part := range b.parts {
		if _, err := w.Write(part); err != nil {
			return // The caller has disconnected.
		}
	}
}

// release gives back what the buffer drew on the budget.
func (b *responseBuffer) release() {
	if b.reserved > 0 {
		b.e.p.cfg.Memory.Return(b.reserved)
	}
	b.parts, b.reserved = nil, 0
}
