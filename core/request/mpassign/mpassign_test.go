package mpassign

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

var threeSpeeds = []float64{0.6, 1, 1.6}

// run simulates a load and logs the figures.
func run(t *testing.T, l fleetLoad) (*fleet, figures) {
	t.Helper()
	f := newFleet(1, l)
	f.run()
	g := f.figures()
	t.Logf("local %v: %d requests with %.1f M tokens; %v; expected first token is wrong by %.0f ms (p50), %.0f ms (p90)",
		l.local, f.sent, f.prompt/1e6, g, quantile(f.expectedErr, 0.5), quantile(f.expectedErr, 0.9))
	return f, g
}

// Guards against a hot part that stays on one engine, since each VM sees only its own requests, and
// against engines that refuse requests while others have room.
func TestHotPart(t *testing.T) {
	for name, l := range map[string]fleetLoad{
		"usual":                      {engines: 16, varies: true},
		"a part of 3 requests in 10": {engines: 16, varies: true, hot: 0.3},
		"engines that state a pace":  {engines: 16, varies: true, states: true},
		"engines of steady speed":    {engines: 16},
		"prefill in order":           {engines: 16, varies: true, inOrder: true},
		"few engines":                {engines: 12, varies: true},
		"many engines":               {engines: 32, varies: true},
		"parts that branch":          {engines: 16, varies: true, kinds: branchingKinds},
	} {
		t.Run(name, func(t *testing.T) {
			l.vms, l.rate, l.length, l.speeds, l.reportDelay = 81, 220, 30*time.Second, threeSpeeds, 100
			if l.kinds == nil {
				l.kinds = usualKinds
			}
			l.local = true
			_, before := run(t, l)
			l.local = false
			_, after := run(t, l)
			if after.busiestWork > 1.3 || after.readAgain > 3e6 || after.refusals > 0 || after.p90 > before.p90/2 {
				t.Errorf("busiest %.2f, %.2f M tokens read again, %d refusals, first token p90 %.0f ms", after.busiestWork, after.readAgain/1e6, after.refusals, after.p90)
			}
		})
	}
}

// Guards against requests of the longest kind that arrive at once and wait for each other at few engines.
func TestBurst(t *testing.T) {
	l := fleetLoad{engines: 24, vms: 81, rate: 60, length: 12 * time.Second, kinds: usualKinds, speeds: threeSpeeds, varies: true, reportDelay: 100}
	l.disturb = func(f *fleet, ms int) {
		if ms >= 6000 && ms < 6300 && ms%2 == 0 {
			f.send(f.newRequestOf(0))
		}
	}
	l.local = true
	_, before := run(t, l)
	l.local = false
	_, after := run(t, l)
	if after.longP90 > before.longP90/2 || after.refusals > 0 {
		t.Errorf("longest kind: first token p90 %.0f ms, %.0f ms if VMs choose; %d refusals", after.longP90, before.longP90, after.refusals)
	}
}

// Guards against a new owner that takes all engines for idle while the requests of the lost one wait there.
func TestOwnerLost(t *testing.T) {
	const lostAt, replacedAt = 10_000, 10_200
	burst := func(f *fleet, ms int) {
		if ms >= lostAt-250 && ms < lostAt && ms%2 == 0 {
			for range 4 {
				f.send(f.newRequest())
			}
		}
	}
	l := fleetLoad{engines: 16, vms: 81, rate: 220, length: 16 * time.Second, kinds: usualKinds, speeds: threeSpeeds, varies: true, reportDelay: 100}
	l.disturb = burst
	_, undisturbed := run(t, l)
	l.isLocal = func(f *fleet, _ int) bool { return f.ms >= lostAt && f.ms < replacedAt }
	inFlight := 0
	l.disturb = func(f *fleet, ms int) {
		burst(f, ms)
		if ms == replacedAt {
			inFlight = len(f.flights)
			f.pools = nil
			f.register(f.addOwner(81))
		}
	}
	_, lost := run(t, l)
	t.Logf("%d requests in flight when the new owner began", inFlight)
	if inFlight < 300 || lost.p90 > 2*undisturbed.p90+100 || lost.lost > 0 || lost.refusals > undisturbed.refusals+20 {
		t.Errorf("%d in flight; first token p90 %.0f ms, %.0f ms without the loss; %d refusals", inFlight, lost.p90, undisturbed.p90, lost.refusals)
	}
}

