// Package mpdaemon wires up the components of one VM's process and runs them until
// the VM is told to shut down.
package mpdaemon

import (
	"context"
	"expvar"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/connection/mpcaller"
	"mustardpost.org/core/connection/mpmember"
	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpplatform"
	"mustardpost.org/core/connection/mpproposer"
	"mustardpost.org/core/connection/mpreport"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mpconsensus"
	"mustardpost.org/core/process/mphttp"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/process/mpmemory"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mporder"
	"mustardpost.org/core/process/mpowner"
	"mustardpost.org/core/process/mpsettings"
	"mustardpost.org/core/process/mpvoter"
	"mustardpost.org/core/request/mpadmit"
	"mustardpost.org/core/request/mpattempt"
	"mustardpost.org/core/request/mppipeline"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	defaultRetryRatio = 0.08
	// baselineRetryRatio is so high that the baseline retries as if it had no budget.
	baselineRetryRatio   = 4.0
	maxOperatorBodyBytes = 16 << 20
	noteCommitTimeout    = 5 * time.Second
	// softLimitFactor times the budget of clients is the soft limit of the Go runtime, above which garbage is
	// collected more often. A process needs about as much as the budget for everything else.
	softLimitFactor = 2
)

// Config configures a Daemon.
type Config struct {
	Settings mpsettings.Settings
	Logger   log.Logger
}

// Daemon is the process of one VM.
type Daemon struct {
	cfg            Config
	boot           uint64
	metrics        *mpmetric.Set
	memory         *mpmemory.Budget
	client         *mppeer.Client
	member         *mpmember.Member
	owner          *mpowner.Owner
	broker         *mpattempt.Broker
	proposer       *mpproposer.Proposer
	callerHandler  *mpcaller.Server
	admission      *mpadmit.Controller
	callerServer   *mphttp.Server
	operatorServer *mphttp.Server
	peerServer     *mppeer.Server
	voterService   *mpconsensus.Service
}

// New returns a Daemon that is not running yet. Its background work stops when ctx is
// done.
func New(ctx context.Context, cfg Config) *Daemon {
	s := cfg.Settings
	d := &Daemon{
		cfg:          cfg,
		boot:         rand.Uint64() | 1,
		metrics:      mpmetric.New(),
		admission:    mpadmit.New(mpadmit.Config{MaxRequests: s.MaxRequests}),
		voterService: &mpconsensus.Service{IsVoter: s.IsVoter()},
	}
	d.memory = d.newBudget()
	debug.SetMemoryLimit(softLimitFactor * s.MemoryBytes())
	d.client = mppeer.NewClient(mppeer.Config{Secret: s.Secret, LocalIP: s.LocalIP(), Metrics: d.metrics, Logger: cfg.Logger})
	d.member = mpmember.New(mpmember.Config{
		Self:   mpview.VM{Name: s.VM, DC: s.DC, Boot: d.boot, Address: s.CallerAddress, Peer: s.PeerAddress},
		Voters: s.VoterPeers,
		Client: d.client,
		Logger: cfg.Logger,
		OnView: d.onView,
	})
	d.owner = mpowner.New(mpowner.Config{
		VM:           s.VM,
		MaxStaleness: s.LeaseDuration() + mplead.DriftMargin(s.LeaseDuration()),
		HasLease:     d.member.HasLease,
		Metrics:      d.metrics,
		Logger:       cfg.Logger,
		Strict:       s.Strict,
	})
	d.broker = mpattempt.New(ctx, mpattempt.Config{
		VM: s.VM, LocalOwner: d.owner, Client: d.client, Metrics: d.metrics, Clock: time.Now,
	})
	d.proposer = mpproposer.New(mpproposer.Config{Client: d.client, LeaderHint: d.member, Voters: s.VoterPeers})
	d.assembleServers()
	d.publishMetrics()
	return d
}

// newBudget returns the budget of callers and operators.
func (d *Daemon) newBudget() *mpmemory.Budget {
	observer := mpmemory.NewObserver(d.metrics, d.cfg.Logger)
	b := mpmemory.New(mpmemory.Config{
		Bytes: d.cfg.Settings.MemoryBytes(), Connections: connectionLimit(), ConnectionBytes: mphttp.ConnectionBytes, OnEvent: observer.Observe,
	})
	observer.Publish(b)
	return b
}

// connectionLimit returns how many connections callers and operators may have, by the descriptors that the
// process may have.
func connectionLimit() int {
	var nofile syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &nofile); err != nil {
		return mphttp.MaxConnections
	}
	return min(mpmemory.ClientConnections(int(min(nofile.Cur, math.MaxInt32))), mphttp.MaxConnections)
}

