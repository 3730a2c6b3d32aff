package mpingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpmemory"
)

const (
	// firstBufferBytes is the largest buffer that is made for a body before any of it was read.
	firstBufferBytes = 16 << 10
	// refusalPatience is how long a client that is refused anyway may send nothing of its body.
	refusalPatience = time.Second
	discardBytes    = 4 << 10
	// retryAfter is the Retry-After of refusals for lack of memory, in seconds. Bodies that stall are
	// ended meanwhile if others need the room.
	retryAfter = "1"
)

var (
	// ErrTooLarge means that the body is over the limit.
	ErrTooLarge = errors.New("body is too long")
	// ErrStalled means that nothing of the body arrived for the stall timeout.
	ErrStalled = errors.New("body stalls")
	// ErrSlow means that the body arrives too slowly.
	ErrSlow = errors.New("body arrives too slowly")
	// ErrUnreadable means that the body is malformed, or that the client disconnected.
	ErrUnreadable = errors.New("body cannot be read")
)

// bodyReader reads the body of a request, within the limits on its size and its time.
type bodyReader struct {
	c               *conn
	body            io.Reader
	maxBytes        int64
	stall           time.Duration
	start, progress time.Time
	n               int64
}

// newBodyReader returns a reader of the body of r. If patience is not 0, it replaces the stall timeout.
func newBodyReader(r *http.Request, maxBytes int64, patience time.Duration) *bodyReader {
	b := &bodyReader{c: connOf(r.Context()), body: r.Body, maxBytes: maxBytes, stall: patience, start: time.Now()}
	b.progress = b.start
	if b.c != nil && patience == 0 {
		b.stall = b.c.s.stallTimeout()
	}
	return b
}

// read reads into p. It returns io.EOF at the end of the body, and otherwise an error that wraps one of
// this package or of mpmemory.
func (b *bodyReader) read(p []byte) (int, error) {
	if b.c != nil {
		b.c.setBodyDeadline(mpmemory.ArrivalDeadline(b.start, b.progress, b.n, b.stall))
	}
	stallEnds := b.progress.Add(b.stall)
	n, err := b.body.Read(p)
	if b.n += int64(n); b.n > b.maxBytes {
		return n, ErrTooLarge
	}
	if n > 0 && b.c != nil {
		b.progress = time.Now()
		b.c.held.Progress(b.progress, b.n)
	}
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return n, err
	case b.c != nil && b.c.wasInterrupted():
		return n, mpmemory.ErrEnded
	case b.c != nil && b.c.bodyTimedOut():
		if time.Now().Before(stallEnds) {
			return n, ErrSlow
		}
		return n, ErrStalled
	}
	return n, mperror.Wrap(ErrUnreadable, "%v", err)
}

// firstBuffer returns the size of the first buffer for a body of at most size bytes. Doubled some times,
// it gives size, so that two buffers take one and a half times the body at most.
func firstBuffer(size int64) int64 {
	for size > firstBufferBytes {
		size = (size + 1) / 2
	}
	return size
}

// ReadBody returns the body of r, which may have at most maxBytes. The buffer grows as bytes arrive, and
// draws on the budget before it grows. From then on until its handler returns, the request is not ended to
// make room for others. Errors are those that Refuse answers.
func ReadBody(r *http.Request, maxBytes int64) ([]byte, error) {
	c := connOf(r.Context())
	if r.ContentLength > maxBytes {
		return nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	size := maxBytes
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	b := newBodyReader(r, maxBytes, 0)
	body, err := b.readAll(size)
	if err == nil && c != nil {
		err = c.held.Run()
	}
	if err != nil {
		c.release(int64(cap(body)))
		return nil, err
	}
	return body, nil
}

// readAll reads a body of at most size bytes. It returns what was read also with an error.
func (b *bodyReader) readAll(size int64) ([]byte, error) {
	var probe [1]byte
	var body []byte
	next := firstBuffer(size)
	for {
		free := body[len(body):cap(body)]
		if len(free) == 0 && int64(cap(body)) < size {
			grown, err := b.grow(body, min(next, size))
			if err != nil {
				return body, err
			}
			body, next = grown, 2*next
			continue
		}
		if len(free) == 0 {
			free = probe[:] // Finds the end of the body, or that it is too long.
		}
		n, err := b.read(free)
		if int64(len(body)+n) > size {
			return body, ErrTooLarge
		}
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// grow returns a copy of body with the given capacity.
func (b *bodyReader) grow(body []byte, capacity int64) ([]byte, error) {
	if b.c != nil {
		if err := await(b.c.held.Grow(time.Now(), capacity)); err != nil {
			return nil, err
		}
	}
	grown := make([]byte, len(body), capacity)
	copy(grown, body)
	b.c.release(int64(cap(body)))
	return grown, nil
}

// release gives back n bytes, if there is a connection.
func (c *conn) release(n int64) {
	if c != nil && n > 0 {
		c.held.Release(n)
	}
}

// Refuse answers a request whose body ReadBody did not return, and closes its connection.
func Refuse(w http.ResponseWriter, r *http.Request, err error) {
	c := connOf(r.Context())
	status, kind := http.StatusBadRequest, mpmemory.Kind("")
	switch {
	case errors.Is(err, ErrTooLarge):
		status, kind = http.StatusRequestEntityTooLarge, mpmemory.Oversized
	case errors.Is(err, ErrStalled):
		status, kind = http.StatusRequestTimeout, mpmemory.Stalled
	case errors.Is(err, ErrSlow):
		status, kind = http.StatusRequestTimeout, mpmemory.Slow
	case errors.Is(err, mpmemory.ErrFull), errors.Is(err, mpmemory.ErrEnded):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", retryAfter)
		err = errors.New("out of memory") // Whose request goes first does not concern the client.
	}
	if c != nil {
		c.linger()
		if kind != "" {
			c.report(kind, max(r.ContentLength, 0))
		}
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// RefuseUnread answers a request by refuse, which does not need its body. As far as the body arrives, it is
// read first and not kept: many clients send all of it before they look for an answer. A body that is
// malformed or too long is refused for that.
func RefuseUnread(w http.ResponseWriter, r *http.Request, maxBytes int64, refuse func(http.ResponseWriter)) {
	err := discard(r, maxBytes)
	switch {
	case err == nil:
	case errors.Is(err, ErrTooLarge), errors.Is(err, ErrUnreadable):
		Refuse(w, r, err)
		return
	default:
		if c := connOf(r.Context()); c != nil {
			c.linger()
		}
		w.Header().Set("Connection", "close")
	}
	refuse(w)
}

// discard reads the body of r and does not keep it.
func discard(r *http.Request, maxBytes int64) error {
	switch {
	case r.ContentLength > maxBytes:
		return ErrTooLarge
	case r.ContentLength == 0:
		return nil
	case r.Header.Get("Expect") != "":
		return ErrStalled // The client waits to be asked for the body.
	}
	b := newBodyReader(r, maxBytes, refusalPatience)
	buf := make([]byte, discardBytes)
	for {
		if _, err := b.read(buf); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}
