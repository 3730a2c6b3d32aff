package mpproxy

import (
	"context"
	"time"

	"mustardpost.org/core/request/mporigin"
)

// originMargin is how much longer than its caller waits the origin of a stream is kept, for
// the time that requests are on their way.
const originMargin = 5 * time.Second

// originTTL returns how long the caller may resume the stream. Callers that do not say how
// long they wait are taken to wait no longer than the route allows.
func (e *exchange) originTTL() time.Duration {
	return max(e.r.Timeout, e.route.Spec().Timeout) + originMargin
}

func (e *exchange) originKey(id string) mporigin.Key {
	return mporigin.KeyOf(e.account, e.r.Host, e.r.Path, id)
}

// findOrigin returns the origin of the stream that the request resumes. If it was not recorded,
// it is known nevertheless while the route has one pool, with one version for longer than the
// stream can have lasted.
func (e *exchange) findOrigin(ctx context.Context, pool string) mporigin.Origin {
	key := e.originKey(e.r.Resumes)
	if e.r.Resumes != "" && e.r.Resumes != e.r.ID {
		if o, ok := e.p.cfg.Origins.Find(ctx, key); ok {
			return o
		}
	}
	if len(e.route.Spec().Shares) > 1 {
		return mporigin.Origin{}
	}
	// Part of the caller's time has passed.
	version, ok := e.p.cfg.Origins.Sole(ctx, key, pool, 2*e.originTTL())
	if !ok {
		return mporigin.Origin{}
	}
	return mporigin.Origin{Pool: pool, Version: version}
}

// bindOrigin binds the stream to the software whose first event is about to be forwarded. The
// origin is recorded before, under the ID by which the caller resumes the stream.
func (e *exchange) bindOrigin(ctx context.Context) {
	if !e.route.Spec().Resumable {
		return
	}
	e.origin = mporigin.Origin{Pool: e.pool.Spec().Name, Version: e.version}
	if e.origin.IsKnown() && e.r.ID != "" {
		e.p.cfg.Origins.Note(ctx, e.originKey(e.r.ID), e.origin, e.originTTL())
	}
}
