// Package mpplatform reads the platform's list of VMs and determines which machines
// are leaving or live again. The list lags behind the machines' actual state.
package mpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"mustardpost.org/core/common/mpentry"
	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/version/mpview"
)

const (
	listTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
)

// State is a machine's state in the platform's list.
type State string

const (
	// Live machines are running.
	Live State = "live"
	// Leaving machines are about to be removed.
	Leaving State = "leaving"
)

// Row is one entry of the platform's list.
type Row struct {
	VM    string `json:"vm"`
	State State  `json:"state"`
}

// Client fetches the list over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the list at url.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Timeout: listTimeout, Transport: mpupstream.NewCallTransport(false)}}
}

// List fetches the platform's list. Entries that cannot be decoded are left out, since other writers
// may have corrupted them; skipped is their number.
func (c *Client) List(ctx context.Context) (rows []Row, skipped int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, 0, mperror.Wrap(err, "read VM list from platform at %s", c.url)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, mperror.Wrap(err, "read VM list from platform at %s", c.url)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, 0, mperror.Wrap(err, "read VM list from platform at %s", c.url)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, mperror.Wrap(mperror.ErrBadResponse, "VM list from platform at %s: %s", c.url, resp.Status)
	}
	rows, skipped, err = decodeList(body)
	return rows, skipped, mperror.Wrap(err, "VM list from platform at %s", c.url)
}

func decodeList(body []byte) (rows []Row, skipped int, err error) {
	body = bytes.TrimSpace(body)
	if !bytes.HasPrefix(body, []byte("[")) || !bytes.HasSuffix(body, []byte("]")) {
		return nil, 0, mperror.Wrap(mperror.ErrBadResponse, "no list of VMs")
	}
	var list struct {
		Rows []json.RawMessage `json:"rows"`
	}
	if err := mpentry.Decode(slices.Concat([]byte(`{"rows":`), body, []byte("}")), "rows", &list); err != nil {
		return nil, 0, err
	}
	for _, raw := range list.Rows {
		var r Row
		if err := json.Unmarshal(raw, &r); err != nil || r.VM == "" {
			skipped++
			continue
		}
		rows = append(rows, r)
	}
	return rows, skipped, nil
}

// Marks returns the marks that make v agree with the list. Machines that are not in
// the list, or that host no upstream, are left unchanged.
func Marks(rows []Row, v *mpview.View) []mpview.Mark {
	hosting := map[string]bool{}
	for _, u := range v.Catalogue().Upstreams() {
		hosting[u.VM] = u.VM != ""
	}
	var marks []mpview.Mark
	for _, r := range rows {
		leaving := r.State == Leaving
		if hosting[r.VM] && leaving != v.IsOut(mpview.TargetMachine, r.VM) {
			marks = append(marks, mpview.Mark{Target: mpview.TargetMachine, Name: r.VM, Out: leaving})
		}
	}
	return marks
}