// Guards against two owners at once, of which each knows half of the load, that are worse than none.
func TestTwoOwners(t *testing.T) {
	l := fleetLoad{engines: 16, vms: 81, rate: 220, length: 30 * time.Second, kinds: usualKinds, speeds: threeSpeeds, varies: true, reportDelay: 100}
	l.disturb = func(f *fleet, ms int) {
		if ms == 1 {
			f.addOwner(0)
		}
	}
	_, two := run(t, l)
	l.local = true
	_, none := run(t, l)
	if two.p90 > none.p90/2 || two.busiestWork > 1.5 {
		t.Errorf("two owners: %v", two)
	}
}

// Guards against engines that get more than they bear in their cold start, also while some of the VMs
// choose by themselves, and against a rush to them afterwards.
func TestColdDataCentre(t *testing.T) {
	const coldAt, coldEnd = 8000, 14_000
	l := fleetLoad{engines: 18, vms: 81, rate: 220, length: 24 * time.Second, kinds: usualKinds, speeds: threeSpeeds, varies: true, reportDelay: 100}
	l.isLocal = func(f *fleet, vm int) bool { return vm%5 == int(f.ms/1000)%5 }
	l.disturb = func(f *fleet, ms int) {
		if ms != 0 && ms != coldAt && ms != coldEnd {
			return
		}
		for i, e := range f.engines {
			if i < 6 {
				e.isOut = ms == 0
				if ms == coldAt {
					e.coldUntil = coldEnd
				}
			}
		}
		f.setEngines()
	}
	f, g := run(t, l)
	picks := 0
	for _, e := range f.engines[:6] {
		picks += len(e.coldPicks)
		for i, at := range e.coldPicks {
			if n := len(e.coldPicks[:i+1]); n > fleetColdRate && at-e.coldPicks[i-fleetColdRate] < 1000 {
				t.Errorf("%s got %d requests within a second of its cold start, at %.0f ms", e.id, fleetColdRate+1, at)
			}
		}
	}
	t.Logf("%d requests to cold engines", picks)
	if picks < 30 {
		t.Errorf("%d requests to cold engines in 6 s, want most of %d", picks, 6*6*fleetColdRate)
	}
	if g.refusals > 50 || g.p90 > 400 {
		t.Errorf("%v", g)
	}
}

var epoch = time.Unix(1_000_000, 0)

// newPool returns a Pool with engines of 4 slots and 1,000 tokens, of which the last has version v2.
func newPool(engines int) *Pool {
	p := New(epoch, 0, Config{CacheTokens: 1000})
	var rows []Row
	for i := range engines {
		rows = append(rows, Row{ID: fmt.Sprint("e", i), Version: "v1", Slots: 4})
	}
	rows[engines-1].Version = "v2"
	p.SetEngines(epoch, rows)
	return p
}

func request(token uint64, parts ...Part) Request {
	return Request{Token: token, VM: "a", Parts: parts, OwnTokens: 100, OutputTokens: 10, Arrival: epoch, Deadline: epoch.Add(5 * time.Second)}
}

// assign returns the engine that is chosen, or "".
func assign(t *testing.T, p *Pool, now time.Time, r Request) string {
	t.Helper()
	a, _, err := p.Assign(now, r)
	if err != nil {
		t.Fatal(err)
	}
	return a.Engine
}

// checkEmpty reports an error unless the engines hold nothing.
func checkEmpty(t *testing.T, p *Pool) {
	t.Helper()
	for _, e := range p.engines {
		if e.flights != 0 || e.ownTokens != 0 || e.pinnedTokens != 0 || len(e.waiting) != 0 || len(e.coming) != 0 {
			t.Errorf("%s has %d requests with %d tokens, %d tokens in use, %d waiting, %d coming", e.id, e.flights, e.ownTokens, e.pinnedTokens, len(e.waiting), len(e.coming))
		}
	}
	if p.Len() != 0 {
		t.Errorf("%d assignments", p.Len())
	}
}

