package mpproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"mustardpost.org/core/request/mpselect"
)

// forwardStream forwards events as they arrive. A resumable stream is forwarded in
// complete events only, so that another upstream can continue after the last one. The
// caller can tell from the end of its response no more than the upstream's end tells.
func (e *exchange) forwardStream(
	ctx context.Context, resp *http.Response, idleTimer *time.Timer, last bool,
) (attemptResult, mpselect.Outcome, string) {
	flusher := http.NewResponseController(e.w)
	var splitter eventSplitter
	defer func() { e.tail = splitter.tail }()
	buf := make([]byte, 8<<10)
	total := 0
	resumedAfter := ""
	if e.headerWritten {
		resumedAfter = e.lastEventID
	}
	lastRead := e.p.cfg.Clock()
	for {
		n, err := resp.Body.Read(buf)
		total += n
		out := buf[:n]
		if e.route.Spec().Resumable {
			out = splitter.add(out)
		} else {
			splitter.scan(out)
		}
		switch {
		case total > maxStreamBytes || splitter.line > maxEventBytes:
			return failed, mpselect.Failed, "stream too large"
		case len(splitter.remainder()) > maxEventBytes:
			return failed, mpselect.Failed, "event too large"
		}
		if n > 0 {
			lastRead = e.p.cfg.Clock()
			if e.beganAt.IsZero() {
				e.beganAt = lastRead
			}
		}
		if len(out) > 0 {
			if resumedAfter != "" && !isAfter(firstEventID(out), resumedAfter) {
				return failed, mpselect.Failed, "resumed stream does not go on after event " + resumedAfter
			}
			resumedAfter = ""
			if splitter.lastID != "" {
				e.lastEventID = splitter.lastID
			}
			if e.route.Spec().Resumable && !last {
				idleTimer.Reset(eventGapTimeout)
			}
			e.writeStream(ctx, resp, out, flusher)
		}
		if !e.beganAt.IsZero() && lastRead.Sub(e.beganAt) >= soundDuration {
			e.recordSound()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if outcome, why := e.checkStreamEnd(&splitter.eventScanner); why != "" {
				return failed, outcome, why
			}
			e.writeStream(ctx, resp, splitter.remainder(), flusher)
			e.completeResponse(ctx)
			e.recordSound()
			return answered, mpselect.Succeeded, ""
		case e.p.cfg.Clock().Sub(lastRead) >= eventGapTimeout && !e.wasBlocked.Load():
			// A caller that leaves such a stream leaves because of the silence.
			return failed, mpselect.Failed, "stream fell silent: " + err.Error()
		default:
			e.isLost = ctx.Err() == nil
			return failed, outcomeOfLoss(ctx, idleTimer), "stream broke off: " + err.Error()
		}
	}
}

func (e *exchange) writeStream(ctx context.Context, resp *http.Response, out []byte, flusher *http.ResponseController) {
	if !e.headerWritten {
		e.timeToFirstEvent = e.p.cfg.Clock().Sub(e.sentAt)
		e.reportFirstToken()
		e.p.forecast.recordFirstToken(e.pool.Spec().Name, e.r.Prompt, e.timeToFirstEvent)
		e.counted.Answered(e.timeToFirstEvent)
		e.copyHeader(resp)
		e.w.Header().Del("Content-Length")
		e.bindOrigin(ctx)
		if e.framing == byClose || e.r.HTTP10 {
			e.endWithConnection(ctx)
		}
		e.w.WriteHeader(resp.StatusCode)
		e.inputsFreed = len(e.inputs) > 0
		e.freeInputs()
	}
	if len(out) == 0 {
		return
	}
	now := e.p.cfg.Clock()
	if !e.lastWrite.IsZero() {
		e.longestGap = max(e.longestGap, now.Sub(e.lastWrite))
	}
	e.lastWrite = now
	e.isWriting.Store(true)
	if _, err := e.w.Write(out); err == nil {
		_ = flusher.Flush()
	}
	e.isWriting.Store(false)
	if e.wasBlocked.Load() {
		e.heldUp += e.p.cfg.Clock().Sub(now)
	}
}