func (d *Daemon) assembleServers() {
	s := d.cfg.Settings
	permits, retryRatio := mppipeline.PermitSource(d.broker), defaultRetryRatio
	if s.Baseline {
		permits, retryRatio = mpattempt.NewBaseline(d.member), baselineRetryRatio
	}
	runner := mppipeline.New(mppipeline.Config{
		VM:         s.VM,
		DC:         s.DC,
		Boot:       d.boot,
		Permits:    permits,
		Upstreams:  mpupstream.New(),
		Proposer:   d.proposer,
		Membership: d.member,
		Metrics:    d.metrics,
		Logger:     d.cfg.Logger,
		Clock:      time.Now,
		RetryRatio: retryRatio,
	})
	d.callerHandler = mpcaller.New(mpcaller.Config{
		VM:         s.VM,
		DC:         s.DC,
		Membership: d.member,
		Runner:     runner,
		Admission:  d.admission,
		Memory:     d.memory,
		Metrics:    d.metrics,
		Logger:     d.cfg.Logger,
		OnOverload: d.recordOverload,
	})
	d.callerServer = mphttp.New(mphttp.Config{
		Name:          "caller",
		Address:       s.CallerAddress,
		Handler:       d.callerHandler.Handler(),
		MaxBodyBytes:  s.MaxBodyBytes,
		RefusalHeader: mpcaller.RefusalHeader,
		Memory:        d.memory,
		Logger:        d.cfg.Logger,
	})
	operator := mpoperator.New(mpoperator.Config{
		VM:         s.VM,
		Tokens:     s.Tokens,
		Voters:     s.VoterPeers(),
		Membership: d.member,
		Proposer:   d.proposer,
		Client:     d.client,
		Logger:     d.cfg.Logger,
	})
	d.operatorServer = mphttp.New(mphttp.Config{
		Name: "operator", Address: s.OperatorAddress, Handler: operator.Handler(), MaxBodyBytes: maxOperatorBodyBytes,
		Memory: d.memory, Logger: d.cfg.Logger,
	})
}

func (d *Daemon) publishMetrics() {
	d.metrics.Gauge("revision", func() any { return d.member.Current().Revision() })
	d.metrics.Gauge("lease", func() any { return d.member.HasLease(time.Now()) })
	d.metrics.Gauge("running", func() any { return d.admission.InFlight() })
	d.metrics.Gauge("held", func() any { return d.broker.Held() })
	d.metrics.Gauge("claims", func() any {
		if v := d.voterService.Voter(); v != nil {
			return v.StateMachine().Claims()
		}
		return 0
	})
	if expvar.Get("mustardpost") == nil {
		expvar.Publish("mustardpost", d.metrics.Var())
	}
}

func (d *Daemon) onView(now time.Time, old, next *mpview.View) {
	d.owner.OnView(now, old, next)
	d.broker.OnView(now, old, next)
	d.callerHandler.OnView(now, old, next)
}

func (d *Daemon) recordOverload(text string) {
	level.Warn(d.cfg.Logger).Log("msg", "overload", "text", text)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteCommitTimeout)
		defer cancel()
		op := mpview.Note{Kind: "overload", Text: d.cfg.Settings.VM + ": " + text}
		_, _ = d.proposer.Propose(ctx, mpstate.Change{ID: mpid.New(), Who: "system", Change: mpview.Change{Op: op}}, 0)
	}()
}

