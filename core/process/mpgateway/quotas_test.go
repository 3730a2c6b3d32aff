package mpgateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/grpc"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpview"
)

const (
	// From limitContact after an upstream named its limit, it gets at most limitFactor times
	// what the limit allows in limitWindow, and limitSlack requests, over all VMs.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	// minLimitShare of a limit is used while requests come for it.
	minLimitShare = 0.6
	limitFrom     = 2 * time.Second
	limitLength   = 30 * time.Second
	answerTime    = 20 * time.Millisecond
)

// limitLoad is a load on a pool of upstreams of which some name a limit.
type limitLoad struct {
	// count is the number of VMs.
	count, upstreams int
	// limited upstreams name the limit, in requests per second, from limitFrom on until
	// limitUntil; 0 means to the end.
	limited    int
	limit      float64
	limitUntil time.Duration
	// rate is the requests per second of all callers, of which failing fail at the upstream and
	// are sent again.
	rate, failing float64
	// disturb is called at each second, with the VMs.
	disturb func(second int, d *limitDeployment)
}

// limitDialect is a Dialect whose upstreams name a limit in the field Limit.
type limitDialect struct{}

func (limitDialect) Header(a mpproxy.Attempt) http.Header                    { return a.Request.Header.Clone() }
func (limitDialect) NotRun(int, http.Header) bool                            { return false }
func (limitDialect) MatchesRequest(*mpproxy.Request, http.Header, bool) bool { return true }
func (limitDialect) LacksInputs(int, http.Header) bool                       { return false }
func (limitDialect) Notice(int, http.Header) mpnotice.Notice                 { return mpnotice.Notice{} }
func (limitDialect) IsOtherProcess(int) bool                                 { return false }
func (limitDialect) Load(int, http.Header) mpspeed.Load                      { return mpspeed.Load{} }

func (limitDialect) RateLimit(_ int, h http.Header) mpquota.Statement {
	return mpquota.ParseStatement(h.Values("Limit"))
}

// limitDeployment runs VMs against upstreams that record when requests arrive.
type limitDeployment struct {
	limitLoad
	t     *testing.T
	begin time.Time
	r     *rand.Rand
	table *mproute.Table
	list  *mplist.List
	vms   []*limitVM
	// peers are the VMs as they reach each other.
	peers []atomic.Pointer[limitVM]
	view  atomic.Pointer[mpview.View]
	// leader holds the limits that the VMs told, unless there is no leader.
	leader     *mpquota.Limits
	leaderless bool

	mu       sync.Mutex
	arrivals map[string][]time.Duration
	// sent and answered count the requests of callers. unexplained counts those that were not
	// answered, without a Retry-After.
	sent, answered, unexplained int
}

// Table implements mpproxy.RoutingState.
func (d *limitDeployment) Table() *mproute.Table { return d.table }

// Usable implements mpproxy.RoutingState.
func (d *limitDeployment) Usable() *mplist.Usable {
	return d.list.Usable(func(string) bool { return false })
}

// RoundTrip implements http.RoundTripper for the upstreams.
func (d *limitDeployment) RoundTrip(r *http.Request) (*http.Response, error) {
	now := time.Since(d.begin)
	id, _, _ := strings.Cut(r.URL.Host, ":")
	d.mu.Lock()
	d.arrivals[id] = append(d.arrivals[id], now)
	d.mu.Unlock()
	<-time.After(answerTime)
	h := http.Header{}
	if d.isLimited(id) && now >= limitFrom && (d.limitUntil == 0 || now < d.limitUntil) {
		h.Set("Limit", strconv.FormatFloat(d.limit, 'f', -1, 64))
	}
	status := http.StatusOK
	if r.Header.Get("Fails") != "" {
		status = http.StatusInternalServerError
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: h, Body: io.NopCloser(strings.NewReader("whole"))}, nil
}

func (d *limitDeployment) isLimited(id string) bool {
	n, _ := strconv.Atoi(strings.TrimPrefix(id, "u"))
	return n < d.limited
}

