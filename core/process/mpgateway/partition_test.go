package mpgateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"mustardpost.org/core/connection/mprelay"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

const (
	// The partition begins at partitionFrom, and the VMs have partitionContact to notice it.
	partitionFrom    = 3 * time.Second
	partitionContact = 3 * time.Second
	partitionUntil   = 15 * time.Second
	partitionLength  = 22 * time.Second
	// minPartitionShare is the least share of the requests to VMs without a path to the
	// upstreams that are served, against that of requests to the others.
	minPartitionShare = 2.0 / 3
	partitionTimeout  = 600 * time.Millisecond
	// maxAskedPeers is the most VMs that are asked for one connection.
	maxAskedPeers = 6
	// unackedTimeout is when a connection with unacknowledged data is closed.
	unackedTimeout = 2 * time.Second
)

// partitionMode is what happens to the connections of a VM without a path to the upstreams.
type partitionMode string

const (
	// hanging connections and new ones get no answer.
	hanging partitionMode = "hanging"
	// resetting closes connections and refuses new ones.
	resetting partitionMode = "resetting"
	// keeping leaves connections as they are and refuses new ones.
	keeping partitionMode = "keeping"
)

// partitionLoad is a load on VMs of which some have no path to the upstreams.
type partitionLoad struct {
	count, upstreams int
	// cut VMs have no path to the upstreams, which they notice by mode.
	cut  int
	mode partitionMode
	kind mproute.Kind
	// down is set if the upstreams have ended.
	down bool
}

// partitionDeployment runs VMs against upstreams that count from where requests come.
type partitionDeployment struct {
	partitionLoad
	t     *testing.T
	begin time.Time
	r     *rand.Rand
	table *mproute.Table
	list  *mplist.List
	vms   []*partitionVM
	// listeners are the upstreams, by address.
	listeners map[string]*pipeListener

	mu sync.Mutex
	// isCut is set during the partition, and healed closed at its end.
	isCut  bool
	healed chan struct{}
	// sent and served count the requests during the partition, by whether the VM is cut off, and
	// direct the connections that VMs without a path made by themselves after it.
	sent, served map[bool]int
	direct       int
	// asked counts the connections that VMs asked of each other, and slowest is the longest time
	// that a request took, from partitionContact after the partition began.
	asked   int
	slowest time.Duration
}

// isHopeless reports whether no VM has a path to an upstream.
func (d *partitionDeployment) isHopeless() bool { return d.down || d.cut == d.count }

// isMeasured reports whether the VMs have had the time to notice the partition.
func isMeasured(at time.Duration) bool {
	return at >= partitionFrom+partitionContact && at < partitionUntil
}

type partitionVM struct {
	d     *partitionDeployment
	i     int
	relay *mprelay.Dialer
	proxy *mpproxy.Proxy

	mu    sync.Mutex
	conns []*partitionConn
}

// pipeListener is an in-memory net.Listener.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	c, s := net.Pipe()
	l.conns <- s
	return c
}

// partitionConn is a connection of a VM to an upstream.
type partitionConn struct {
	net.Conn
	vm     *partitionVM
	closed chan struct{}
	once   sync.Once
}

