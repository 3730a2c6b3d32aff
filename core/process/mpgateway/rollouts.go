package mpgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpversion"
)

const (
	reportInterval = mplead.ReportInterval
	// minReportPause is the least time between two reports. Some are sent at once, such as when
	// the last attempt on the old versions ends, which may be so many times in a second.
	minReportPause = 50 * time.Millisecond
	// Counts that have not changed are reported again after reportRefresh, since a leader that lost
	// its office and regained it has none, but no sooner than after reportRefreshPerVM for each VM.
	// This bounds such reports to 100 a second: the leader has a quarter of a core.
	reportRefresh      = 2 * time.Second
	reportRefreshPerVM = 10 * time.Millisecond
	// reportTimeout limits a report, which is far above the round trip between data centres.
	reportTimeout = 300 * time.Millisecond
	// maxReportCalls is how many VMs are asked to take over a report until one of them leads.
	maxReportCalls = 2
)

// reports gives the leader what this VM has counted of the roll-outs that run. Each report has all
// counts, so that the next one makes good the loss of one. Only run uses the fields without a lock.
type reports struct {
	vm       string
	boot     uint64
	versions *mpversion.Board
	hasLease func(now time.Time) bool
	// leader returns the peer address of the leader, or "" if it is not known.
	leader func() string
	// vms returns the number of VMs.
	vms     func() int
	dial    func(address string) (mpwire.PeerClient, error)
	metrics *mpmetric.Set
	logger  log.Logger

	// doneBy is the address of the leader that took over the last report, at doneAt; empty if
	// none did.
	doneBy string
	doneAt time.Time
	// isFailing is set while reports are lost, for the log.
	isFailing bool
}

// newVersions returns the board of a VM that acts on versions, or nil.
func (g *Gateway) newVersions() *mpversion.Board {
	if !g.cfg.Rollouts.Enabled() {
		return nil
	}
	return mpversion.New(mpversion.Config{
		HasLease: func(now time.Time) bool { return g.member.HasLease(now) }, Random: rand.Float64, Metrics: g.metrics, Logger: g.cfg.Logger,
	})
}

// reportRollouts tells the leader what this VM counts of roll-outs, until ctx ends.
func (g *Gateway) reportRollouts(ctx context.Context) {
	if g.versions == nil {
		return
	}
	r := &reports{
		vm: g.cfg.VM, boot: g.boot, versions: g.versions, hasLease: g.member.HasLease, leader: g.member.Leader,
		vms: func() int { return g.member.Current().Size() }, dial: g.client.Stub, metrics: g.metrics, logger: g.cfg.Logger,
	}
	r.run(ctx)
}

// run sends reports while a roll-out runs, until ctx ends. It does nothing otherwise.
func (r *reports) run(ctx context.Context) {
	next := time.NewTimer(reportInterval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.versions.Wakeup():
		case <-next.C:
		}
		if !r.versions.IsRunning() {
			next.Stop() // The board wakes this goroutine up with the next roll-out.
			continue
		}
		r.report(ctx, time.Now())
		mptime.Sleep(ctx, minReportPause)
		next.Reset(reportInterval - minReportPause)
	}
}

// report sends a report if one is due at now.
func (r *reports) report(ctx context.Context, now time.Time) {
	// Without a lease the VM may act on an earlier state of a roll-out than the leader does.
	address := r.leader()
	if !r.hasLease(now) || address == "" {
		r.doneBy = ""
		return
	}
	counts, changed := r.versions.Report(now)
	refresh := max(reportRefresh, time.Duration(r.vms())*reportRefreshPerVM)
	if !changed && r.doneBy == address && now.Sub(r.doneAt) < refresh {
		return
	}
	request := &mpwire.ReportRequest{Vm: r.vm, Boot: r.boot, Counts: mpwire.EncodeCounts(counts)}
	r.doneBy = ""
	var err error
	for range maxReportCalls {
		var reply *mpwire.ReportReply
		if reply, err = r.call(ctx, address, request); err != nil {
			break
		}
		if reply.GetDone() {
			r.doneBy, r.doneAt = address, now
			break
		}
		if address = reply.GetLeader(); address == "" {
			break
		}
	}
	r.record(len(counts), address, err)
}

func (r *reports) call(ctx context.Context, address string, request *mpwire.ReportRequest) (*mpwire.ReportReply, error) {
	peer, err := r.dial(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return peer.Report(ctx, request)
}

// record counts a report, and logs the first one that is lost and the first after it that is not.
func (r *reports) record(rows int, address string, err error) {
	isLost := r.doneBy == ""
	r.metrics.Add("rollout.reports", 1)
	if isLost {
		r.metrics.Add("rollout.reports.lost", 1)
	}
	switch {
	case isLost && !r.isFailing:
		_ = level.Warn(r.logger).Log("msg", "report of roll-outs lost", "rows", rows, "leader", address, "err", err)
	case !isLost && r.isFailing:
		_ = level.Info(r.logger).Log("msg", "report of roll-outs taken over", "rows", rows, "leader", address)
	}
	r.isFailing = isLost
}
