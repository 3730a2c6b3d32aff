// Package mpclient is an HTTP client for the operator API of a VM.
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
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/version/mpstate"
)

const (
	requestTimeout   = 90 * time.Second
	maxResponseBytes = 64 << 20
)

// Config configures a Client.
type Config struct {
	// Address is the operator address of a VM, as IP:port.
	Address string
	Token   string
}

// Client sends requests with the token of one operator.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a Client for the VM at cfg.Address.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{Timeout: requestTimeout, Transport: mpupstream.NewCallTransport(false)}}
}

// Get fetches path and decodes the JSON response into v.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	return c.do(ctx, http.MethodGet, path, nil, v)
}

// Change sends a change. If the VM refuses it, the error wraps the sentinel of the
// failure code: ErrConflict, ErrInvalid, ErrNotFound, ErrOutcomeUnknown or ErrDenied,
// or ErrNotLeader for any other code.
func (c *Client) Change(ctx context.Context, change mpoperator.ChangeRequest) (mpoperator.ChangeResponse, error) {
	var out mpoperator.ChangeResponse
	body, err := json.Marshal(change)
	if err != nil {
		return out, mperror.Wrap(err, "encode change")
	}
	return out, c.do(ctx, http.MethodPost, "/v1/changes", body, &out)
}

// Order sends an order and returns its fencing number. Its errors are those of Change.
func (c *Client) Order(ctx context.Context, o mpstate.Order) (mpoperator.OrderResponse, error) {
	var out mpoperator.OrderResponse
	body, err := json.Marshal(o)
	if err != nil {
		return out, mperror.Wrap(err, "encode order")
	}
	return out, c.do(ctx, http.MethodPost, "/v1/orders", body, &out)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return mperror.Wrap(mperror.ErrInvalid, "invalid address %q: %v", c.cfg.Address, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	resp, err := c.http.Do(req)
	if err != nil {
		return mperror.Wrap(err, "request to VM at %s", c.cfg.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return mperror.Wrap(mperror.ErrOutcomeUnknown, "read response of VM at %s: %v", c.cfg.Address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(data)
	}
	return mperror.Wrap(json.Unmarshal(data, v), "decode response of VM at %s", c.cfg.Address)
}

func decodeFailure(data []byte) error {
	var f mpoperator.ErrorResponse
	if err := json.Unmarshal(data, &f); err != nil {
		return mperror.Wrap(err, "decode error response %q", data)
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
