package mpgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/version/mpview"
)

const (
	// minAssignVMs is the number of VMs that serve callers from which owners assign engines. In a
	// smaller fleet each VM sees enough of the load by itself.
	minAssignVMs = 16
	// assignTimeout limits how long a request waits for the owners of engines.
	assignTimeout = 40 * time.Millisecond
	// maxEngineOwners limits the number of owners that are asked in turn for one request.
	maxEngineOwners = 3
)

// Reasons for which a VM chooses an engine by itself, in metrics.
const (
	fallbackSilent  = "silent"
	fallbackTimeout = "timeout"
	fallbackError   = "error"
	fallbackNone    = "none"
	fallbackInvalid = "invalid"
	fallbackUnused  = "unusable"
)

// assignerConfig holds the dependencies of an assigner.
type assignerConfig struct {
	vm      string
	view    func() *mpview.View
	dial    func(address string) (mpwire.PeerClient, error)
	owner   *engineOwner
	metrics *mpmetric.Set
	logger  log.Logger
}

// assigner asks the owners of pools of engines. The owner of a pool is the first VM that serves callers in
// the pool's order, so that all VMs name the same one without agreement. VMs with more processor share
// come first in more of the orders, since an owner serves the requests of all VMs.
type assigner struct {
	assignerConfig
	silent  *silence
	reports *assignReports

	mu sync.Mutex
	// ranks holds the owners of pools in rankedView, in order.
	ranks      map[string][]mpview.VM
	rankedView *mpview.View
	pools      map[string]*assignedPool
}

var _ mpproxy.Assigner = (*assigner)(nil)

func newAssigner(cfg assignerConfig) *assigner {
	return &assigner{
		assignerConfig: cfg,
		silent:         newSilence(),
		reports:        &assignReports{vm: cfg.vm, view: cfg.view, dial: cfg.dial, metrics: cfg.metrics, queues: map[string]*assignQueue{}},
		ranks:          map[string][]mpview.VM{},
		pools:          map[string]*assignedPool{},
	}
}

