// Package mpplatform follows the platform's list of VMs, which lags, and tells
// which machines have begun or ceased to leave.
package mpplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpview"
)

const (
	askWithin = 2 * time.Second
	maxList   = 8 << 20
)

// State is a machine's state in the platform's list.
type State string

const (
	// Live machines run.
	Live State = "live"
	// Leaving machines are about to be taken away.
	Leaving State = "leaving"
)

// Row is one line of the platform's list.
type Row struct {
	VM    string `json:"vm"`
	State State  `json:"state"`
}

// Client reads the list.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the list at url.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Timeout: askWithin}}
}

// List returns the platform's list.
func (c *Client) List(ctx context.Context) ([]Row, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, mperror.Wrap(err, "platform %s", c.url)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, mperror.Wrap(err, "platform %s", c.url)
	}
	defer func() { _ = resp.Body.Close() }()
	var rows []Row
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&rows); err != nil {
		return nil, mperror.Wrap(err, "platform %s", c.url)
	}
	return rows, nil
}

// Marks returns the changes that bring v in line with the list. Machines that
// the list does not name, and that carry no upstream, stay as they are.
func Marks(rows []Row, v *mpview.View) []mpview.Mark {
	used := map[string]bool{}
	for _, u := range v.Catalogue().Upstreams() {
		used[u.VM] = u.VM != ""
	}
	var marks []mpview.Mark
	for _, r := range rows {
		leaving := r.State == Leaving
		if used[r.VM] && leaving != v.IsOut(mpview.TargetMachine, r.VM) {
			marks = append(marks, mpview.Mark{Target: mpview.TargetMachine, Name: r.VM, Out: leaving})
		}
	}
	return marks
}
