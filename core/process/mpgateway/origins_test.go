package mpgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/grpc"

	"mustardpost.org/core/common/mpset"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpview"
)

const (
	streamLength   = 20
	streamInterval = 100 * time.Millisecond
	streamTimeout  = 8 * time.Second
	resumeTries    = 4
	resumeDuration = 20 * time.Second
	resumeLease    = 2 * time.Second
	// minResumed is the least share of the streams that callers resume which go on, against
	// the share of new streams that begin.
	minResumed = 0.5
)

// resumeLoad is a load of streams on a pool whose upstreams run two versions.
type resumeLoad struct {
	// entries serve callers, voters do not.
	entries, voters int
	// versions are those of the upstreams.
	versions []string
	// breaking is the share of events after which the upstream resets the connection.
	breaking float64
	// disturb is called at each second.
	disturb func(second int, d *resumeDeployment)
	// mayRefuse is set if VMs know too little to let streams go on.
	mayRefuse bool
	// warmUp is how long the VMs have run before callers ask for streams.
	warmUp time.Duration
}

// resumeDialect is a Dialect that sends the last event on.
type resumeDialect struct{ limitDialect }

func (resumeDialect) Header(a mpproxy.Attempt) http.Header {
	return http.Header{"Last": {a.LastEventID}, "Upstream": {a.Upstream.ID}}
}

// resumeDeployment runs VMs against upstreams that write their version into each event.
type resumeDeployment struct {
	resumeLoad
	t     *testing.T
	begin time.Time
	table *mproute.Table
	list  atomic.Pointer[mplist.List]
	view  atomic.Pointer[mpview.View]

	mu  sync.Mutex
	r   *rand.Rand
	vms []*resumeVM
	// began and resumed count the new and the resumed streams of which an event came, of those
	// that callers asked for. mixed holds the streams with events from several versions.
	asked, began, askedAgain, resumed int
	mixed                             []string
}

// resumeVM is one process. It knows nothing of those before it.
type resumeVM struct {
	name    string
	d       *resumeDeployment
	origins *origins
	list    atomic.Pointer[mplist.List]
	proxy   *mpproxy.Proxy
	ctx     context.Context
	kill    context.CancelFunc
	// isFrozen is set while the VM answers no other one.
	isFrozen atomic.Bool
	// cutAt is since when the VM is cut off from the others, as long as it is; nil if it is not.
	cutAt atomic.Pointer[time.Time]
	// hasOldList is set while the VM gets no newer list, though it reaches the others.
	hasOldList atomic.Bool
}

// Table implements mpproxy.RoutingState.
func (vm *resumeVM) Table() *mproute.Table { return vm.d.table }

// Usable implements mpproxy.RoutingState.
func (vm *resumeVM) Usable() *mplist.Usable {
	return vm.list.Load().Usable(func(string) bool { return false })
}

// update gives the VM the newest list, unless it is cut off.
func (vm *resumeVM) update() {
	if vm.cutAt.Load() != nil || vm.hasOldList.Load() {
		return
	}
	list := vm.d.list.Load()
	vm.list.Store(list)
	vm.origins.observe(time.Now(), list)
}

// confirm does what a VM does with its lease, which outlives the contact to the leader by
// resumeLease.
func (vm *resumeVM) confirm() {
	if cutAt := vm.cutAt.Load(); cutAt != nil && time.Since(*cutAt) > resumeLease {
		vm.origins.history.Interrupt()
	} else {
		vm.origins.history.Confirm(time.Now())
	}
}

// resumePeer hands calls to the VM that runs when they arrive.
type resumePeer struct {
	mpwire.PeerClient
	from *resumeVM
	d    *resumeDeployment
	i    int
}

func (p resumePeer) reach(ctx context.Context) (*resumeVM, error) {
	<-time.After(10 * time.Millisecond)
	p.d.mu.Lock()
	vm := p.d.vms[p.i]
	p.d.mu.Unlock()
	if vm.isFrozen.Load() || vm.cutAt.Load() != nil || p.from.cutAt.Load() != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return vm, nil
}

