package mpslope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpmember"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpproposer"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpsettings"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
	"mustardpost.org/mustardfake/internal/mpload"
)

const (
	settleTime     = 4 * time.Second
	proposeTimeout = 20 * time.Second
	inForceTimeout = 10 * time.Second
	targetAccounts = 340
	targetEntries  = 33
	targetPools    = 20
)

// Config configures a Runner.
type Config struct {
	VMs []mpsettings.Settings
	// PIDs are the process IDs of the VMs, in the order of VMs.
	PIDs    []int
	Profile mpload.Profile
	// Only names the measurements to run; all if empty.
	Only []string
	// PointDuration is the duration of each measurement.
	PointDuration time.Duration
	Out           io.Writer
}

// Runner measures how costs scale and prints the results.
type Runner struct {
	cfg      Config
	ctx      context.Context
	metrics  *mpmetric.Set
	client   *mppeer.Client
	members  []*mpmember.Member
	proposer *mpproposer.Proposer
}

// New returns a runner that measures the given processes.
func New(ctx context.Context, cfg Config) *Runner {
	r := &Runner{cfg: cfg, ctx: ctx, metrics: mpmetric.New()}
	r.client = mppeer.NewClient(mppeer.Config{Secret: cfg.VMs[0].Secret, Metrics: r.metrics})
	first := r.joinSimulatedVM(1)
	r.proposer = mpproposer.New(mpproposer.Config{Client: r.client, LeaderHint: first, Voters: cfg.VMs[0].VoterPeers})
	return r
}

// joinSimulatedVM starts the n-th simulated VM. It is marked as leaving, so that it
// owns no groups and its address is given to no caller, while its lease costs as
// much as that of any other VM.
func (r *Runner) joinSimulatedVM(n int) *mpmember.Member {
	client := mppeer.NewClient(mppeer.Config{Secret: r.cfg.VMs[0].Secret, Metrics: r.metrics})
	m := mpmember.New(mpmember.Config{
		Self: mpview.VM{
			Name: fmt.Sprintf("standin%d", n), DC: r.cfg.VMs[0].DC, Boot: rand.Uint64(),
			Address: "127.0.0.1:9", Peer: "127.0.0.1:9",
		},
		Voters: r.cfg.VMs[0].VoterPeers,
		Client: client,
		Logger: log.NewNopLogger(),
	})
	m.Leave()
	r.members = append(r.members, m)
	go m.Run(r.ctx)
	return m
}

// RunAll runs all measurements, or those that the config names, cheapest first.
func (r *Runner) RunAll() error {
	steps := []struct {
		name string
		run  func() error
	}{
		{"idle", r.idle}, {"requests", r.requests}, {"tokens", r.tokens}, {"claims", r.claims},
		{"rows", r.rows}, {"leases", r.leases}, {"changes", r.changes},
	}
	for _, s := range steps {
		if len(r.cfg.Only) > 0 && !slices.Contains(r.cfg.Only, s.name) {
			continue
		}
		if err := s.run(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) printf(format string, args ...any) { fmt.Fprintf(r.cfg.Out, format+"\n", args...) }

// cost is the resource usage during a measurement. leader and others are CPU usage in
// percent of one core; others is the mean of all processes but the leader. rss is the
// largest of all processes in bytes; calls and bytes are per second.
type cost struct {
	leader, others float64
	rss            int64
	calls, bytes   float64
}

func (r *Runner) usages() ([]usage, error) {
	out := make([]usage, len(r.cfg.PIDs))
	for i, pid := range r.cfg.PIDs {
		u, err := readUsage(pid)
		if err != nil {
			return nil, mperror.Wrap(err, "read usage of the process of %s", r.cfg.VMs[i].VM)
		}
		out[i] = u
	}
	return out, nil
}

// measure returns the resource usage while work runs.
func (r *Runner) measure(work func()) (cost, error) {
	from, err := r.usages()
	if err != nil {
		return cost{}, err
	}
	calls, bytes := r.metrics.Count("peer.calls"), r.metrics.Count("peer.in")+r.metrics.Count("peer.out")
	started := time.Now()
	work()
	seconds := time.Since(started).Seconds()
	to, err := r.usages()
	if err != nil {
		return cost{}, err
	}
	c := cost{
		calls: float64(r.metrics.Count("peer.calls")-calls) / seconds,
		bytes: float64(r.metrics.Count("peer.in")+r.metrics.Count("peer.out")-bytes) / seconds,
	}
	leader := r.leader()
	for i := range to {
		s := cpuPercent(from[i], to[i])
		if i == leader {
			c.leader = s
		} else {
			c.others += s / float64(len(to)-1)
		}
		c.rss = max(c.rss, to[i].rss)
	}
	return c, nil
}

func (r *Runner) leader() int {
	return slices.IndexFunc(r.cfg.VMs, func(s mpsettings.Settings) bool { return s.PeerAddress == r.members[0].Leader() })
}

func (r *Runner) wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.ctx.Done():
	}
}

func (r *Runner) waitPoint() { r.wait(r.cfg.PointDuration) }

