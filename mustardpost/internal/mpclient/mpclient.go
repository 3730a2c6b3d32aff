// Package mpclient talks to the operators' address of a VM.
package mpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/version/mpstate"
)

const (
	timeout   = 90 * time.Second
	maxAnswer = 64 << 20
)

// Config sets a Client.
type Config struct {
	// Address is a VM's operator address, an IP number and a port.
	Address string
	Token   string
}

// Client sends requests of one operator.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{Timeout: timeout}}
}

// Get reads path into v.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	return c.do(ctx, http.MethodGet, path, nil, v)
}

// Change sends one change and returns how it was accepted. The error wraps the
// sentinel that fits: ErrConflict, ErrInvalid, ErrNotFound, ErrUnknown, ErrDenied.
func (c *Client) Change(ctx context.Context, change mpoperator.Change) (mpoperator.Accepted, error) {
	var out mpoperator.Accepted
	body, err := json.Marshal(change)
	if err != nil {
		return out, mperror.Wrap(err, "encode change")
	}
	return out, c.do(ctx, http.MethodPost, "/v1/changes", body, &out)
}

// Order sends an order and returns its fencing number, or an error as Change does.
func (c *Client) Order(ctx context.Context, o mpstate.Order) (mpoperator.Fenced, error) {
	var out mpoperator.Fenced
	body, err := json.Marshal(o)
	if err != nil {
		return out, mperror.Wrap(err, "encode order")
	}
	return out, c.do(ctx, http.MethodPost, "/v1/orders", body, &out)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return mperror.Wrap(mperror.ErrInvalid, "address %q: %v", c.cfg.Address, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	resp, err := c.http.Do(req)
	if err != nil {
		return mperror.Wrap(err, "VM at %s", c.cfg.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return mperror.Wrap(mperror.ErrOutcomeUnknown, "answer of VM at %s: %v", c.cfg.Address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return failure(data)
	}
	return mperror.Wrap(json.Unmarshal(data, v), "answer of VM at %s", c.cfg.Address)
}

func failure(data []byte) error {
	var f mpoperator.Failure
	if err := json.Unmarshal(data, &f); err != nil {
		return mperror.Wrap(err, "answer %q", data)
	}
	sentinels := map[string]error{
		"invalid":  mperror.ErrInvalid,
		"unfound":  mperror.ErrNotFound,
		"conflict": mperror.ErrConflict,
		"unknown":  mperror.ErrOutcomeUnknown,
		"denied":   mperror.ErrDenied,
	}
	if s, ok := sentinels[f.Code]; ok {
		return mperror.Wrap(s, "%s", f.Text)
	}
	return mperror.Wrap(mperror.ErrNotLeader, "%s", f.Text)
}