// Run serves until leave is done, then leaves the deployment: it hands over leadership
// and the groups that it owns, serves the requests that still arrive, and returns when
// all of them have finished or ctx is done. It returns early with the error of a
// component that cannot continue.
func (d *Daemon) Run(ctx, leave context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mphttp.UseLogger(d.cfg.Logger)
	var err error
	d.peerServer, err = mppeer.Serve(mppeer.ServerConfig{
		Address: d.cfg.Settings.PeerListenAddress(),
		Secret:  d.cfg.Settings.Secret,
		Peer:    &peer{Service: d.voterService, daemon: d},
		Metrics: d.metrics,
		Logger:  d.cfg.Logger,
	})
	if err != nil {
		return err
	}
	defer d.peerServer.Stop()
	if err := d.operatorServer.Start(); err != nil {
		return err
	}
	defer d.operatorServer.Stop()
	failed := make(chan error, 1)
	if d.cfg.Settings.IsVoter() {
		v, err := d.startVoter(ctx, leave, failed)
		if err != nil {
			return err
		}
		defer v.Stop()
	}
	go d.owner.Run(ctx)
	go d.member.Run(ctx)
	go mpreport.New(mpreport.Config{Owner: d.owner, Current: d.member.Current}).Run(ctx)
	if err := d.callerServer.Start(); err != nil {
		return err
	}
	defer d.callerServer.Stop()
	level.Info(d.cfg.Logger).Log("msg", "serving", "caller", d.cfg.Settings.CallerAddress)
	select {
	case <-leave.Done():
		d.leave(ctx)
		return nil
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// startVoter starts this VM's replica of the state, and the executor of orders.
func (d *Daemon) startVoter(ctx, leave context.Context, failed chan error) (*mpconsensus.Voter, error) {
	s := d.cfg.Settings
	cfg := mpconsensus.Config{
		Voter: mpvoter.Config{
			VM:              s.VM,
			Address:         s.PeerAddress,
			DataDir:         s.DataDir,
			Seeds:           s.VoterPeers,
			ShouldBootstrap: func() bool { return s.Voters[0].VM == s.VM },
			Client:          d.client,
			Logger:          d.cfg.Logger,
		},
		SnapshotThreshold: s.SnapshotThreshold,
		ElectionTimeout:   s.ElectionTimeout(),
		LeaseDuration:     s.LeaseDuration(),
		MinVoters:         len(s.Voters)/2 + 1,
	}
	if s.PlatformURL != "" {
		cfg.Platform = mpplatform.New(s.PlatformURL)
	}
	v, err := mpconsensus.Start(ctx, leave, cfg, failed)
	if err != nil {
		return nil, err
	}
	d.voterService.SetVoter(v)
	go mporder.New(mporder.Config{Machine: v.StateMachine(), Leader: v.Leader(), Logger: d.cfg.Logger}).Run(ctx)
	return v, nil
}

const (
	leavePollInterval = 20 * time.Millisecond
	// leaveIdleDelay lets the last responses reach their callers before the process exits.
	leaveIdleDelay = 300 * time.Millisecond
	// leaveTimeout is the longest deadline that the catalogue allows for a class.
	leaveTimeout = 10 * time.Minute
)

// hasGroupsToTransfer reports whether this VM still owns groups that another serving VM
// can take over.
func (d *Daemon) hasGroupsToTransfer() bool {
	view := d.member.Current()
	for _, vm := range view.VMs() {
		if vm.Name != d.cfg.Settings.VM && view.Serves(vm) {
			return len(d.owner.Groups()) > 0
		}
	}
	return false
}

// leave announces that this VM is leaving, hands over leadership and the groups that it
// owns, and returns when the address of this VM has expired at all callers and the VM has
// been idle for leaveIdleDelay, or after leaveTimeout.
func (d *Daemon) leave(ctx context.Context) {
	level.Info(d.cfg.Logger).Log("msg", "leaving")
	started := time.Now()
	d.member.Leave()
	d.callerServer.StartDraining()
	if v := d.voterService.Voter(); v != nil {
		v.Replica().TransferLeadership()
	}
	d.awaitUnlisted(ctx)
	unlistedAt := time.Now()
	idleSince := unlistedAt
	t := time.NewTicker(leavePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if d.callerServer.InFlight() > 0 || d.broker.Held() > 0 || d.hasGroupsToTransfer() {
			idleSince = now
		}
		addressesExpired := now.Sub(unlistedAt) > mpcaller.AddressTTL
		if addressesExpired && now.Sub(idleSince) > leaveIdleDelay || now.Sub(started) > leaveTimeout {
			level.Info(d.cfg.Logger).Log("msg", "left", "took", now.Sub(started))
			return
		}
	}
}

// awaitUnlisted waits until no VM gives this one's address to callers any more. That is
// so when a change that was proposed after this VM's row was marked as leaving is in
// force, and at the latest when all leases granted before the call have expired.
func (d *Daemon) awaitUnlisted(ctx context.Context) {
	maxLease := d.cfg.Settings.LeaseDuration() + mplead.DriftMargin(d.cfg.Settings.LeaseDuration())
	ctx, cancel := context.WithTimeout(ctx, maxLease)
	defer cancel()
	t := time.NewTicker(leavePollInterval)
	defer t.Stop()
	for {
		if row, ok := d.member.Current().VM(d.cfg.Settings.VM); ok && row.Leaving {
			break
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
	op := mpview.Note{Kind: "leave", Text: d.cfg.Settings.VM + " is no longer named to callers"}
	c := mpstate.Change{ID: mpid.New(), Who: "system", Change: mpview.Change{Op: op}}
	reply, err := d.proposer.Propose(ctx, c, maxLease)
	if err != nil || !reply.InForce {
		<-ctx.Done()
	}
}
