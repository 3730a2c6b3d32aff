// Package mpdaemon assembles the process of one VM from its parts and runs it
// until it is told to leave.
package mpdaemon

import (
	"context"
	"expvar"
	"math/rand/v2"
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
	"mustardpost.org/core/process/mphttp"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mporder"
	"mustardpost.org/core/process/mpowner"
	"mustardpost.org/core/process/mpseat"
	"mustardpost.org/core/process/mpsettings"
	"mustardpost.org/core/process/mpvoter"
	"mustardpost.org/core/request/mpadmit"
	"mustardpost.org/core/request/mpattempt"
	"mustardpost.org/core/request/mppipeline"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	retryRatio = 0.08
	// unboundedRatio is that of the baseline, which retries without a budget.
	unboundedRatio = 4.0
	operatorBody   = 16 << 20
	noteWithin     = 5 * time.Second
)

// Config holds what a Daemon needs from outside.
type Config struct {
	Settings mpsettings.Settings
	Logger   log.Logger
}

// Daemon is the process of one VM.
type Daemon struct {
	cfg      Config
	boot     uint64
	metrics  *mpmetric.Set
	client   *mppeer.Client
	member   *mpmember.Member
	owner    *mpowner.Owner
	broker   *mpattempt.Broker
	proposer *mpproposer.Proposer
	caller   *mpcaller.Server
	door     *mpadmit.Controller
	callers  *mphttp.Server
	operator *mphttp.Server
	peers    *mppeer.Server
	seats    *mpseat.Service
}

