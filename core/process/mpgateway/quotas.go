package mpgateway

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/process/mpstage"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquota"
)

// quotas keeps the limits that upstreams name in their answers to this VM.
type quotas struct {
	limits *mpquota.Limits
	logger log.Logger
}

var (
	_ mpproxy.Quotas = (*quotas)(nil)
	_ mpstage.Quotas = (*quotas)(nil)
)

// Observe implements mpproxy.Quotas and mpstage.Quotas.
func (q *quotas) Observe(sentAt time.Time, upstream string, s mpquota.Statement) {
	if c, changed := q.limits.Observe(time.Now(), sentAt, upstream, s); changed {
		q.logChange(c, "answer")
	}
}

// logChange logs a limit that was learned from source.
func (q *quotas) logChange(c mpquota.Change, source string) {
	_ = level.Info(q.logger).Log("msg", "upstream limit", "upstream", c.Upstream, "was", c.Was, "rate", c.Rate, "from", source)
}