// Guards against messages of another version, or with overflowing figures, that disturb the owner.
func TestImplausibleRequests(t *testing.T) {
	for name, change := range map[string]func(r *Request){
		"no token":              func(r *Request) { r.Token = 0 },
		"no VM":                 func(r *Request) { r.VM = "" },
		"negative tokens":       func(r *Request) { r.OwnTokens = -1 },
		"many tokens":           func(r *Request) { r.OutputTokens = maxTokens + 1 },
		"negative part":         func(r *Request) { r.Parts = []Part{{1, -5}} },
		"many parts":            func(r *Request) { r.Parts = make([]Part, maxParts+1) },
		"parts with a huge sum": func(r *Request) { r.Parts = []Part{{1, maxTokens}, {2, maxTokens}} },
		"many engines":          func(r *Request) { r.Exclude = make([]string, maxListed+1) },
		"ended":                 func(r *Request) { r.Deadline = epoch },
		"ends in a day":         func(r *Request) { r.Deadline = epoch.Add(24 * time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(2)
			r := request(1)
			change(&r)
			if _, ok, err := p.Assign(epoch, r); ok || !errors.Is(err, mperror.ErrInvalid) {
				t.Errorf("assigned %v, error %v", ok, err)
			}
			if err := p.Register(epoch, "a", []Held{{Token: 1, Engine: "e0", OwnTokens: -1, Deadline: r.Deadline}}); !errors.Is(err, mperror.ErrInvalid) {
				t.Errorf("registered, error %v", err)
			}
			checkEmpty(t, p)
		})
	}
}

// Guards against requests that go where they must not, or to full engines while others have room.
func TestChoice(t *testing.T) {
	hot := Part{Hash: 7, Tokens: 300}
	t.Run("a cached part is used again", func(t *testing.T) {
		p := newPool(3)
		first := assign(t, p, epoch, request(1, hot))
		p.Settle(epoch.Add(time.Second), 1, Outcome{End: Done, FirstToken: 20 * time.Millisecond})
		if got := assign(t, p, epoch.Add(time.Second), request(2, hot)); got != first {
			t.Errorf("%s, want %s", got, first)
		}
	})
	t.Run("not where it is excluded", func(t *testing.T) {
		r := request(1, hot)
		r.Exclude = []string{"e0", "e2"}
		if diff := cmp.Diff("e1", assign(t, newPool(3), epoch, r)); diff != "" {
			t.Errorf("engine (-want +got):\n%s", diff)
		}
	})
	t.Run("only at a version", func(t *testing.T) {
		r := request(1, hot)
		r.Versions = []string{"v2"}
		if diff := cmp.Diff("e2", assign(t, newPool(3), epoch, r)); diff != "" {
			t.Errorf("engine (-want +got):\n%s", diff)
		}
	})
	t.Run("nowhere", func(t *testing.T) {
		r := request(1, hot)
		r.Versions = []string{"v3"}
		if diff := cmp.Diff("", assign(t, newPool(3), epoch, r)); diff != "" {
			t.Errorf("engine (-want +got):\n%s", diff)
		}
	})
	t.Run("not to an engine without a slot or memory, unless all are full", func(t *testing.T) {
		p := newPool(2)
		counts := map[string]int{}
		for token := range uint64(8) {
			counts[assign(t, p, epoch, request(token+1, hot))]++
		}
		if diff := cmp.Diff(map[string]int{"e0": 4, "e1": 4}, counts); diff != "" {
			t.Errorf("requests (-want +got):\n%s", diff)
		}
		if assign(t, p, epoch, request(9, hot)) == "" {
			t.Error("no engine although all are full")
		}
	})
	t.Run("not to an engine that failed, refused or is gone", func(t *testing.T) {
		for name, c := range map[string]struct {
			vms  []string
			ends []End
			want bool
		}{
			"refused": {[]string{"a"}, []End{Refused}, true}, "gone": {[]string{"a"}, []End{Gone}, true},
			"failed for two VMs":            {[]string{"a", "b"}, []End{Failed, Failed}, true},
			"failed for one VM":             {[]string{"a", "a"}, []End{Failed, Failed}, false},
			"answered after it has failed":  {[]string{"a", "b", "c"}, []End{Failed, Failed, Done}, false},
			"answered between two failures": {[]string{"a", "b", "c"}, []End{Failed, Done, Failed}, false},
		} {
			p, engine := newPool(2), "e0"
			for i, vm := range c.vms {
				r := request(uint64(i+1), hot)
				r.VM, r.Exclude = vm, []string{"e1"}
				assign(t, p, epoch, r)
			}
			for i, end := range c.ends {
				p.Settle(epoch, uint64(i+1), Outcome{End: end})
			}
			isAvoided := p.byID[engine].avoidUntil > p.ms(epoch)
			if isAvoided != c.want {
				t.Errorf("%s: avoided %v", name, isAvoided)
			}
			if isAvoided && assign(t, p, epoch, request(9, hot)) == engine {
				t.Errorf("%s: %s again", name, engine)
			}
		}
	})
	t.Run("to a slower engine less often", func(t *testing.T) {
		p := newPool(2)
		counts := map[string]int{}
		for i := range 200 {
			token, now := uint64(i+1), epoch.Add(time.Duration(i)*100*time.Millisecond)
			r := request(token)
			r.OwnTokens, r.Arrival, r.Deadline = 900, now, now.Add(time.Second)
			id := assign(t, p, now, r)
			took := 40 * time.Millisecond
			if id == "e0" {
				took = 160 * time.Millisecond
			}
			p.Settle(now.Add(took), token, Outcome{End: Done, FirstToken: took})
			counts[id]++
		}
		if counts["e0"] > 60 {
			t.Errorf("the slow engine got %d of 200 requests", counts["e0"])
		}
	})
}

