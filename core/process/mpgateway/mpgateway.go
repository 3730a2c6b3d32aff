// Package mpgateway wires up the components of one VM's process in a deployment whose
// upstreams come from a platform's list and whose routes come from a published plan.
// The caller of New supplies the translation to and from the platform's formats.
package mpgateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpmember"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpplan"
	"mustardpost.org/core/connection/mpproposer"
	"mustardpost.org/core/connection/mprelay"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mpconsensus"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpstage"
	"mustardpost.org/core/process/mpusage"
	"mustardpost.org/core/process/mpvoter"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	operatorName = "operator"
	systemName   = "system"
	// commitTimeout is shorter than the time that operators wait before they try another VM.
	commitTimeout = 900 * time.Millisecond
	pruneInterval = 10 * time.Second
)

// RetryBudget limits the retries to one pool, over all VMs.
type RetryBudget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the largest number of unused retries that all VMs together may accumulate.
	Burst float64
}

// Config configures a Gateway.
type Config struct {
	VM string
	DC string
	// CPU is the VM's share of processors, in cores; 0 if it is unknown.
	CPU float64
	// CallerAddress is the address that callers connect to; empty if this VM serves no
	// callers.
	CallerAddress string
	// PeerAddress is the address that other VMs connect to, and PeerBindAddress the one to listen
	// on for them.
	PeerAddress     string
	PeerBindAddress string
	// LocalIP is the local IP address for calls to peers.
	LocalIP net.IP
	// Secret is shared by all VMs of the deployment and authenticates peers.
	Secret string
	// Seeds returns the peer addresses of VMs that may know the leader.
	Seeds func() []string
	// IsVoter is set if this VM holds replicated state, which it stores in DataDir.
	IsVoter bool
	DataDir string
	// ShouldBootstrap reports whether this VM bootstraps the deployment if none exists.
	ShouldBootstrap func() bool
	// MinVoters is the number of voters below which no change is accepted.
	MinVoters       int
	LeaseDuration   time.Duration
	ElectionTimeout time.Duration
	// SnapshotThreshold is the size of the log file, in bytes, that triggers a snapshot.
	SnapshotThreshold int
	RetryBudget       RetryBudget
	// Rollouts holds the bounds of version roll-outs. The VM does not act on versions unless they
	// are enabled.
	Rollouts mprollout.Settings

	Dialect     mpproxy.Dialect
	BatchClient mpstage.BatchClient
	Upstreams   mplead.UpstreamLister
	// DecodePlan returns the routing table of a published plan.
	DecodePlan func(mpview.Routing) (*mproute.Table, error)
	Transport  *mpupstream.Transport
	// Relay makes the connections of Transport.
	Relay *mprelay.Dialer
	// Memory limits what buffered responses hold.
	Memory mpproxy.Memory
	// Metrics is the set to which the gateway adds the metrics of the process.
	Metrics *mpmetric.Set
	Logger  log.Logger
}

// proposer commits commands.
type proposer interface {
	Propose(ctx context.Context, c mpstate.Command, inForceWait time.Duration) (mpproposer.Reply, error)
}

var _ proposer = (*mpproposer.Proposer)(nil)

// Gateway is the process of one VM.
type Gateway struct {
	cfg          Config
	metrics      *mpmetric.Set
	client       *mppeer.Client
	member       *mpmember.Member
	plans        *mpplan.Follower
	proposer     proposer
	selector     *mpselect.Selector
	voterService *mpconsensus.Service
	owner        *mpstage.Owner
	router       *mpstage.Router
	proxy        *mpproxy.Proxy
	quarantine   *mpquarantine.Ledger
	evidence     *evidence
	trials       *trials
	quotas       *quotas
	origins      *origins
	engineOwner  *engineOwner
	assigner     *assigner
	notices      *mpnotice.Board
	// versions is nil if this VM does not act on versions.
	versions *mpversion.Board
	boot     uint64

	table atomic.Pointer[mproute.Table]
	list  atomic.Pointer[mplist.List]
	// usable holds the upstreams of list that view does not take out of service.
	usable atomic.Pointer[mplist.Usable]

	mu      sync.Mutex
	view    *mpview.View
	budgets map[string]*mpbudget.Budget
	// fallback decides when this VM reads the list itself. Only refreshListWithoutLease uses it.
	fallback fallbackReads
}

var _ mpproxy.RoutingState = (*Gateway)(nil)