func (p resumePeer) Note(ctx context.Context, r *mpwire.NoteRequest, _ ...grpc.CallOption) (*mpwire.NoteReply, error) {
	vm, err := p.reach(ctx)
	if err != nil {
		return nil, err
	}
	return vm.origins.serveNote(time.Now(), r), nil
}

func (p resumePeer) Find(ctx context.Context, r *mpwire.FindRequest, _ ...grpc.CallOption) (*mpwire.FindReply, error) {
	vm, err := p.reach(ctx)
	if err != nil {
		return nil, err
	}
	return vm.origins.serveFind(time.Now(), r), nil
}

func (d *resumeDeployment) float() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Float64()
}

// RoundTrip implements http.RoundTripper for the upstreams.
func (d *resumeDeployment) RoundTrip(r *http.Request) (*http.Response, error) {
	row, ok := d.row(r.Header.Get("Upstream"))
	if !ok {
		return nil, errors.New("connection refused")
	}
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	out, in := io.Pipe()
	go func() {
		for n := last + 1; n <= streamLength; n++ {
			select {
			case <-time.After(streamInterval):
			case <-r.Context().Done():
				in.CloseWithError(r.Context().Err())
				return
			}
			if d.float() < d.breaking {
				in.CloseWithError(errors.New("connection reset"))
				return
			}
			_, _ = fmt.Fprintf(in, "id: %d\ndata: %s\n\n", n, row.Version)
		}
		_ = in.Close()
	}()
	h := http.Header{"Content-Type": {"text/event-stream"}}
	return &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Header: h, TransferEncoding: []string{"chunked"}, Body: out}, nil
}

func (d *resumeDeployment) row(id string) (mplist.Row, bool) {
	for _, row := range d.list.Load().Rows() {
		if row.ID == id {
			return row, true
		}
	}
	return mplist.Row{}, false
}

