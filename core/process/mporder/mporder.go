package mporder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/version/mpstate"
)

const (
	pollInterval  = 100 * time.Millisecond
	commitTimeout = 3 * time.Second
	// maxAnswerBytes is how much of an answer is read, of which only the status counts.
	maxAnswerBytes = 1 << 10
)

// Config configures an Executor.
type Config struct {
	Machine *mpstate.Machine
	Leader  *mplead.Leader
	Logger  log.Logger
}

// Executor sends orders to upstreams while its voter is the leader.
type Executor struct {
	cfg       Config
	client    *http.Client
	scheduler *Scheduler
	results   chan sendResult
}

type sendResult struct {
	upstream string
	answered bool
}

// New returns an Executor.
func New(cfg Config) *Executor {
	// The transport sends requests again only on reused connections, and the client
	// only after redirects. Neither may send an order twice.
	transport := mpupstream.NewCallTransport(true)
	return &Executor{
		cfg: cfg,
		client: &http.Client{
			Timeout: SendTimeout, Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		scheduler: NewScheduler(time.Time{}),
		results:   make(chan sendResult, 1024),
	}
}

// Run sends orders while this voter leads, until ctx is done.
func (x *Executor) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	electedAt := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-x.results:
			x.scheduler.RecordResult(time.Now(), r.upstream, r.answered)
			continue
		case <-t.C:
		}
		if !x.cfg.Leader.IsLeader() {
			continue
		}
		if at := x.cfg.Leader.LeadershipChangedAt(); !at.Equal(electedAt) {
			electedAt = at
			x.scheduler = NewScheduler(electedAt)
		}
		for _, o := range x.scheduler.Next(time.Now(), x.cfg.Machine.Orders(), x.cfg.Machine.View()) {
			go x.execute(ctx, o)
		}
	}
}

// OrderRequest is the body of POST /v1/orders at an upstream.
type OrderRequest struct {
	Fence  uint64         `json:"fence"`
	Action mpstate.Action `json:"action"`
	Name   string         `json:"name"`
}

func (x *Executor) execute(ctx context.Context, o mpstate.OrderRecord) {
	status, err := x.send(ctx, o)
	x.results <- sendResult{o.Order.Upstream, err == nil}
	if err != nil || status >= http.StatusInternalServerError {
		_ = level.Warn(x.cfg.Logger).Log("msg", "order failed or got no response", "upstream", o.Order.Upstream, "fence", o.Fence, "status", status, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	done := mpstate.OrderCompletion{Upstream: o.Order.Upstream, Fence: o.Fence, Refused: status >= http.StatusBadRequest}
	if _, err := x.cfg.Leader.Propose(ctx, done); err != nil {
		_ = level.Warn(x.cfg.Logger).Log("msg", "result of order not committed", "upstream", o.Order.Upstream, "fence", o.Fence, "err", err)
	}
}

func (x *Executor) send(ctx context.Context, o mpstate.OrderRecord) (int, error) {
	up, ok := x.cfg.Machine.View().Catalogue().Upstream(o.Order.Upstream)
	if !ok {
		return 0, mperror.Wrap(mperror.ErrNotFound, "upstream %s", o.Order.Upstream)
	}
	body, err := json.Marshal(OrderRequest{o.Fence, o.Order.Action, o.Order.Name})
	if err != nil {
		return 0, mperror.Wrap(err, "encode order")
	}
	// Checked again right before sending, since the process may have been paused for
	// long enough to lose leadership.
	if !x.cfg.Leader.IsLeader() {
		return 0, mperror.ErrNotLeader
	}
	return x.post(ctx, up.Address, body)
}

// post sends an encoded order and returns the status of the answer. An answer that is broken off is an error: the
// order is sent again with the same fence.
func (x *Executor) post(ctx context.Context, address string, order []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(order))
	if err != nil {
		return 0, mperror.Wrap(err, "create order request for %s", address)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := x.client.Do(req)
	if err != nil {
		return 0, mperror.Wrap(err, "send order to %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.CopyN(io.Discard, resp.Body, maxAnswerBytes); err != nil && !errors.Is(err, io.EOF) {
		return 0, mperror.Wrap(err, "answer of %s to order", address)
	}
	return resp.StatusCode, nil
}