// New returns a Gateway that is not running yet. Its background work stops when ctx is
// done. boot must differ for each start of the process.
func New(ctx context.Context, boot uint64, cfg Config) *Gateway {
	g := &Gateway{
		cfg:          cfg,
		metrics:      cfg.Metrics,
		selector:     mpselect.New(mpselect.Config{VM: cfg.VM}),
		voterService: &mpconsensus.Service{IsVoter: cfg.IsVoter},
		budgets:      map[string]*mpbudget.Budget{},
		view:         mpview.Empty(),
		quarantine:   mpquarantine.New(),
		notices:      mpnotice.New(),
		boot:         boot,
	}
	g.versions = g.newVersions()
	g.client = mppeer.NewClient(mppeer.Config{Secret: cfg.Secret, LocalIP: cfg.LocalIP, Metrics: g.metrics, Logger: cfg.Logger})
	g.quotas = &quotas{
		vm: cfg.VM, view: func() *mpview.View { return g.member.Current() }, dial: g.client.Stub, limits: mpquota.NewLimits(), grants: mpquota.NewGrants(mpquota.GrantsConfig{}),
		ownShare: newOwnShare(), silent: newSilence(), metrics: g.metrics, logger: cfg.Logger,
	}
	g.origins = &origins{
		vm: cfg.VM, view: func() *mpview.View { return g.member.Current() }, dial: g.client.Stub, ledger: mporigin.New(),
		history: mporigin.NewHistory(), silence: newSilence(), metrics: g.metrics, logger: cfg.Logger,
	}
	g.plans = mpplan.New(mpplan.Config{
		Client: g.client, Voters: func() []string { return g.member.Voters() }, Leader: func() string { return g.member.Leader() },
		Adopt: g.adoptPlan, Metrics: g.metrics, Logger: cfg.Logger,
	})
	g.member = mpmember.New(mpmember.Config{
		Self: mpview.VM{
			Name: cfg.VM, DC: cfg.DC, Boot: boot, Address: cfg.CallerAddress, Peer: cfg.PeerAddress, Voter: cfg.IsVoter,
			CPU: thousandths(cfg.CPU),
		},
		Voters:  g.voterAddresses,
		Client:  g.client,
		Metrics: g.metrics,
		Logger:  cfg.Logger,
		OnView:  g.onView,
		OnList:  g.onList,
		Limits:  g.quotas.limits, OnLimit: g.quotas.learn,
		Plans: g.plans,
	})
	g.proposer = mpproposer.New(mpproposer.Config{Client: g.client, LeaderHint: g.member, Voters: g.voterAddresses})
	g.owner = mpstage.NewOwner(ctx, mpstage.OwnerConfig{
		Client: cfg.BatchClient, Quotas: g.quotas, Notices: g.notices, Versions: g.versions, Metrics: g.metrics, Logger: cfg.Logger, Clock: time.Now,
	})
	g.router = mpstage.NewRouter(mpstage.RouterConfig{
		VM: cfg.VM, Local: g.owner, Client: g.client, View: g.member.Current, Table: g.Table, Usable: g.Usable, Versions: g.versions, Logger: cfg.Logger, Clock: time.Now,
	})
	g.evidence = newEvidence(func(ctx context.Context, op mpview.Op) error { return g.propose(ctx, systemName, op) }, g.member.Current, cfg.Logger)
	g.trials = &trials{
		vm: cfg.VM, view: g.member.Current, dial: g.client.Stub, ledger: g.quarantine, arbiter: mpquarantine.NewArbiter(), logger: cfg.Logger,
	}
	g.engineOwner = &engineOwner{
		view: g.member.Current, table: g.Table, usable: g.Usable, metrics: g.metrics, logger: cfg.Logger, pools: map[string]*ownedPool{},
	}
	g.assigner = newAssigner(assignerConfig{
		vm: cfg.VM, view: g.member.Current, dial: g.client.Stub, owner: g.engineOwner, metrics: g.metrics, logger: cfg.Logger,
	})
	g.proxy = mpproxy.New(mpproxy.Config{
		DC:            cfg.DC,
		State:         g,
		PlanState:     g.plans.State,
		Dialect:       cfg.Dialect,
		StageExecutor: g.router,
		Selector:      g.selector,
		Budget:        g.budget,
		Transport:     cfg.Transport,
		Quarantine:    g.quarantine,
		Evidence:      g.evidence,
		Trials:        g.trials,
		Quotas:        g.quotas,
		Notices:       g.notices,
		Origins:       g.origins,
		Memory:        cfg.Memory,
		Assigner:      g.assigner,
		Versions:      g.versions,
		Prober:        cfg.Relay,
		Metrics:       g.metrics,
		Logger:        cfg.Logger,
		Clock:         time.Now,
	})
	cfg.Relay.OnHealed(cfg.Transport.CloseIdleConnections)
	g.publishMetrics()
	return g
}