// start adds or replaces a VM.
func (d *resumeDeployment) start(i int) {
	vm := &resumeVM{name: fmt.Sprint("vm", i), d: d}
	vm.origins = &origins{
		vm: vm.name, view: d.view.Load, ledger: mporigin.New(), history: mporigin.NewHistory(), silence: newSilence(),
		dial: func(address string) (mpwire.PeerClient, error) {
			n, err := strconv.Atoi(strings.TrimPrefix(address, "vm"))
			return resumePeer{from: vm, d: d, i: n}, err
		},
		metrics: mpmetric.New(), logger: log.NewNopLogger(),
	}
	vm.update()
	vm.ctx, vm.kill = context.WithCancel(d.t.Context())
	budget := mpbudget.New(mpbudget.Config{Ratio: 1, Burst: 100})
	vm.proxy = mpproxy.New(mpproxy.Config{
		DC: "a", State: vm, Dialect: resumeDialect{}, Selector: mpselect.New(mpselect.Config{VM: vm.name}), Budget: func(string) *mpbudget.Budget { return budget },
		Transport: d, Quarantine: mpquarantine.New(), Notices: mpnotice.New(), Evidence: &evidence{}, Prober: noProber{}, Quotas: &quotas{limits: mpquota.NewLimits()}, Origins: vm.origins,
		Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms[i] = vm
}

// noProber is a Prober for upstreams that all run.
type noProber struct{}

func (noProber) IsDown(context.Context, string) bool { return false }

// killAll kills and restarts the VMs from..to at the same moment.
func (d *resumeDeployment) killAll(from, to int) {
	for i := from; i < to; i++ {
		d.vms[i].kill()
		d.start(i)
	}
}

func (d *resumeDeployment) setVersions(versions ...string) {
	var rows []mplist.Row
	for i, v := range versions {
		id := fmt.Sprintf("u%d-%s", i, v)
		rows = append(rows, mplist.Row{ID: id, Pool: "app", Address: id + ":80", DC: "a", Slots: 64, Version: v})
	}
	d.list.Store(mplist.New(time.Now(), rows))
	for _, vm := range d.vms {
		if vm != nil {
			vm.update()
		}
	}
}

func newResumeDeployment(t *testing.T, seed uint64, p resumeLoad) *resumeDeployment {
	t.Helper()
	table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "app"}}, Routes: []mproute.RouteSpec{{
		Name: "tale", Host: "h", Prefix: "/", Kind: mproute.Stream, Resumable: true, Timeout: streamTimeout, LatencyTarget: time.Second, MaxAttempts: 2, Public: true,
		Shares: []mproute.Share{{Pool: "app", Weight: 1}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	d := &resumeDeployment{resumeLoad: p, t: t, begin: time.Now(), table: table, r: rand.New(rand.NewPCG(seed, 5)), vms: make([]*resumeVM, p.entries+p.voters)}
	d.setVersions(p.versions...)
	view := mpview.Empty()
	for i := range d.vms {
		vm := mpview.VM{Name: fmt.Sprint("vm", i), Peer: fmt.Sprint("vm", i), Voter: i >= p.entries}
		if !vm.Voter {
			vm.Address = vm.Name
		}
		if view, err = view.Apply(mpview.Join{VM: vm}); err != nil {
			t.Fatal(err)
		}
	}
	d.view.Store(view)
	for i := range d.vms {
		d.start(i)
	}
	return d
}

// run lets callers ask for streams.
func (d *resumeDeployment) run() {
	const interval = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(d.t.Context())
	defer cancel()
	if d.warmUp > 0 {
		go mptime.Every(ctx, confirmInterval, func(time.Time) {
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, vm := range d.vms {
				vm.confirm()
			}
		})
		<-time.After(d.warmUp)
		d.begin = time.Now()
	}
	var wg sync.WaitGroup
	for n := 0; time.Since(d.begin) < resumeDuration; n++ {
		if now := time.Since(d.begin); d.disturb != nil && now%time.Second < interval {
			d.disturb(int(now/time.Second), d)
		}
		wg.Go(func() { d.call(n) })
		<-time.After(interval)
	}
	wg.Wait()
	<-time.After(2 * noteTimeout) // Voters that do not answer are asked until then.
}

// eventWriter is the http.ResponseWriter of a caller of streams.
type eventWriter struct {
	header http.Header
	status int
	body   strings.Builder
}

func (w *eventWriter) Header() http.Header { return w.header }
func (w *eventWriter) WriteHeader(status int) {
	w.status = status
}
func (w *eventWriter) Write(b []byte) (int, error) { return w.body.Write(b) }
func (w *eventWriter) Flush()                      {}

// call asks for one stream, and resumes it at random VMs while it breaks off.
func (d *resumeDeployment) call(n int) {
	first, last, versions := "", 0, mpset.Set[string]{}
	deadline := time.Now().Add(streamTimeout)
	for try := range resumeTries {
		d.mu.Lock()
		vm := d.vms[d.r.IntN(d.entries)]
		d.mu.Unlock()
		r := &mpproxy.Request{ID: fmt.Sprintf("c%d-%d", n, try), Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Timeout: time.Until(deadline)}
		if last > 0 {
			r.Resumes, r.LastEventID = first, strconv.Itoa(last)
		}
		w := &eventWriter{header: http.Header{}}
		serveCaller(d.t, vm, w, r)
		before := last
		for line := range strings.Lines(w.body.String()) {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				last, _ = strconv.Atoi(strings.TrimSpace(id))
			}
			if v, ok := strings.CutPrefix(line, "data: "); ok {
				versions.Add(strings.TrimSpace(v))
			}
		}
		d.count(before, last, versions, r.ID)
		switch {
		case last == streamLength:
			return
		case first == "" && last > 0:
			first = r.ID
		}
		<-time.After(20 * time.Millisecond)
	}
}

func serveCaller(t *testing.T, vm *resumeVM, w http.ResponseWriter, r *mpproxy.Request) {
	defer func() {
		if err, ok := recover().(error); ok && !errors.Is(err, http.ErrAbortHandler) {
			t.Error(err)
		}
	}()
	vm.proxy.Serve(vm.ctx, w, r)
}

func (d *resumeDeployment) count(before, after int, versions mpset.Set[string], id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before == 0 {
		d.asked++
		if after > 0 {
			d.began++
		}
	} else {
		d.askedAgain++
		if after > before {
			d.resumed++
		}
	}
	if len(versions) > 1 && after > before {
		d.mixed = append(d.mixed, id)
	}
}

func (d *resumeDeployment) check(seed uint64) {
	d.t.Helper()
	d.t.Logf("seed %d: %d of %d streams began, %d of %d went on, %d with events from two versions", seed, d.began, d.asked, d.resumed, d.askedAgain, len(d.mixed))
	if len(d.mixed) > 0 {
		d.t.Errorf("seed %d: %d streams have events from two versions, the first ones: %v", seed, len(d.mixed), d.mixed[:min(len(d.mixed), 5)])
	}
	if float64(d.began) < 0.9*float64(d.asked) {
		d.t.Errorf("seed %d: %d of %d streams began", seed, d.began, d.asked)
	}
	if got := float64(d.resumed) / float64(max(d.askedAgain, 1)); !d.mayRefuse && got < minResumed*float64(d.began)/float64(d.asked) {
		d.t.Errorf("seed %d: %d of %d streams went on, %d of %d new ones began", seed, d.resumed, d.askedAgain, d.began, d.asked)
	}
}

// Guards against streams that go on at another version of an upstream's software than the one
// that began them, within a response or over the requests of a caller whose VM was killed.
func TestStreamsOfTwoVersions(t *testing.T) {
	killEntries := func(second int, d *resumeDeployment) {
		if second%4 == 3 {
			d.killAll(0, d.entries)
		}
	}
	for name, p := range map[string]resumeLoad{
		"upstreams that break off": {entries: 6, voters: 5, versions: []string{"v1", "v1", "v1", "v2", "v2", "v2"}, breaking: 0.05},
		"all entries are killed":   {entries: 6, voters: 5, versions: []string{"v1", "v1", "v1", "v2", "v2", "v2"}, disturb: killEntries},
		"all entries and a voter are killed": {entries: 6, voters: 5, versions: []string{"v1", "v1", "v1", "v2", "v2", "v2"}, disturb: func(second int, d *resumeDeployment) {
			if second%4 == 3 {
				d.killAll(0, d.entries+1)
			}
		}},
		"a frozen voter": {entries: 6, voters: 5, versions: []string{"v1", "v1", "v1", "v2", "v2", "v2"}, disturb: func(second int, d *resumeDeployment) {
			d.vms[d.entries+second%d.voters].isFrozen.Store(second%4 < 2)
			killEntries(second, d)
		}},
		"every VM is killed": {entries: 6, voters: 5, mayRefuse: true, versions: []string{"v1", "v1", "v1", "v2", "v2", "v2"}, disturb: func(second int, d *resumeDeployment) {
			if second%4 == 3 {
				d.killAll(0, d.entries+d.voters)
			}
		}},
		"all voters are frozen": {entries: 6, voters: 3, mayRefuse: true, versions: []string{"v1", "v1", "v2", "v2"}, disturb: func(second int, d *resumeDeployment) {
			for i := range d.voters {
				d.vms[d.entries+i].isFrozen.Store(second%8 > 1)
			}
			killEntries(second, d)
		}},
		"a new version replaces the old one": {entries: 6, voters: 5, mayRefuse: true, versions: []string{"v1", "v1"}, breaking: 0.03, disturb: func(second int, d *resumeDeployment) {
			switch second {
			case 6:
				d.setVersions("v1", "v1", "v2", "v2")
			case 12:
				d.setVersions("v2", "v2")
			}
			killEntries(second, d)
		}},
		"upstreams of unknown versions": {entries: 2, voters: 3, mayRefuse: true, versions: []string{"", "", "v1", "v1"}, breaking: 0.05},
		"entries killed, breaking off":  {entries: 3, voters: 3, versions: []string{"v1", "v1", "v2", "v2"}, breaking: 0.03, disturb: killEntries},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					d := newResumeDeployment(t, seed, p)
					d.run()
					d.check(seed)
				})
			}
		})
	}
}
