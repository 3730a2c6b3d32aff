// Package mpgateway assembles the process of one VM of a deployment whose
// upstreams come from a platform's list and whose routes come from a published
// plan. What the platform speaks is translated by the caller of New.
package mpgateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpmember"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpproposer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpseat"
	"mustardpost.org/core/process/mpstage"
	"mustardpost.org/core/process/mpvoter"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mppass"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	systemAccount = "operator"
	// commitWithin is less than operators wait before they try another VM.
	commitWithin = 900 * time.Millisecond
	forgetEvery  = 10 * time.Second
	// orphanEvery is how often a VM without a lease reads the platform's list: the
	// platform bears a few dozen readings a second from all VMs.
	orphanEvery = 2 * time.Second
)

// Budget bounds repeats at one pool, over all VMs.
type Budget struct {
	// Ratio is the number of repeats that each request earns.
	Ratio float64
	// Slack is the number of repeats that all VMs together may save up.
	Slack float64
}

// Config holds what a Gateway needs from outside.
type Config struct {
	VM string
	DC string
	// Caller is where callers connect; empty at VMs that serve none.
	Caller string
	// Peer is where other VMs connect.
	Peer string
	// Source is the IP number to call from.
	Source net.IP
	// Secret is the deployment's, by which peers know each other.
	Secret string
	// Seeds returns the peer addresses of VMs that may know the leader.
	Seeds func() []string
	// Votes tells that this VM holds replicated state, under Data.
	Votes bool
	Data  string
	// Founds tells that this VM founds a deployment where there is none.
	Founds func() bool
	// Quorate is the number of voters without which no change is accepted.
	Quorate  int
	Lease    time.Duration
	Election time.Duration
	// Segment is the length of the log file, in bytes, that starts a snapshot.
	Segment int
	Budget  Budget

	Dialect   mppass.Dialect
	Pieces    mpstage.BatchClient
	Upstreams mplead.UpstreamLister
	// Decode returns the table of a published plan.
	Decode func(mpview.Routing) (*mproute.Table, error)
	Client http.RoundTripper
	Logger log.Logger
}

// Gateway is the process of one VM.
type Gateway struct {
	cfg      Config
	metrics  *mpmetric.Set
	client   *mppeer.Client
	member   *mpmember.Member
	proposer *mpproposer.Proposer
	selector *mpselect.Selector
	seats    *mpseat.Service
	owner    *mpstage.Owner
	router   *mpstage.Router
	passer   *mppass.Proxy

	table atomic.Pointer[mproute.Table]
	list  atomic.Pointer[mplist.List]
	// usable is the part of list that view leaves in service.
	usable atomic.Pointer[mplist.Usable]

	mu      sync.Mutex
	view    *mpview.View
	budgets map[string]*mpbudget.Budget
	// leased is when this VM was last seen with a lease; readList alone uses it.
	leased time.Time
}

var _ mppass.RoutingState = (*Gateway)(nil)

// New assembles a process. ctx bounds all work in its background; boot differs
// for each start.
func New(ctx context.Context, boot uint64, cfg Config) *Gateway {
	g := &Gateway{
		cfg:      cfg,
		metrics:  mpmetric.New(),
		selector: mpselect.New(mpselect.Config{VM: cfg.VM}),
		seats:    &mpseat.Service{IsVoter: cfg.Votes},
		budgets:  map[string]*mpbudget.Budget{},
		view:     mpview.Empty(),
	}
	g.client = mppeer.NewClient(mppeer.Config{Secret: cfg.Secret, LocalIP: cfg.Source, Metrics: g.metrics})
	g.member = mpmember.New(mpmember.Config{
		Self: mpview.VM{
			Name: cfg.VM, DC: cfg.DC, Boot: boot, Address: cfg.Caller, Peer: cfg.Peer, Voter: cfg.Votes,
		},
		Voters: cfg.Seeds,
		Client: g.client,
		Logger: cfg.Logger,
		OnView: g.onView,
		OnList: g.onList,
	})
	g.proposer = mpproposer.New(mpproposer.Config{Client: g.client, LeaderHint: g.member, Voters: cfg.Seeds})
	g.owner = mpstage.NewOwner(ctx, mpstage.OwnerConfig{
		Client: cfg.Pieces, Metrics: g.metrics, Logger: cfg.Logger, Clock: time.Now,
	})
	g.router = mpstage.NewRouter(mpstage.RouterConfig{
		VM: cfg.VM, Local: g.owner, Client: g.client, View: g.member.Current, Logger: cfg.Logger, Clock: time.Now,
	})
	g.passer = mppass.New(mppass.Config{
		DC:            cfg.DC,
		State:         g,
		Dialect:       cfg.Dialect,
		StageExecutor: g.router,
		Selector:      g.selector,
		Budget:        g.budget,
		Transport:     cfg.Client,
		Metrics:       g.metrics,
		Logger:        cfg.Logger,
		Clock:         time.Now,
	})
	g.publish()
	return g
}