// limitVM is one VM of the deployment.
type limitVM struct {
	quotas *quotas
	proxy  *mpproxy.Proxy
	// isCut is set while no other VM reaches this one.
	isCut atomic.Bool
}

// limitPeer hands calls to the quotas of another VM, unless one of the two is cut off.
type limitPeer struct {
	mpwire.PeerClient
	from, to *limitVM
}

func (p limitPeer) Take(_ context.Context, r *mpwire.TakeRequest, _ ...grpc.CallOption) (*mpwire.TakeReply, error) {
	if p.from.isCut.Load() || p.to.isCut.Load() {
		<-time.After(keeperTimeout)
		return nil, context.DeadlineExceeded
	}
	<-time.After(10 * time.Millisecond)
	return p.to.quotas.serve(time.Now(), r), nil
}

// start adds or replaces a VM, which knows nothing.
func (d *limitDeployment) start(i int) {
	name := fmt.Sprint("vm", i)
	vm := &limitVM{}
	vm.quotas = &quotas{
		vm: name, view: d.view.Load, limits: mpquota.NewLimits(), grants: mpquota.NewGrants(mpquota.GrantsConfig{}), ownShare: newOwnShare(), silent: newSilence(),
		dial: func(address string) (mpwire.PeerClient, error) {
			n, err := strconv.Atoi(strings.TrimPrefix(address, "vm"))
			return limitPeer{from: vm, to: d.peers[n].Load()}, err
		},
		metrics: mpmetric.New(), logger: log.NewNopLogger(),
	}
	budget := mpbudget.New(mpbudget.Config{Ratio: 1, Burst: 100})
	vm.proxy = mpproxy.New(mpproxy.Config{
		DC: "a", State: d, Dialect: limitDialect{}, Selector: mpselect.New(mpselect.Config{VM: name}), Budget: func(string) *mpbudget.Budget { return budget },
		Transport: d, Quarantine: mpquarantine.New(), Notices: mpnotice.New(), Quotas: vm.quotas, Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
	})
	d.vms[i] = vm
	d.peers[i].Store(vm)
	d.setServing(i, true)
}

// setServing adds a VM to those that serve callers, or removes it.
func (d *limitDeployment) setServing(i int, serves bool) {
	name := fmt.Sprint("vm", i)
	var op mpview.Op = mpview.Leave{VMs: []string{name}}
	if serves {
		op = mpview.Join{VM: mpview.VM{Name: name, Address: name, Peer: name}}
	}
	next, err := d.view.Load().Apply(op)
	if err != nil {
		d.t.Fatal(err)
	}
	d.view.Store(next)
}

func newLimitDeployment(t *testing.T, seed uint64, p limitLoad) *limitDeployment {
	t.Helper()
	spec := mproute.RouteSpec{
		Name: "read", Host: "h", Prefix: "/", Kind: mproute.Idempotent, Timeout: time.Second, LatencyTarget: time.Second, MaxAttempts: 2, Public: true,
		Shares: []mproute.Share{{Pool: "app", Weight: 1}},
	}
	table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "app"}}, Routes: []mproute.RouteSpec{spec}})
	if err != nil {
		t.Fatal(err)
	}
	var rows []mplist.Row
	for i := range p.upstreams {
		rows = append(rows, mplist.Row{ID: fmt.Sprint("u", i), Pool: "app", Address: fmt.Sprintf("u%d:80", i), DC: "a", Slots: 8})
	}
	d := &limitDeployment{
		limitLoad: p, t: t, begin: time.Now(), leader: mpquota.NewLimits(), vms: make([]*limitVM, p.count), peers: make([]atomic.Pointer[limitVM], p.count), r: rand.New(rand.NewPCG(seed, 3)), table: table, list: mplist.New(time.Now(), rows),
		arrivals: map[string][]time.Duration{},
	}
	d.view.Store(mpview.Empty())
	for i := range d.vms {
		d.start(i)
	}
	return d
}

