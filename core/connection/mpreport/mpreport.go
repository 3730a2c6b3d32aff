// Package mpreport polls the load reports of upstreams on the VM that owns their
// groups. Because the reports are delayed, they may lower an upstream's concurrency
// limit but never raise it.
package mpreport

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mpowner"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/version/mpview"
)

const (
	pollInterval   = 2 * time.Second
	pollTimeout    = 500 * time.Millisecond
	maxReportBytes = 64 << 10
)

// Report is the body of an upstream's load report. All fields are optional.
type Report struct {
	// Waiting is the number of attempts queued at the upstream.
	Waiting int `json:"waiting"`
	// Cold reports whether the upstream is in its cold start.
	Cold bool `json:"cold"`
	// Instance is the ID that the upstream gives its process.
	Instance string `json:"instance"`
}

// Config holds the dependencies of a Poller.
type Config struct {
	Owner   *mpowner.Owner
	Current func() *mpview.View
}

// Poller polls load reports.
type Poller struct {
	cfg  Config
	http *http.Client
}

// New returns a poller.
func New(cfg Config) *Poller {
	return &Poller{cfg: cfg, http: &http.Client{Timeout: pollTimeout, Transport: mpupstream.NewCallTransport(false)}}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	mptime.Every(ctx, pollInterval, func(time.Time) { p.pollAll(ctx) })
}

func (p *Poller) pollAll(ctx context.Context) {
	c := p.cfg.Current().Catalogue()
	for _, group := range p.cfg.Owner.Groups() {
		for _, name := range c.GroupUpstreams(group) {
			u, _ := c.Upstream(name)
			if pool, _ := c.Pool(u.Pool); pool.Report != "" {
				go p.poll(ctx, group, name, "http://"+u.Address+pool.Report)
			}
		}
	}
}

func (p *Poller) poll(ctx context.Context, group, upstream, url string) {
	r, err := p.read(ctx, url)
	if err != nil {
		return
	}
	p.cfg.Owner.ReportLoad(time.Now(), group, upstream, mppermit.LoadReport{Instance: r.Instance, Waiting: r.Waiting, Cold: r.Cold})
}

// read reads the report at url. A report counts only if it is complete.
func (p *Poller) read(ctx context.Context, url string) (Report, error) {
	var r Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return r, mperror.Wrap(err, "load report at %s", url)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return r, mperror.Wrap(err, "load report at %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return r, mperror.Wrap(err, "load report at %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return r, mperror.Wrap(mperror.ErrBadResponse, "load report at %s: %s", url, resp.Status)
	}
	return r, mperror.Wrap(json.Unmarshal(body, &r), "load report at %s", url)
}
