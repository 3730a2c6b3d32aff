package mporder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/version/mpstate"
)

const (
	lookEvery    = 100 * time.Millisecond
	commitWithin = 3 * time.Second
)

// Config holds what an Executor needs from outside.
type Config struct {
	Machine *mpstate.Machine
	Lead    *mplead.Lead
	Logger  log.Logger
}

// Executor sends orders wherever it runs beside the leader.
type Executor struct {
	cfg  Config
	http *http.Client
	plan *Scheduler
	ends chan end
}

type end struct {
	upstream string
	answered bool
}

// New returns an executor.
func New(cfg Config) *Executor {
	return &Executor{
		cfg: cfg,
		// A fresh connection for each order keeps the transport from repeating one.
		http: &http.Client{Timeout: SendTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		plan: NewScheduler(time.Time{}),
		ends: make(chan end, 1024),
	}
}

// Run sends orders while this voter leads, until ctx ends.
func (x *Executor) Run(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	since := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-x.ends:
			x.plan.RecordResult(time.Now(), e.upstream, e.answered)
			continue
		case <-t.C:
		}
		if !x.cfg.Lead.IsLeading() {
			continue
		}
		if at := x.cfg.Lead.Since(); !at.Equal(since) {
			since = at
			x.plan = NewScheduler(since)
		}
		for _, o := range x.plan.Next(time.Now(), x.cfg.Machine.Orders(), x.cfg.Machine.View()) {
			go x.carry(ctx, o)
		}
	}
}

// OrderRequest is the body of POST /v1/orders at an upstream.
type OrderRequest struct {
	Fence  uint64         `json:"fence"`
	Action mpstate.Action `json:"action"`
	Name   string         `json:"name"`
}

func (x *Executor) carry(ctx context.Context, o mpstate.OrderRecord) {
	status, err := x.send(ctx, o)
	x.ends <- end{o.Order.Upstream, err == nil}
	if err != nil || status >= http.StatusInternalServerError {
		_ = level.Warn(x.cfg.Logger).Log("msg", "order not answered", "upstream", o.Order.Upstream, "fence", o.Fence, "status", status, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitWithin)
	defer cancel()
	done := mpstate.OrderCompletion{Upstream: o.Order.Upstream, Fence: o.Fence, Refused: status >= http.StatusBadRequest}
	if _, err := x.cfg.Lead.Propose(ctx, done); err != nil {
		_ = level.Warn(x.cfg.Logger).Log("msg", "order's end not committed", "upstream", o.Order.Upstream, "fence", o.Fence, "err", err)
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+up.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return 0, mperror.Wrap(err, "order for %s", up.Address)
	}
	req.Header.Set("Content-Type", "application/json")
	// The last check before the bytes leave: a leader that was frozen stops here.
	if !x.cfg.Lead.IsLeading() {
		return 0, mperror.ErrNotLeader
	}
	resp, err := x.http.Do(req)
	if err != nil {
		return 0, mperror.Wrap(err, "order for %s", up.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, 1<<10)
	return resp.StatusCode, nil
}