// New assembles a process. ctx bounds all work in its background.
func New(ctx context.Context, cfg Config) *Daemon {
	s := cfg.Settings
	d := &Daemon{
		cfg:     cfg,
		boot:    rand.Uint64() | 1,
		metrics: mpmetric.New(),
		door:    mpadmit.New(mpadmit.Config{MaxRequests: s.Requests}),
		seats:   &mpseat.Service{IsVoter: s.IsVoter()},
	}
	d.client = mppeer.NewClient(mppeer.Config{Secret: s.Secret, LocalIP: s.Source(), Metrics: d.metrics})
	d.member = mpmember.New(mpmember.Config{
		Self:   mpview.VM{Name: s.VM, DC: s.DC, Boot: d.boot, Address: s.Caller, Peer: s.Peer},
		Voters: s.VoterPeers,
		Client: d.client,
		Logger: cfg.Logger,
		OnView: d.onView,
	})
	d.owner = mpowner.New(mpowner.Config{
		VM:           s.VM,
		MaxStaleness: s.LeaseSpan() + mplead.DriftMargin(s.LeaseSpan()),
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
	d.publish()
	return d
}

func (d *Daemon) assembleServers() {
	s := d.cfg.Settings
	permits, ratio := mppipeline.PermitSource(d.broker), retryRatio
	if s.Baseline {
		permits, ratio = mpattempt.NewBaseline(d.member), unboundedRatio
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
		RetryRatio: ratio,
	})
	d.caller = mpcaller.New(mpcaller.Config{
		VM:         s.VM,
		DC:         s.DC,
		Membership: d.member,
		Runner:     runner,
		Admission:  d.door,
		Metrics:    d.metrics,
		Logger:     d.cfg.Logger,
		OnOverload: d.noteOverload,
	})
	d.callers = mphttp.New(mphttp.Config{
		Name:    "caller",
		Address: s.Caller,
		Handler: d.caller.Handler(),
		MaxBody: s.Body,
		Refusal: mpcaller.ParseErrorHeader(),
		Logger:  d.cfg.Logger,
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
	d.operator = mphttp.New(mphttp.Config{
		Name: "operator", Address: s.Operator, Handler: operator.Handler(), MaxBody: operatorBody, Logger: d.cfg.Logger,
	})
}

func (d *Daemon) publish() {
	d.metrics.Gauge("revision", func() any { return d.member.Current().Revision() })
	d.metrics.Gauge("lease", func() any { return d.member.HasLease(time.Now()) })
	d.metrics.Gauge("running", func() any { return d.door.InFlight() })
	d.metrics.Gauge("held", func() any { return d.broker.Held() })
	d.metrics.Gauge("claims", func() any {
		if v := d.seats.Voter(); v != nil {
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
	d.caller.OnView(now, old, next)
}

func (d *Daemon) noteOverload(text string) {
	level.Warn(d.cfg.Logger).Log("msg", "overload", "text", text)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteWithin)
		defer cancel()
		op := mpview.Note{Kind: "overload", Text: d.cfg.Settings.VM + ": " + text}
		_, _ = d.proposer.Propose(ctx, mpstate.Change{ID: mpid.New(), Who: "system", Change: mpview.Change{Op: op}}, 0)
	}()
}

// Run serves until leave ends, then leaves: it hands over what it owns, serves
// the requests that still come, and returns when all have ended or ctx does.
// It returns early with the error of a part that cannot go on.
func (d *Daemon) Run(ctx, leave context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mphttp.UseLogger(d.cfg.Logger)
	var err error
	d.peers, err = mppeer.Serve(mppeer.ServerConfig{
		Address: d.cfg.Settings.Listen(),
		Secret:  d.cfg.Settings.Secret,
		Peer:    &peer{Service: d.seats, d: d},
		Metrics: d.metrics,
	})
	if err != nil {
		return err
	}
	defer d.peers.Stop()
	if err := d.operator.Start(); err != nil {
		return err
	}
	defer d.operator.Stop()
	failed := make(chan error, 1)
	if d.cfg.Settings.IsVoter() {
		v, err := d.startSeat(ctx, leave, failed)
		if err != nil {
			return err
		}
		defer v.Stop()
	}
	go d.owner.Run(ctx)
	go d.member.Run(ctx)
	go mpreport.New(mpreport.Config{Owner: d.owner, Current: d.member.Current}).Run(ctx)
	if err := d.callers.Start(); err != nil {
		return err
	}
	defer d.callers.Stop()
	level.Info(d.cfg.Logger).Log("msg", "serving", "caller", d.cfg.Settings.Caller)
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

// startSeat brings up this VM's part in the replicated state.
func (d *Daemon) startSeat(ctx, leave context.Context, failed chan error) (*mpseat.Voter, error) {
	s := d.cfg.Settings
	cfg := mpseat.Config{
		Voter: mpvoter.Config{
			VM:              s.VM,
			Address:         s.Peer,
			DataDir:         s.Data,
			Seeds:           s.VoterPeers,
			ShouldBootstrap: func() bool { return s.Voters[0].VM == s.VM },
			Client:          d.client,
			Logger:          d.cfg.Logger,
		},
		SnapshotThreshold: s.Segment,
		ElectionTimeout:   s.ElectionSpan(),
		LeaseDuration:     s.LeaseSpan(),
		MinVoters:         len(s.Voters)/2 + 1,
	}
	if s.Platform != "" {
		cfg.Platform = mpplatform.New(s.Platform)
	}
	v, err := mpseat.Start(ctx, leave, cfg, failed)
	if err != nil {
		return nil, err
	}
	d.seats.SetVoter(v)
	go mporder.New(mporder.Config{Machine: v.StateMachine(), Lead: v.Leader(), Logger: d.cfg.Logger}).Run(ctx)
	return v, nil
}

const (
	leaveStep = 20 * time.Millisecond
	// leaveExtra lets the last answers reach their callers before the process ends.
	leaveExtra = 300 * time.Millisecond
	// leaveMost is the longest deadline of any class, in the catalogue's bounds.
	leaveMost = 10 * time.Minute
)

// awaitsHeirs reports whether groups are still to pass to another VM.
func (d *Daemon) awaitsHeirs() bool {
	view := d.member.Current()
	for _, vm := range view.VMs() {
		if vm.Name != d.cfg.Settings.VM && view.Serves(vm) {
			return len(d.owner.Groups()) > 0
		}
	}
	return false
}

// leave announces that this VM is leaving, hands over leadership and the
// groups it owns, and waits until callers with an old address have gone.
func (d *Daemon) leave(ctx context.Context) {
	level.Info(d.cfg.Logger).Log("msg", "leaving")
	started := time.Now()
	d.member.Leave()
	d.callers.Leave()
	if v := d.seats.Voter(); v != nil {
		v.Replica().TransferLeadership()
	}
	d.announce(ctx)
	lastNamed := time.Now()
	idleSince := lastNamed
	t := time.NewTicker(leaveStep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if d.callers.Running() > 0 || d.broker.Held() > 0 || d.awaitsHeirs() {
			idleSince = now
		}
		forgotten := now.Sub(lastNamed) > mpcaller.AddressTTL
		if forgotten && now.Sub(idleSince) > leaveExtra || now.Sub(started) > leaveMost {
			level.Info(d.cfg.Logger).Log("msg", "left", "took", now.Sub(started))
			return
		}
	}
}

// announce returns when no VM names this one to callers any more: when a change
// made after its row says that it is leaving is in force, or at the latest when
// all leases of that moment have run out.
func (d *Daemon) announce(ctx context.Context) {
	bound := d.cfg.Settings.LeaseSpan() + mplead.DriftMargin(d.cfg.Settings.LeaseSpan())
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	t := time.NewTicker(leaveStep)
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
	reply, err := d.proposer.Propose(ctx, c, bound)
	if err != nil || !reply.InForce {
		<-ctx.Done()
	}
}
