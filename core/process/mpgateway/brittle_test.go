package mpgateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

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
	brittleVMs       = 9
	brittleUpstreams = 10
	brittleSlots     = 4
	// brittleLimit is the number of refusals in a second beyond which an upstream falls over.
	brittleLimit  = 5
	brittleFrom   = 2 * time.Second
	brittleLength = 12 * time.Second
	brittleAnswer = 100 * time.Millisecond
	// minBrittleShare is the least share of their room that is used.
	minBrittleShare = 0.6
	// maxFalls are allowed in one time in which upstreams are brittle: two, and one for each ten.
	maxFalls = 2 + brittleUpstreams/10
)

// brittlePool is a pool of upstreams that refuse what they have no room for, and fall over if they
// have to refuse too much.
type brittlePool struct {
	begin time.Time

	mu       sync.Mutex
	running  map[string]int
	refusals map[string][]time.Time
	falls    int
	served   int
}

// RoundTrip implements http.RoundTripper.
func (p *brittlePool) RoundTrip(r *http.Request) (*http.Response, error) {
	id, _, _ := strings.Cut(r.URL.Host, ":")
	if !p.admit(id) {
		h := http.Header{"Brittle": {strconv.Itoa(brittleLimit)}, "Unrun": {"1"}}
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Status: "503", Header: h, Body: http.NoBody}, nil
	}
	<-time.After(brittleAnswer)
	p.mu.Lock()
	p.running[id]--
	p.served++
	p.mu.Unlock()
	h := http.Header{"Brittle": {strconv.Itoa(brittleLimit)}}
	return &http.Response{StatusCode: http.StatusOK, Status: "200", Header: h, Body: io.NopCloser(strings.NewReader("whole"))}, nil
}

// admit reports whether an upstream has room for a request. Otherwise it counts a refusal.
func (p *brittlePool) admit(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[id] < brittleSlots {
		p.running[id]++
		return true
	}
	now := time.Now()
	if now.Sub(p.begin) < brittleFrom+limitContact {
		return false
	}
	recent := p.refusals[id][:0]
	for _, at := range p.refusals[id] {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	if p.refusals[id] = append(recent, now); len(p.refusals[id]) > brittleLimit {
		p.falls++
		p.refusals[id] = nil
	}
	return false
}

// brittleDialect is a Dialect whose upstreams name in the field Brittle how many refusals they
// bear.
type brittleDialect struct{ limitDialect }

func (brittleDialect) Notice(_ int, h http.Header) mpnotice.Notice {
	n, _ := strconv.Atoi(h.Get("Brittle"))
	return mpnotice.Notice{IsValid: true, Brittle: n}
}

func (brittleDialect) NotRun(_ int, h http.Header) bool { return h.Get("Unrun") != "" }

// Guards against upstreams that fall over because all VMs together send more than they have room
// for, although each answer says how many refusals in a second they bear.
func TestBrittleUpstreams(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) { runBrittle(t, seed) })
	}
}

func runBrittle(t *testing.T, seed uint64) {
	table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "app"}}, Routes: []mproute.RouteSpec{{
		Name: "read", Host: "h", Prefix: "/", Kind: mproute.Idempotent, Timeout: time.Second, LatencyTarget: time.Second, MaxAttempts: 2, Public: true,
		Shares: []mproute.Share{{Pool: "app", Weight: 1}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	var rows []mplist.Row
	for i := range brittleUpstreams {
		rows = append(rows, mplist.Row{ID: fmt.Sprint("u", i), Pool: "app", Address: fmt.Sprintf("u%d:80", i), DC: "a", Slots: brittleSlots})
	}
	d := &limitDeployment{table: table, list: mplist.New(time.Now(), rows)}
	pool := &brittlePool{begin: time.Now(), running: map[string]int{}, refusals: map[string][]time.Time{}}
	var proxies []*mpproxy.Proxy
	var vms []string
	for i := range brittleVMs {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	for i := range brittleVMs {
		budget := mpbudget.New(mpbudget.Config{Ratio: 0.2, Burst: 6})
		selector := mpselect.New(mpselect.Config{VM: vms[i]})
		selector.SetPeers(vms)
		proxies = append(proxies, mpproxy.New(mpproxy.Config{
			DC: "a", State: d, Dialect: brittleDialect{}, Selector: selector, Budget: func(string) *mpbudget.Budget { return budget },
			Transport: pool, Quarantine: mpquarantine.New(), Notices: mpnotice.New(), Quotas: &quotas{limits: mpquota.NewLimits()}, Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
		}))
	}
	r := rand.New(rand.NewPCG(seed, 9))
	var wg sync.WaitGroup
	const interval = 2 * time.Millisecond // Above the 400 requests a second that there is room for.
	for time.Since(pool.begin) < brittleLength {
		p := proxies[r.IntN(len(proxies))]
		wg.Go(func() {
			p.Serve(t.Context(), httptest.NewRecorder(), &mpproxy.Request{Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}})
		})
		<-time.After(interval)
	}
	wg.Wait()
	room := brittleUpstreams * brittleSlots * brittleLength.Seconds() / brittleAnswer.Seconds()
	t.Logf("upstreams fell over %d times, and served %d of the %.0f requests that they have room for", pool.falls, pool.served, room)
	if pool.falls > maxFalls {
		t.Errorf("upstreams fell over %d times, want at most %d", pool.falls, maxFalls)
	}
	if float64(pool.served) < minBrittleShare*room {
		t.Errorf("%d of %.0f requests were served, want a share of %v", pool.served, room, minBrittleShare)
	}
}