// run sends the load, and lets the VMs tell each other of limits.
func (d *limitDeployment) run() {
	const step = 10 * time.Millisecond
	var wg sync.WaitGroup
	for ; time.Since(d.begin) < limitLength; <-time.After(step) {
		now := time.Since(d.begin)
		if d.disturb != nil && now%time.Second < step {
			d.disturb(int(now/time.Second), d)
		}
		for i, vm := range d.vms {
			// Each VM renews its lease every half a second, at a time of its own.
			if (now+time.Duration(i)*40*time.Millisecond)%(500*time.Millisecond) < step && !vm.isCut.Load() && !d.leaderless {
				d.leader.Merge(time.Now(), vm.quotas.limits.Entries(time.Now()))
				vm.quotas.limits.Merge(time.Now(), d.leader.Entries(time.Now()))
			}
		}
		if d.r.Float64() < d.rate*step.Seconds() {
			vm, fails := d.vms[d.r.IntN(len(d.vms))], d.r.Float64() < d.failing
			wg.Go(func() { d.send(vm, fails) })
		}
	}
	wg.Wait()
}

func (d *limitDeployment) send(vm *limitVM, fails bool) {
	r := &mpproxy.Request{Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}}
	if fails {
		r.Header.Set("Fails", "1")
	}
	w := httptest.NewRecorder()
	vm.proxy.Serve(d.t.Context(), w, r)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	switch {
	case w.Code == http.StatusOK:
		d.answered++
	case w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "":
		d.unexplained++
	}
}