// Guards against assignments that never end, and against reports for others that end them.
func TestSettleAndExpire(t *testing.T) {
	p := newPool(3)
	for token := range uint64(6) {
		assign(t, p, epoch, request(token+1, Part{Hash: token % 2, Tokens: 200}))
	}
	if p.Settle(epoch, 99, Outcome{End: Done}) {
		t.Error("an unknown assignment was settled")
	}
	for _, end := range []End{Started, Done, Done, Unused} {
		p.Settle(epoch.Add(time.Second), 1, Outcome{End: end, FirstToken: 30 * time.Millisecond})
	}
	for token, end := range map[uint64]End{2: Unused, 3: Cancelled, 4: Failed, 5: Refused} {
		if !p.Settle(epoch.Add(time.Second), token, Outcome{End: end}) {
			t.Errorf("%d is unknown", token)
		}
	}
	if got := p.Expire(epoch.Add(4 * time.Second)); got != 0 {
		t.Errorf("%d assignments expired before their deadline", got)
	}
	if got := p.Expire(epoch.Add(5 * time.Second)); got != 1 {
		t.Errorf("%d assignments expired, want 1", got)
	}
	checkEmpty(t, p)
}

// Guards against an engine that keeps the parts that its predecessor had cached, and against requests at
// engines that have left the list.
func TestEnginesThatChange(t *testing.T) {
	hot := Part{Hash: 7, Tokens: 300}
	p := newPool(2)
	assign(t, p, epoch, request(1, hot))
	p.SetEngines(epoch, []Row{{ID: "f0", Slots: 4}})
	checkEmpty(t, p)
	a, ok, err := p.Assign(epoch, request(2, hot))
	if !ok || err != nil || a.CachedTokens != 0 {
		t.Errorf("%+v, %v, %v", a, ok, err)
	}
	if p.Settle(epoch, 1, Outcome{End: Done}) {
		t.Error("a request at an engine that has left was settled")
	}
}

// Guards against callers whose prompts name ever new parts without tokens, which no cache evicts.
func TestMemoryIsBounded(t *testing.T) {
	for name, capacity := range map[string]int{"known memory": 1000, "unknown memory": 0} {
		p := New(epoch, 0, Config{CacheTokens: capacity})
		p.SetEngines(epoch, []Row{{ID: "e0", Slots: 4}})
		for i := range uint64(500) {
			r := request(i + 1)
			for n := range uint64(20) {
				r.Parts = append(r.Parts, Part{Hash: 100*i + n})
			}
			assign(t, p, epoch, r)
			p.Settle(epoch, i+1, Outcome{End: Done})
		}
		if len(p.parts) > maxCachedParts {
			t.Errorf("%s: %d parts are kept", name, len(p.parts))
		}
	}
}