// Run takes part in the deployment until ctx is done, or returns the error of a
// component that cannot continue. When leave is done, it stops waiting for other voters.
func (g *Gateway) Run(ctx, leave context.Context) error {
	peers, err := mppeer.Serve(mppeer.ServerConfig{
		Address: g.cfg.PeerBindAddress,
		Secret:  g.cfg.Secret,
		Peer:    peer{Service: g.voterService, gateway: g},
		Metrics: g.metrics,
		Logger:  g.cfg.Logger,
	})
	if err != nil {
		return err
	}
	defer peers.Stop()
	go g.member.Run(ctx)
	go g.plans.Run(ctx)
	failed := make(chan error, 1)
	if g.cfg.IsVoter {
		go func() {
			failed <- mpconsensus.Supervise(ctx, leave, mpconsensus.Config{
				Voter: mpvoter.Config{
					VM:              g.cfg.VM,
					Address:         g.cfg.PeerAddress,
					DataDir:         g.cfg.DataDir,
					Seeds:           g.cfg.Seeds,
					ShouldBootstrap: g.cfg.ShouldBootstrap,
					Client:          g.client,
					Logger:          g.cfg.Logger,
				},
				SnapshotThreshold: g.cfg.SnapshotThreshold,
				ElectionTimeout:   g.cfg.ElectionTimeout,
				LeaseDuration:     g.cfg.LeaseDuration,
				MinVoters:         g.cfg.MinVoters,
				Upstreams:         g.cfg.Upstreams,
				Rollouts:          g.cfg.Rollouts,
				Metrics:           g.metrics,
			}, g.voterService.SetVoter)
		}()
	}
	if g.cfg.CallerAddress != "" {
		go mptime.Every(ctx, fallbackCheckInterval, func(now time.Time) { g.refreshListWithoutLease(ctx, now) })
		go mptime.Every(ctx, confirmInterval, func(now time.Time) {
			g.versions.Confirm(now)
			if g.member.HasLease(now) {
				g.origins.history.Confirm(now)
			} else {
				g.origins.history.Interrupt()
			}
		})
	}
	go g.evidence.run(ctx)
	go g.reportRollouts(ctx)
	go g.cfg.Relay.Run(ctx)
	go mpusage.NewMonitor(time.Now(), mpusage.Config{Metrics: g.metrics, Logger: g.cfg.Logger}).Run(ctx)
	go mptime.Every(ctx, pruneInterval, func(now time.Time) {
		g.selector.Prune(now, g.List())
		g.owner.Prune(now, g.List().Has)
		g.quotas.prune(now, g.List().Has)
		g.engineOwner.prune(now)
		g.assigner.prune(now)
		g.notices.Prune(g.List().Has)
	})
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		if g.cfg.IsVoter {
			return <-failed // The data directory is closed by then.
		}
		return nil
	}
}

// refreshListWithoutLease reads the platform's list of upstreams while this VM has no
// lease and so gets no list from a leader.
func (g *Gateway) refreshListWithoutLease(ctx context.Context, now time.Time) {
	vms, upstreams := g.member.Current().Size(), len(g.List().Rows())
	if g.Table() == nil || !g.fallback.isDue(now, g.member.HasLease(now), vms, upstreams, rand.Float64()) {
		return
	}
	rows, err := g.cfg.Upstreams.List(ctx)
	if err != nil {
		_ = level.Warn(g.cfg.Logger).Log("msg", "list of upstreams not read", "err", err)
		return
	}
	now = time.Now()
	if list := mplist.New(now, rows); !g.member.HasLease(now) && list.Hash() != g.List().Hash() {
		g.member.SetList(now, list)
	}
}

// voterAddresses returns the peer addresses of VMs that may know the leader: the seeds, and
// the members that the log of this VM's voter names, including itself.
func (g *Gateway) voterAddresses() []string {
	seeds := g.cfg.Seeds()
	if voter := g.voterService.Voter(); voter != nil {
		return mpvoter.Candidates("", seeds, voter.Replica().Status().Members)
	}
	return seeds
}