func (c *partitionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.vm.hangs() {
		select {
		case <-c.vm.d.healed:
			return n, err
		case <-c.closed:
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

func (c *partitionConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (vm *partitionVM) isCut() bool {
	vm.d.mu.Lock()
	defer vm.d.mu.Unlock()
	return vm.d.isCut && vm.i < vm.d.cut
}

func (vm *partitionVM) hangs() bool { return vm.d.mode == hanging && vm.isCut() }

// dial connects to an upstream without another VM.
func (vm *partitionVM) dial(ctx context.Context, _, address string) (net.Conn, error) {
	<-time.After(5 * time.Millisecond)
	l, ok := vm.d.listeners[address]
	switch {
	case vm.hangs():
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
		return nil, os.ErrDeadlineExceeded
	case vm.isCut() || !ok || vm.d.down:
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	c := &partitionConn{Conn: l.dial(), vm: vm, closed: make(chan struct{})}
	vm.mu.Lock()
	vm.conns = append(vm.conns, c)
	vm.mu.Unlock()
	vm.d.mu.Lock()
	defer vm.d.mu.Unlock()
	if vm.i < vm.d.cut && time.Since(vm.d.begin) > partitionUntil {
		vm.d.direct++
	}
	return c, nil
}

// setCut begins or ends the partition.
func (d *partitionDeployment) setCut(isCut bool) {
	d.mu.Lock()
	d.isCut = isCut
	if isCut {
		d.healed = make(chan struct{})
	} else {
		close(d.healed)
	}
	d.mu.Unlock()
	if !isCut || d.mode == keeping {
		return
	}
	for _, vm := range d.vms[:d.cut] {
		vm.mu.Lock()
		for _, c := range vm.conns {
			if d.mode == hanging {
				time.AfterFunc(unackedTimeout, func() { _ = c.Close() })
			} else {
				_ = c.Close()
			}
		}
		vm.mu.Unlock()
	}
}

// Table implements mpproxy.RoutingState.
func (d *partitionDeployment) Table() *mproute.Table { return d.table }

// Usable implements mpproxy.RoutingState.
func (d *partitionDeployment) Usable() *mplist.Usable {
	return d.list.Usable(func(string) bool { return false })
}

func (d *partitionDeployment) start(i int) {
	vm := &partitionVM{d: d, i: i}
	name := fmt.Sprint("vm", i)
	vm.relay = mprelay.New(mprelay.Config{DC: "a", Direct: vm.dial, Metrics: mpmetric.New(), Logger: log.NewNopLogger()})
	var addresses []string
	for _, r := range d.list.Rows() {
		addresses = append(addresses, r.Address)
	}
	vm.relay.SetUpstreams(addresses)
	transport := mpupstream.NewTransport(vm.relay.DialContext, mpmetric.New())
	vm.relay.OnHealed(transport.CloseIdleConnections)
	d.t.Cleanup(transport.CloseIdleConnections)
	budget := mpbudget.New(mpbudget.Config{Ratio: 0.14, Burst: 4})
	vm.proxy = mpproxy.New(mpproxy.Config{
		DC: "a", State: d, Dialect: limitDialect{}, Selector: mpselect.New(mpselect.Config{VM: name}), Budget: func(string) *mpbudget.Budget { return budget },
		Transport: transport, Quarantine: mpquarantine.New(), Notices: mpnotice.New(), Evidence: d, Prober: vm.relay, Quotas: &quotas{limits: mpquota.NewLimits()},
		Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
	})
	d.vms[i] = vm
}

// Raise implements mpproxy.CrashEvidence. No upstream crashes.
func (d *partitionDeployment) Raise(findings []mpquarantine.Finding) {
	if len(findings) > 0 && !d.isHopeless() {
		d.t.Errorf("crash evidence: %v", findings)
	}
}

// Clear implements mpproxy.CrashEvidence.
func (d *partitionDeployment) Clear([]mpquarantine.Feature) {}

func newPartitionDeployment(t *testing.T, seed uint64, p partitionLoad) *partitionDeployment {
	t.Helper()
	attempts := 2
	if p.kind == mproute.NonIdempotent {
		attempts = 1
	}
	table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "app"}}, Routes: []mproute.RouteSpec{{
		Name: "read", Host: "h", Prefix: "/", Kind: p.kind, Timeout: partitionTimeout, LatencyTarget: 120 * time.Millisecond, MaxAttempts: attempts, Public: true,
		Shares: []mproute.Share{{Pool: "app", Weight: 1}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	d := &partitionDeployment{
		partitionLoad: p, t: t, begin: time.Now(), r: rand.New(rand.NewPCG(seed, 7)), table: table, vms: make([]*partitionVM, p.count),
		listeners: map[string]*pipeListener{}, sent: map[bool]int{}, served: map[bool]int{}, healed: make(chan struct{}),
	}
	var rows []mplist.Row
	for i := range p.upstreams {
		row := mplist.Row{ID: fmt.Sprint("u", i), Pool: "app", Address: fmt.Sprintf("u%d:80", i), DC: "a", Slots: 8}
		rows = append(rows, row)
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		d.listeners[row.Address] = l
		srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-time.After(answerTime)
			_, _ = io.WriteString(w, "whole")
		})}
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() { _ = srv.Close() })
	}
	d.list = mplist.New(time.Now(), rows)
	for i := range d.vms {
		d.start(i)
	}
	for i, vm := range d.vms {
		vm.relay.SetPeers(d.peersOf(i))
		go vm.relay.Run(t.Context())
	}
	return d
}

// peersOf returns the other VMs as VM i reaches them.
func (d *partitionDeployment) peersOf(i int) []mprelay.Peer {
	var out []mprelay.Peer
	for _, vm := range d.vms {
		if vm.i == i {
			continue
		}
		out = append(out, mprelay.Peer{Name: fmt.Sprint("vm", vm.i), DC: "a", Open: func(ctx context.Context, address string) (net.Conn, error) {
			<-time.After(10 * time.Millisecond)
			d.mu.Lock()
			if isMeasured(time.Since(d.begin)) {
				d.asked++
			}
			d.mu.Unlock()
			return vm.relay.DialFor(ctx, address)
		}})
	}
	return out
}

// run sends requests to all VMs alike.
func (d *partitionDeployment) run() {
	const interval = 25 * time.Millisecond
	var wg sync.WaitGroup
	for now := time.Duration(0); now < partitionLength; now = time.Since(d.begin) {
		switch {
		case now >= partitionFrom && now < partitionFrom+interval:
			d.setCut(true)
		case now >= partitionUntil && now < partitionUntil+interval:
			d.setCut(false)
		}
		vm := d.vms[d.r.IntN(len(d.vms))]
		wg.Go(func() { d.send(vm, now) })
		<-time.After(interval)
	}
	wg.Wait()
}

func (d *partitionDeployment) send(vm *partitionVM, at time.Duration) {
	w := httptest.NewRecorder()
	vm.proxy.Serve(d.t.Context(), w, &mpproxy.Request{Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Body: []byte("b")})
	if !isMeasured(at) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowest = max(d.slowest, time.Since(d.begin)-at)
	d.sent[vm.i < d.cut]++
	if w.Code == http.StatusOK && strings.Contains(w.Body.String(), "whole") {
		d.served[vm.i < d.cut]++
	}
}

func (d *partitionDeployment) check(seed uint64) {
	d.t.Helper()
	d.t.Logf("seed %d: %d of %d requests served at VMs without a path, %d of %d at the others", seed, d.served[true], d.sent[true], d.served[false], d.sent[false])
	if d.isHopeless() {
		// Each VM may ask for each upstream once a second.
		seconds := (partitionUntil - partitionFrom - partitionContact).Seconds()
		if most := float64(d.count*d.upstreams*maxAskedPeers) * seconds; float64(d.asked) > most {
			d.t.Errorf("seed %d: VMs asked each other for %d connections, want at most %v", seed, d.asked, most)
		}
		if d.slowest > partitionTimeout {
			d.t.Errorf("seed %d: a request took %v, want at most %v", seed, d.slowest, partitionTimeout)
		}
		return
	}
	share := func(cut bool) float64 { return float64(d.served[cut]) / float64(max(d.sent[cut], 1)) }
	if share(true) < minPartitionShare*share(false) {
		d.t.Errorf("seed %d: %d of %d requests served at VMs without a path to the upstreams, %d of %d at the others", seed, d.served[true], d.sent[true], d.served[false], d.sent[false])
	}
	if d.direct == 0 && d.mode != keeping {
		d.t.Errorf("seed %d: no connection was made to upstreams after the partition", seed)
	}
}

// Guards against VMs that have no path to the upstreams, stay in the directory and refuse or
// hold what callers send them, while the other VMs reach all upstreams.
func TestPartitionFromUpstreams(t *testing.T) {
	for _, mode := range []partitionMode{hanging, resetting, keeping} {
		for name, p := range map[string]partitionLoad{
			"one of six":             {count: 6, upstreams: 4, cut: 1, kind: mproute.Idempotent},
			"two of three":           {count: 9, upstreams: 4, cut: 6, kind: mproute.Idempotent},
			"all VMs":                {count: 6, upstreams: 4, cut: 6, kind: mproute.Idempotent},
			"no VM, upstreams down":  {count: 6, upstreams: 4, down: true, kind: mproute.Idempotent},
			"requests that run once": {count: 6, upstreams: 4, cut: 2, kind: mproute.NonIdempotent},
		} {
			p.mode = mode
			t.Run(string(mode)+", "+name, func(t *testing.T) {
				for seed := range uint64(2) {
					synctest.Test(t, func(t *testing.T) {
						d := newPartitionDeployment(t, seed, p)
						d.run()
						d.check(seed)
					})
				}
			})
		}
	}
}