// worst returns the most requests that an upstream got in limitWindow between two times.
func (d *limitDeployment) worst(id string, from, to time.Duration) int {
	most := 0
	for i, at := range d.arrivals[id] {
		n := 0
		for _, next := range d.arrivals[id][i:] {
			if at >= from && next < min(at+limitWindow, to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (d *limitDeployment) arrived(id string, from, to time.Duration) int {
	n := 0
	for _, at := range d.arrivals[id] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// check reports an error if a limit was not kept, hardly used or not forgotten.
func (d *limitDeployment) check(seed uint64) {
	d.t.Helper()
	until := limitLength
	if d.limitUntil > 0 {
		until = d.limitUntil
	}
	from := limitFrom + limitContact
	allowed := limitFactor*d.limit*limitWindow.Seconds() + limitSlack
	for i := range d.limited {
		id := fmt.Sprint("u", i)
		got, used := d.worst(id, from, until), d.arrived(id, from, until)
		d.t.Logf("seed %d: %s got %d requests in the worst %v, at most %.0f are allowed; %.2f of its limit was used; %d of %d requests answered",
			seed, id, got, limitWindow, allowed, float64(used)/(d.limit*(until-from).Seconds()), d.answered, d.sent)
		if float64(got) > allowed {
			d.t.Errorf("seed %d: %s, which takes %v a second, got %d requests in %v, want at most %.0f", seed, id, d.limit, got, limitWindow, allowed)
		}
		if share := float64(used) / (d.limit * (until - from).Seconds()); share < minLimitShare {
			d.t.Errorf("seed %d: %.2f of the limit of %s was used, want at least %v", seed, share, id, minLimitShare)
		}
		if fair := d.rate * 5 / float64(d.upstreams); d.limitUntil > 0 && float64(d.arrived(id, limitLength-5*time.Second, limitLength)) < fair/3 {
			d.t.Errorf("seed %d: %s has few requests after its limit has ended", seed, id)
		}
	}
	if d.unexplained > 0 {
		d.t.Errorf("seed %d: %d refusals without a Retry-After", seed, d.unexplained)
	}
	if d.limited < d.upstreams && d.failing == 0 && d.answered < d.sent {
		d.t.Errorf("seed %d: %d of %d requests were answered, though other upstreams were free", seed, d.answered, d.sent)
	}
}

// Guards against VMs that each send an upstream as much as it takes from all of them together,
// or more, and against a limit of which no VM uses its small share.
func TestLimitOverAllVMs(t *testing.T) {
	restart := func(second int, d *limitDeployment) {
		if second > 2 && second%3 == 0 {
			d.start(second % len(d.vms))
		}
	}
	leave := func(second int, d *limitDeployment) {
		if second%4 == 0 {
			d.setServing(second/4%len(d.vms), second%8 == 0)
		}
	}
	cut := func(second int, d *limitDeployment) {
		for i, vm := range d.vms {
			vm.isCut.Store(second > 6 && second%6 < 3 && i%3 == second/6%3)
		}
	}
	// The keeper of u0 is silent for four seconds in eight, and leaves the view after two.
	silentKeeper := func(second int, d *limitDeployment) {
		for i, vm := range d.vms {
			switch name := fmt.Sprint("vm", i); {
			case second%8 == 0:
				vm.isCut.Store(name == mprank.OfName("u0", vmNames(d.view.Load().Serving()))[0])
			case second%8 == 2 && vm.isCut.Load():
				d.setServing(i, false)
			case second%8 == 4 && vm.isCut.Load():
				vm.isCut.Store(false)
				d.setServing(i, true)
			}
		}
	}
	leaderless := func(second int, d *limitDeployment) { d.leaderless = second%10 > 3 }
	for name, p := range map[string]limitLoad{
		"one a second, twelve VMs":       {count: 12, upstreams: 3, limited: 1, limit: 1, rate: 30},
		"one in two seconds":             {count: 12, upstreams: 3, limited: 1, limit: 0.5, rate: 30},
		"ten a second":                   {count: 12, upstreams: 3, limited: 1, limit: 10, rate: 80},
		"forty a second":                 {count: 12, upstreams: 2, limited: 2, limit: 40, rate: 90},
		"one VM":                         {count: 1, upstreams: 2, limited: 1, limit: 2, rate: 20},
		"all upstreams":                  {count: 12, upstreams: 3, limited: 3, limit: 1, rate: 30},
		"a limit that ends":              {count: 12, upstreams: 3, limited: 1, limit: 1, rate: 30, limitUntil: 15 * time.Second},
		"requests that are sent again":   {count: 12, upstreams: 3, limited: 2, limit: 2, rate: 30, failing: 0.5},
		"VMs that restart":               {count: 12, upstreams: 3, limited: 1, limit: 1, rate: 30, disturb: restart},
		"VMs that leave and join":        {count: 12, upstreams: 3, limited: 1, limit: 2, rate: 30, disturb: leave},
		"VMs that are cut off":           {count: 12, upstreams: 3, limited: 1, limit: 4, rate: 40, disturb: cut},
		"a keeper that is silent":        {count: 12, upstreams: 3, limited: 1, limit: 1, rate: 30, disturb: silentKeeper},
		"a silent keeper of 76 VMs":      {count: 76, upstreams: 3, limited: 1, limit: 1, rate: 150, disturb: silentKeeper},
		"a silent keeper, ten a second":  {count: 76, upstreams: 3, limited: 1, limit: 10, rate: 150, disturb: silentKeeper},
		"no leader for most of the time": {count: 12, upstreams: 3, limited: 1, limit: 1, rate: 30, disturb: leaderless},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					d := newLimitDeployment(t, seed, p)
					d.run()
					d.check(seed)
				})
			}
		})
	}
}

// Guards against a keeper that counts as silent because a caller left while it was asked.
func TestCallerThatLeavesDoesNotSilenceKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitDeployment(t, 1, limitLoad{count: 2, upstreams: 1})
		keeper := mprank.OfName("u0", vmNames(d.view.Load().Serving()))[0]
		other := d.vms[0]
		if keeper == other.quotas.vm {
			other = d.vms[1]
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		d.vms[0].isCut.Store(true)
		other.quotas.Take(ctx, "u0", 1)
		if other.quotas.silent.includes(time.Now(), keeper) {
			t.Errorf("keeper %s is not asked any more", keeper)
		}
	})
}
