package mpmemory

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
)

// Kind names the limit that acted on a client. It is the name of a counter.
type Kind string

const (
	// Ended is a request that was ended before it had arrived whole, to make room.
	Ended Kind = "memory.ended"
	// Refused is a request for which there was no room.
	Refused Kind = "memory.refused"
	// Closed is a connection that was closed so that another could be opened.
	Closed Kind = "connections.closed"
	// Rejected is a new connection that was closed at once, since too many were open.
	Rejected Kind = "connections.rejected"
	// Stalled is a request of which nothing arrived for too long.
	Stalled Kind = "connections.stalled"
	// Slow is a request that arrived too slowly.
	Slow Kind = "connections.slow"
	// Oversized is a request whose body is over the limit.
	Oversized Kind = "connections.oversized"
	// Unread is a response of which the client read nothing for too long.
	Unread Kind = "connections.unread"
)

// Event is an act of a limit on a connection.
type Event struct {
	Kind Kind
	// Address is the client's, without the port. Account is empty if it is not known.
	Address, Account string
	// Held is what the connection held, and Received how many bytes of the body had arrived.
	Held, Received int64
	// Quiet is how long nothing had arrived.
	Quiet time.Duration
}

// Observer counts and logs the acts of limits.
type Observer struct {
	metrics   *mpmetric.Set
	logger    log.Logger
	summaries *mplog.Summarizer
}

// NewObserver returns an Observer.
func NewObserver(metrics *mpmetric.Set, logger log.Logger) *Observer {
	return &Observer{metrics: metrics, logger: logger, summaries: mplog.NewSummarizer(logger, mplog.MsgClientsLimited)}
}

// Observe counts and logs e. Further events of a kind within a second are summarized in one line.
func (o *Observer) Observe(e Event) {
	o.metrics.Add(string(e.Kind), 1)
	if o.summaries.ShouldLog(string(e.Kind), e.Address) {
		_ = level.Info(o.logger).Log("msg", "client limited", "cause", e.Kind, "address", e.Address, "account", e.Account,
			"held", e.Held, "received", e.Received, "quiet", e.Quiet)
	}
}

// Publish registers the gauges that show the use of b.
func (o *Observer) Publish(b *Budget) {
	o.metrics.Gauge("memory.used", func() any { return b.Stats().Used })
	o.metrics.Gauge("memory.limit", func() any { return b.Stats().Limit })
	o.metrics.Gauge("memory.waiting", func() any { return b.Stats().Waiting })
	o.metrics.Gauge("connections.open", func() any { return b.Stats().Open })
	o.metrics.Gauge("connections.limit", func() any { return b.Stats().Connections })
}