// publish offers what a reader needs to tell this VM's health.
func (g *Gateway) publish() {
	g.metrics.Gauge("lease", func() any { return g.member.HasLease(time.Now()) })
	g.metrics.Gauge("revision", func() any { return g.member.Current().Revision() })
	g.metrics.Gauge("plan", func() any { return g.Table().Version() })
	g.metrics.Gauge("vms", func() any { return len(g.member.Current().VMs()) })
	g.metrics.Gauge("upstreams", func() any { return len(g.List().Rows()) })
	g.metrics.Gauge("upstreams.age", func() any {
		if list := g.List(); list != nil {
			return time.Since(list.ReceivedAt())
		}
		return time.Duration(0)
	})
	g.metrics.Gauge("leads", func() any {
		seat := g.seats.Voter()
		return seat != nil && seat.Replica().Status().Leading
	})
	g.metrics.Gauge("pieces.waiting", func() any { return g.owner.Waiting() })
}

// peer answers the other VMs.
type peer struct {
	*mpseat.Service
	g *Gateway
}

var _ mpwire.PeerServer = peer{}

// Make makes the pieces of one stage.
func (p peer) Make(ctx context.Context, r *mpwire.MakeRequest) (*mpwire.MakeReply, error) {
	return p.g.owner.Serve(ctx, r), nil
}

// Free gives up results.
func (p peer) Free(_ context.Context, r *mpwire.FreeRequest) (*mpwire.FreeReply, error) {
	p.g.owner.Free(r.GetPool(), r.GetHandles())
	return &mpwire.FreeReply{}, nil
}

// Run takes part in the deployment until ctx ends, or returns the error of a
// part that cannot go on. leave ends a wait for other voters.
func (g *Gateway) Run(ctx, leave context.Context) error {
	peers, err := mppeer.Serve(mppeer.ServerConfig{
		Address: g.cfg.Peer,
		Secret:  g.cfg.Secret,
		Peer:    peer{Service: g.seats, g: g},
		Metrics: g.metrics,
	})
	if err != nil {
		return err
	}
	defer peers.Stop()
	go g.member.Run(ctx)
	failed := make(chan error, 1)
	if g.cfg.Votes {
		go func() {
			failed <- mpseat.Supervise(ctx, leave, mpseat.Config{
				Voter: mpvoter.Config{
					VM:              g.cfg.VM,
					Address:         g.cfg.Peer,
					DataDir:         g.cfg.Data,
					Seeds:           g.cfg.Seeds,
					ShouldBootstrap: g.cfg.Founds,
					Client:          g.client,
					Logger:          g.cfg.Logger,
				},
				SnapshotThreshold: g.cfg.Segment,
				ElectionTimeout:   g.cfg.Election,
				LeaseDuration:     g.cfg.Lease,
				MinVoters:         g.cfg.Quorate,
				Upstreams:         g.cfg.Upstreams,
			}, g.seats.SetVoter)
		}()
	}
	if g.cfg.Caller != "" {
		go mptime.Every(ctx, orphanEvery, func(now time.Time) { g.readList(ctx, now) })
	}
	go mptime.Every(ctx, forgetEvery, func(now time.Time) { g.selector.Prune(now, g.List()) })
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		if g.cfg.Votes {
			return <-failed // The data folder is closed then.
		}
		return nil
	}
}