// Assign implements mpproxy.Assigner.
func (a *assigner) Assign(ctx context.Context, r mpproxy.EngineRequest) *mpproxy.Assignment {
	now, view := time.Now(), a.view()
	owners := a.owners(view, r.Pool)
	if len(owners) < minAssignVMs {
		return nil
	}
	f := newAssignedFlight(now, r)
	if err := f.check(now, a.vm); err != nil {
		a.fallback(fallbackInvalid)
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	reason := fallbackSilent
	for asked, i := 0, 0; i < len(owners) && asked < maxEngineOwners; i++ {
		vm := owners[i]
		if a.silent.includes(time.Now(), vm.Name) {
			continue
		}
		asked++
		reply, err := a.ask(wait, vm, f)
		if err == nil {
			return a.take(vm, f, reply)
		}
		if ctx.Err() != nil {
			a.reports.add(time.Now(), vm.Name, f.settlement(mpassign.Outcome{End: mpassign.Unused}))
			return nil // The request has ended, which says nothing about the owner.
		}
		a.recordSilence(vm, err)
		reason = fallbackError
		if errors.Is(wait.Err(), context.DeadlineExceeded) {
			a.reports.add(time.Now(), vm.Name, f.settlement(mpassign.Outcome{End: mpassign.Unused})) // It may have assigned one.
			reason = fallbackTimeout
			break
		}
	}
	a.fallback(reason)
	return nil
}

// Reject implements mpproxy.Assigner.
func (a *assigner) Reject(*mpproxy.Assignment) { a.fallback(fallbackUnused) }

// ask asks an owner for an engine. What else is to be reported to the owner goes along.
func (a *assigner) ask(ctx context.Context, vm mpview.VM, f *assignedFlight) (*mpwire.AssignReply, error) {
	now := time.Now()
	r := f.request(now, a.vm)
	if vm.Name == a.vm {
		return a.owner.assign(now, r), nil
	}
	peer, err := a.dial(vm.Peer)
	if err != nil {
		return nil, err
	}
	r.Settlements = a.reports.take(vm.Name)
	reply, err := peer.Assign(ctx, r)
	if err != nil {
		a.reports.put(now, vm.Name, r.Settlements)
		return nil, err
	}
	a.metrics.ObserveDuration("assign.ask", time.Since(now))
	return reply, nil
}

// take takes over an owner's choice.
func (a *assigner) take(vm mpview.VM, f *assignedFlight, reply *mpwire.AssignReply) *mpproxy.Assignment {
	switch {
	case reply.GetCause() == mpwire.AssignReply_NO_ENGINE:
		a.fallback(fallbackNone)
		return nil
	case reply.GetCause() != mpwire.AssignReply_ASSIGNED || reply.GetUpstream() == "":
		a.fallback(fallbackInvalid)
		return nil
	}
	a.metrics.Add("assign.taken", 1)
	f.engine = reply.GetUpstream()
	if a.begin(vm.Name, reply.GetBoot(), f) {
		go a.register(vm, f.r.Pool)
	}
	return &mpproxy.Assignment{
		Engine: f.engine, Owner: vm.Name, Expected: mptime.FromMillis(reply.GetExpectedMs()), CachedTokens: int(reply.GetCachedTokens()),
		Settle: func(o mpassign.Outcome) { a.settle(f, o) },
	}
}

// settle reports to all owners that know of an assignment how it goes on or ends.
func (a *assigner) settle(f *assignedFlight, o mpassign.Outcome) {
	now := time.Now()
	for _, vm := range a.end(now, f, o) {
		s := f.settlement(o)
		if vm == a.vm {
			a.owner.settle(now, []*mpwire.AssignSettlement{s})
		} else {
			a.reports.add(now, vm, s)
		}
	}
}

func (a *assigner) fallback(reason string) {
	a.metrics.Add("assign.fallback", 1)
	a.metrics.Add("assign.fallback."+reason, 1)
}

func (a *assigner) recordSilence(vm mpview.VM, err error) {
	now := time.Now()
	if status.Code(err) == codes.Unimplemented {
		a.silent.addFor(now, vm.Name, earlierBuildPeriod)
		return
	}
	if a.silent.add(now, vm.Name) {
		_ = level.Warn(a.logger).Log("msg", "owner of engines passed over", "vm", vm.Name, "err", err)
	}
}

// owners returns the VMs that serve callers in the order in which they are asked about a pool.
func (a *assigner) owners(view *mpview.View, pool string) []mpview.VM {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rankedView != view {
		a.rankedView, a.ranks = view, map[string][]mpview.VM{}
	}
	list, ok := a.ranks[pool]
	if !ok {
		list = rankEngineOwners(view, pool)
		a.ranks[pool] = list
	}
	return list
}

// rankEngineOwners returns the VMs that serve callers in the order in which they own a pool of engines.
// One of unknown processor share counts as having the least that any other has.
func rankEngineOwners(view *mpview.View, pool string) []mpview.VM {
	serving := view.Serving()
	least := uint32(0)
	for _, vm := range serving {
		if vm.CPU > 0 && (least == 0 || vm.CPU < least) {
			least = vm.CPU
		}
	}
	weight := func(name string) float64 {
		vm, _ := view.VM(name)
		return float64(max(vm.CPU, least, 1))
	}
	out := make([]mpview.VM, 0, len(serving))
	for _, name := range mprank.OfNameWeighted(pool, vmNames(serving), weight) {
		vm, _ := view.VM(name)
		out = append(out, vm)
	}
	return out
}

// updateView registers with the new owners of pools for which this VM has asked lately.
func (a *assigner) updateView(view *mpview.View) {
	if len(view.Serving()) < minAssignVMs {
		return
	}
	a.mu.Lock()
	var pools []string
	for name, p := range a.pools {
		if p.isActive(time.Now()) {
			pools = append(pools, name)
		}
	}
	a.mu.Unlock()
	for _, pool := range pools {
		vm := a.owners(view, pool)[0]
		a.mu.Lock()
		isKnown := a.pools[pool].owner == vm.Name
		a.mu.Unlock()
		if !isKnown {
			// All VMs have the new view at about the same time.
			delay := time.Duration(rand.Float64() * float64(registerSpread))
			time.AfterFunc(delay, func() { a.register(vm, pool) })
		}
	}
}

// register tells a new owner of a pool what this VM has in flight there.
func (a *assigner) register(vm mpview.VM, pool string) {
	now := time.Now()
	r := a.registration(now, vm.Name, pool)
	var boot uint64
	if vm.Name == a.vm {
		boot = a.owner.register(now, r)
	} else {
		peer, err := a.dial(vm.Peer)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		reply, err := peer.RegisterAssignments(ctx, r)
		if err != nil {
			return // The next request tells whether it answers.
		}
		boot = reply.GetBoot()
	}
	a.metrics.Add("assign.registered", 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.pools[pool]; p != nil && boot != 0 {
		p.owner, p.boot = vm.Name, boot
	}
}

// prune forgets pools for which this VM has not asked lately.
func (a *assigner) prune(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		if !p.isActive(now) && len(p.flights) == 0 {
			delete(a.pools, name)
		}
	}
}

// maxCPU bounds the share of processors that a VM advertises, in cores.
const maxCPU = 1024

// thousandths returns a share of processors in thousandths of a core; 0 if cores is no positive number.
func thousandths(cores float64) uint32 {
	if !(cores > 0) {
		return 0
	}
	return uint32(1000 * min(cores, maxCPU))
}