func (r *Runner) idle() error {
	r.wait(settleTime)
	c, err := r.measure(r.waitPoint)
	r.printf("idle: leader %.2f %% of a core, other voters %.2f %%, resident at most %d MB", c.leader, c.others, c.rss>>20)
	return err
}

// load sends requests for one entry at the given rate. It returns the total CPU
// time of all VMs per request, in ms.
func (r *Runner) load(entry string, rate float64) (float64, mpload.Summary, error) {
	p := r.cfg.Profile
	p.Rate, p.Duration, p.MaxResends, p.LedgerAddresses = rate, r.cfg.PointDuration, 0, nil
	p.Entries = slices.DeleteFunc(slices.Clone(p.Entries), func(e mpload.Entry) bool { return e.Name != entry })
	var s mpload.Summary
	c, err := r.measure(func() { s = mpload.Run(r.ctx, p) })
	total := c.leader + c.others*float64(len(r.cfg.PIDs)-1)
	return total / 100 * r.cfg.PointDuration.Seconds() * 1000 / float64(max(s.Total.Sent, 1)), s, err
}

func (r *Runner) requests() error {
	for _, entry := range []string{"stock", "order"} {
		for _, rate := range []float64{50, 100, 200} {
			ms, s, err := r.load(entry, rate)
			if err != nil {
				return err
			}
			r.printf("request: entry %s at %.0f/s: %.3f ms of processor time each at all VMs together, p50 %d ms, attained %.1f %%",
				entry, rate, ms, s.Total.Latency.ValueAtQuantile(50), 100*s.Total.Attainment())
		}
	}
	return nil
}

func (r *Runner) tokens() error {
	var tokens, costs []float64
	for _, e := range []struct {
		name   string
		tokens float64
	}{{"rules", 16}, {"listing", 48}} {
		ms, s, err := r.load(e.name, 20)
		if err != nil {
			return err
		}
		tokens, costs = append(tokens, e.tokens), append(costs, ms)
		r.printf("token: entry %s, 4 stages, %.0f tokens streamed, at 20/s: %.3f ms each, attained %.1f %%",
			e.name, e.tokens, ms, 100*s.Total.Attainment())
	}
	a, b := fitLine(tokens, costs)
	r.printf("token: slope %.4f ms of processor time a token, %.3f ms a four-stage request", b, a)
	return nil
}

func (r *Runner) propose(c mpstate.Command, force time.Duration) (mpproposer.Reply, error) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	return r.proposer.Propose(ctx, c, force)
}

// claims commits pairs of a claim and its finish at increasing rates.
func (r *Runner) claims() error {
	var rates, shares []float64
	for _, rate := range []float64{50, 200, 500} {
		var mu sync.Mutex
		var took []time.Duration
		c, err := r.measure(func() {
			r.runAtRate(rate, func(n int) {
				started := time.Now()
				ref := mpstate.ClaimRef{Account: "slope", Key: fmt.Sprintf("%d-%.0f-%d", started.UnixMilli(), rate, n)}
				holder := mpstate.Holder{VM: "standin1", Request: uint64(n)}
				_, err := r.propose(mpstate.Claim{Ref: ref, Fingerprint: 1, Holder: holder, Issued: started.UnixMilli()}, 0)
				mu.Lock()
				if err == nil {
					took = append(took, time.Since(started))
				}
				mu.Unlock()
				_, _ = r.propose(mpstate.Finish{Ref: ref, Holder: holder, Answer: mpstate.Answer{Status: 200, Body: make([]byte, 200)}}, 0)
			})
		})
		if err != nil {
			return err
		}
		slices.Sort(took)
		rates, shares = append(rates, rate), append(shares, c.leader)
		r.printf("claim: %.0f requests/s (2 commits each): leader %.2f %%, other voters %.2f %%, commit p50 %.2f ms, p99 %.2f ms",
			rate, c.leader, c.others, quantile(took, 0.5), quantile(took, 0.99))
	}
	a, b := fitLine(rates, shares)
	r.printf("claim: slope %.4f %% of a core at the leader for each request/s, %.2f %% at rest", b, a)
	return nil
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}

// runAtRate starts calls of work at a rate (per second) for PointDuration, and
// waits for all of them.
func (r *Runner) runAtRate(rate float64, work func(n int)) {
	var wait sync.WaitGroup
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	count := int(rate * r.cfg.PointDuration.Seconds())
	for n := range count {
		<-t.C
		wait.Go(func() { work(n) })
	}
	wait.Wait()
}