// readList reads the platform's list while no leader passes it on.
func (g *Gateway) readList(ctx context.Context, now time.Time) {
	if g.member.HasLease(now) {
		g.leased = now
		return
	}
	if now.Sub(g.leased) < orphanEvery {
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

// Leave announces that this VM is about to stop, and hands over leadership.
func (g *Gateway) Leave() {
	g.member.Leave()
	if seat := g.seats.Voter(); seat != nil {
		seat.Replica().TransferLeadership()
	}
}

func (g *Gateway) onView(_ time.Time, old, next *mpview.View) {
	if r := next.Routing(); r.Version != old.Routing().Version {
		table, err := g.cfg.Decode(r)
		if err != nil {
			// The plan was checked before it was accepted.
			_ = level.Error(g.cfg.Logger).Log("msg", "plan not understood", "plan", r.Version, "err", err)
			return
		}
		g.table.Store(table)
		_ = level.Info(g.cfg.Logger).Log("msg", "plan in force", "plan", r.Version, "revision", next.Revision())
	}
	var serving []string
	for _, vm := range next.Serving() {
		serving = append(serving, vm.Name)
	}
	g.selector.SetPeers(serving)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view = next
	g.refill()
}

func (g *Gateway) onList(_ time.Time, list *mplist.List) {
	_ = level.Info(g.cfg.Logger).Log("msg", "list of upstreams adopted", "rows", len(list.Rows()), "hash", list.Hash())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list.Store(list)
	g.refill()
}

// refill derives from the view and the list which upstreams may get new work.
// g.mu is held.
func (g *Gateway) refill() {
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

// Usable returns the upstreams that may get new work.
func (g *Gateway) Usable() *mplist.Usable { return g.usable.Load() }

// Passer returns what serves callers.
func (g *Gateway) Passer() *mppass.Proxy { return g.passer }

// Metrics returns the counters of the process.
func (g *Gateway) Metrics() *mpmetric.Set { return g.metrics }

// IsReady reports whether this VM can serve callers.
func (g *Gateway) IsReady() bool { return g.Table() != nil && g.List() != nil }

// Addresses returns where callers may connect, in no order. It is empty while
// this VM has not joined the deployment.
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
		share := g.cfg.Budget.Slack / float64(max(len(g.Addresses()), 1))
		b = mpbudget.New(mpbudget.Config{Ratio: g.cfg.Budget.Ratio, Burst: max(share, 1)})
		g.budgets[pool] = b
	}
	return b
}

// Publish replaces the operators' plan, unless a newer one is in force. After
// an error that wraps ErrUnknown it may yet take effect.
func (g *Gateway) Publish(ctx context.Context, r mpview.Routing) error {
	return g.change(ctx, mpview.Publish{Routing: r})
}

// SetOut takes a data centre out of service or back in.
func (g *Gateway) SetOut(ctx context.Context, dc string, out bool) error {
	return g.change(ctx, mpview.Mark{Target: mpview.TargetDC, Name: dc, Out: out})
}

func (g *Gateway) change(ctx context.Context, op mpview.Op) error {
	ctx, cancel := context.WithTimeout(ctx, commitWithin)
	defer cancel()
	c := mpstate.Change{ID: mpid.New(), Who: systemAccount, Change: mpview.Change{Op: op}}
	reply, err := g.proposer.Propose(ctx, c, 0)
	if err != nil {
		return err
	}
	return reply.Result.Err()
}

// Read returns the newest published plan; its version is 0 where there is none.
func (g *Gateway) Read(ctx context.Context) (mpview.Routing, error) {
	ctx, cancel := context.WithTimeout(ctx, commitWithin)
	defer cancel()
	reply, err := g.proposer.Propose(ctx, mpstate.Read{}, 0)
	if err != nil || reply.Result.Routing == nil {
		return mpview.Routing{}, err
	}
	return *reply.Result.Routing, nil
}