// Leave announces that this VM is about to stop, and hands over leadership. The process ends
// at until.
func (g *Gateway) Leave(until time.Time) {
	g.member.Leave()
	g.proxy.Leave(until)
	if voter := g.voterService.Voter(); voter != nil {
		voter.Replica().TransferLeadership()
	}
}

func (g *Gateway) onView(now time.Time, old, next *mpview.View) {
	g.updateQuarantine(now, next) // Before the first plan lets this VM serve.
	g.versions.SetRollouts(next.Rollouts())
	serving := vmNames(next.Serving())
	g.selector.SetPeers(serving)
	g.cfg.Relay.SetPeers(relayPeers(next, g.cfg.VM, g.client.Stub))
	if !slices.Equal(serving, vmNames(old.Serving())) {
		g.trials.arbiter.Pause(now)
		g.assigner.updateView(next)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view = next
	g.updateUsable()
}

// updateQuarantine takes over what the other VMs learned about crashes.
func (g *Gateway) updateQuarantine(now time.Time, view *mpview.View) {
	convicted, cleared := g.quarantine.SetStrikes(now, view.AllStrikes())
	for _, f := range convicted {
		_ = level.Info(g.cfg.Logger).Log("msg", "conviction learned", "feature", f, "revision", view.Revision())
	}
	if len(cleared) > 0 {
		g.evidence.Clear(cleared)
	}
}

func (g *Gateway) onList(now time.Time, list *mplist.List) {
	g.origins.observe(now, list)
	g.versions.SetList(now, list)
	addresses := make([]string, len(list.Rows()))
	for i, r := range list.Rows() {
		addresses[i] = r.Address
	}
	g.cfg.Relay.SetUpstreams(addresses)
	_ = level.Info(g.cfg.Logger).Log("msg", "list of upstreams adopted", "rows", len(list.Rows()), "hash", list.Hash())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list.Store(list)
	g.updateUsable()
}

// updateUsable recomputes from the view and the list which upstreams may get new work.
// The caller holds g.mu.
func (g *Gateway) updateUsable() {
	usable := g.List().Usable(func(dc string) bool { return g.view.IsOut(mpview.TargetDC, dc) })
	g.usable.Store(usable)
	if table := g.Table(); table != nil {
		g.owner.Update(table, usable)
	}
}

// Table returns the plan in force, or nil.
func (g *Gateway) Table() *mproute.Table { return g.table.Load() }

// List returns the newest list of upstreams, or nil.
func (g *Gateway) List() *mplist.List { return g.list.Load() }

// Usable returns the upstreams that may get new work, or nil.
func (g *Gateway) Usable() *mplist.Usable { return g.usable.Load() }

// Proxy returns the handler of callers' requests.
func (g *Gateway) Proxy() *mpproxy.Proxy { return g.proxy }

// Metrics returns the metrics of the process.
func (g *Gateway) Metrics() *mpmetric.Set { return g.metrics }

// IsReady reports whether this VM can serve callers.
func (g *Gateway) IsReady() bool { return g.Table() != nil && g.List() != nil }

// Addresses returns the addresses that callers may connect to, in no particular order.
// It returns none until this VM has joined the deployment.
func (g *Gateway) Addresses() []string {
	var out []string
	for _, vm := range g.member.Current().Serving() {
		out = append(out, vm.Address)
	}
	return out
}

func (g *Gateway) budget(pool string) *mpbudget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[pool]
	if !ok {
		share := g.cfg.RetryBudget.Burst / float64(max(len(g.Addresses()), 1))
		b = mpbudget.New(mpbudget.Config{Ratio: g.cfg.RetryBudget.Ratio, Burst: max(share, 1)})
		g.budgets[pool] = b
	}
	return b
}

// SetOutOfService takes a data centre out of service or back in.
func (g *Gateway) SetOutOfService(ctx context.Context, dc string, out bool) error {
	return g.propose(ctx, operatorName, mpview.Mark{Target: mpview.TargetDC, Name: dc, Out: out})
}

func (g *Gateway) propose(ctx context.Context, who string, op mpview.Op) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	c := mpstate.Change{ID: mpid.New(), Who: who, Change: mpview.Change{Op: op}}
	reply, err := g.proposer.Propose(ctx, c, 0)
	if err != nil {
		return err
	}
	return reply.Result.Err()
}