// rows measures memory and view size while the catalogue grows to its target size.
func (r *Runner) rows() error {
	if err := r.putRows(accountsAndEntries()); err != nil {
		return err
	}
	var counts, sizes, memory []float64
	have := 0
	for _, n := range []int{100, 500, 1000, 1900} {
		if err := r.putRows(upstreams(have, n, r.cfg.VMs)); err != nil {
			return err
		}
		have = n
		r.wait(settleTime)
		whole, err := json.Marshal(r.members[0].Current())
		if err != nil {
			return mperror.Wrap(err, "encode view")
		}
		c, err := r.measure(r.waitPoint)
		if err != nil {
			return err
		}
		counts, sizes, memory = append(counts, float64(n)), append(sizes, float64(len(whole))), append(memory, float64(c.rss))
		r.printf("rows: %d upstreams, %d accounts, %d entries: view %d KB, idle leader %.2f %%, others %.2f %%, resident at most %d MB",
			n, targetAccounts, targetEntries, len(whole)>>10, c.leader, c.others, c.rss>>20)
	}
	_, bytes := fitLine(counts, sizes)
	_, resident := fitLine(counts, memory)
	r.printf("rows: slope %.0f bytes of view and %.0f bytes resident an upstream", bytes, resident)
	return nil
}

func (r *Runner) putRows(doc mpcatalogue.Document) error {
	op := mpview.Edit{Edit: mpcatalogue.Edit{Put: doc}}
	reply, err := r.propose(mpstate.Change{Who: "slope", Change: mpview.Change{Op: op}}, inForceTimeout)
	if err == nil {
		err = reply.Result.Err()
	}
	return mperror.Wrap(err, "put rows")
}

func accountsAndEntries() mpcatalogue.Document {
	var doc mpcatalogue.Document
	for i := range targetAccounts {
		doc.Accounts = append(doc.Accounts, mpcatalogue.Account{Name: fmt.Sprintf("slope%d", i), KeyHash: fmt.Sprintf("%064x", i+1), Weight: 1})
	}
	for i := range targetPools {
		doc.Pools = append(doc.Pools, mpcatalogue.Pool{Name: fmt.Sprintf("slope%d", i), Kind: mpcatalogue.Generate, Limit: 8, ColdLimit: 1})
	}
	for i := range targetEntries {
		e := mpcatalogue.Entry{Name: fmt.Sprintf("slope%d", i), Owner: "slope", Class: "assist"}
		for s := range 5 {
			e.Stages = append(e.Stages, mpcatalogue.Stage{Pool: fmt.Sprintf("slope%d", (i+s)%targetPools)})
		}
		doc.Entries = append(doc.Entries, e)
	}
	return doc
}

func upstreams(from, to int, vms []mpsettings.Settings) mpcatalogue.Document {
	var doc mpcatalogue.Document
	for i := from; i < to; i++ {
		doc.Upstreams = append(doc.Upstreams, mpcatalogue.Upstream{
			Name: fmt.Sprintf("slope%d", i), Pool: fmt.Sprintf("slope%d", i%targetPools), DC: vms[i%len(vms)].DC,
			Address: fmt.Sprintf("127.1.%d.%d:80", i/250, i%250+1), VM: fmt.Sprintf("machine%d", i),
		})
	}
	return doc
}

// leases measures the cost at the leader as the number of VMs increases.
func (r *Runner) leases() error {
	var vms, shares []float64
	for _, n := range []int{10, 50, 100, 200, 340} {
		for len(r.members) < n {
			r.joinSimulatedVM(len(r.members) + 1)
		}
		r.wait(settleTime + time.Duration(n)*20*time.Millisecond)
		c, err := r.measure(r.waitPoint)
		if err != nil {
			return err
		}
		vms, shares = append(vms, float64(n)), append(shares, c.leader)
		r.printf("lease: %d VMs: leader %.2f %%, other voters %.2f %%, %.2f calls and %.0f bytes a second a VM, resident at most %d MB",
			n, c.leader, c.others, c.calls/float64(n), c.bytes/float64(n), c.rss>>20)
	}
	a, b := fitLine(vms, shares)
	r.printf("lease: slope %.4f %% of a core at the leader a VM, %.2f %% at rest", b, a)
	return nil
}

// changes measures the time until a change is in force at all simulated VMs, and
// the cost of each change.
func (r *Runner) changes() error {
	for _, rate := range []float64{1, 5} {
		var mu sync.Mutex
		var took []time.Duration
		missed := 0
		idleCost, err := r.measure(r.waitPoint)
		if err != nil {
			return err
		}
		busyCost, err := r.measure(func() {
			r.runAtRate(rate, func(n int) {
				doc := mpcatalogue.Document{Classes: []mpcatalogue.Class{{Name: "slope", Deadline: 1000 + n}}}
				op := mpview.Edit{Edit: mpcatalogue.Edit{Put: doc}}
				reply, err := r.propose(mpstate.Change{Who: "slope", Change: mpview.Change{Op: op}}, inForceTimeout)
				mu.Lock()
				defer mu.Unlock()
				if err != nil || !reply.InForce {
					missed++
					return
				}
				took = append(took, reply.Took)
			})
		})
		if err != nil {
			return err
		}
		slices.Sort(took)
		n := float64(len(r.members))
		r.printf("change: %.0f/s at %.0f VMs: in force after p50 %.0f ms, p99 %.0f ms, %d missed; %.0f bytes a change a VM; leader %.2f %% of a core a change/s",
			rate, n, quantile(took, 0.5), quantile(took, 0.99), missed, (busyCost.bytes-idleCost.bytes)/n/rate, (busyCost.leader-idleCost.leader)/rate)
	}
	return nil
}
