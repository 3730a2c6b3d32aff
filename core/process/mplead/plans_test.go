package mplead

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mpdelta"
	"mustardpost.org/core/common/mpflate"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const maxTestPlanBytes = 8 << 20

// routesPlan returns a plan with n routes, of which the one at index version has a timeout of its own.
func routesPlan(version, n int) mpstate.Plan {
	r := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		timeout := 1500
		if i == version {
			timeout += version
		}
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","kind":"idempotent","timeoutMs":%d,"sloMs":200},`, r.Uint64(), r.Uint64(), timeout)
	}
	b.WriteString("]}")
	return testPlan(uint64(version), b.String())
}

// randomPlan returns a plan of n bytes that has nothing in common with others.
func randomPlan(version uint64, n int) mpstate.Plan {
	r := rand.New(rand.NewPCG(version, 2))
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%016x", r.Uint64())
	}
	return testPlan(version, `"`+b.String()+`"`)
}

func testPlan(version uint64, source string) mpstate.Plan {
	return mpstate.NewPlan(mpview.Routing{Version: version, Source: []byte(source)}, 0)
}

// planRouting returns a plan as it is published.
func planRouting(p mpstate.Plan) mpview.Routing {
	return mpview.Routing{Version: p.Version(), Source: p.Source()}
}

// fetchAll reads an encoding in parts of most bytes, from several voters in turn, and returns the plan.
// between is called after each part.
func fetchAll(t *testing.T, voters []*plans, inForce mpstate.Plan, has mpstate.Plan, most int, between func(parts int)) (plan string, bytes int) {
	t.Helper()
	r := &mpwire.FetchRequest{Base: has.Sum(), Most: uint32(most)}
	var data []byte
	var first *mpwire.PlanPart
	for parts := 0; first == nil || len(data) < int(first.GetSize()); parts++ {
		p := voters[parts%len(voters)].part(time.Unix(1000, 0), inForce, r)
		if first == nil {
			first = p
		}
		if p.GetSum() != first.GetSum() || p.GetBase() != first.GetBase() || int(p.GetOffset()) != len(data) || len(p.GetData()) == 0 {
			t.Fatalf("part %d begins at byte %d of plan %d, want byte %d of plan %d", parts, p.GetOffset(), p.GetVersion(), len(data), first.GetVersion())
		}
		data = append(data, p.GetData()...)
		r = &mpwire.FetchRequest{Base: first.GetBase(), Sum: first.GetSum(), Offset: uint32(len(data)), Most: uint32(most)}
		between(parts)
	}
	source, err := mpflate.Unpack(data, maxTestPlanBytes)
	if err == nil && first.GetBase() != 0 {
		source, err = mpdelta.Apply(has.Source(), source, maxTestPlanBytes)
	}
	if err != nil {
		t.Fatal(err)
	}
	return string(source), len(data)
}

func checkPlan(t *testing.T, got string, want mpstate.Plan) {
	t.Helper()
	if diff := cmp.Diff(xxhash.Sum64String(got), want.Sum()); diff != "" {
		t.Errorf("got a plan of %d bytes, want plan %d of %d bytes", len(got), want.Version(), len(want.Source()))
	}
}

// Guards against changes of a large plan that cost the whole plan at each VM.
func TestBytesOfAChangeOfTheTargetPlan(t *testing.T) {
	const (
		targetRoutes = 2000
		// maxChangeBytes is what a VM may receive for a change of one route.
		maxChangeBytes = 1000
	)
	before, after := routesPlan(1, targetRoutes), routesPlan(2, targetRoutes)
	p := newPlans()
	p.observe(before)
	got, bytes := fetchAll(t, []*plans{p}, after, before, inlinePlanBytes, func(int) {})
	checkPlan(t, got, after)
	if bytes > maxChangeBytes {
		t.Errorf("a change of a plan of %d bytes takes %d bytes, want at most %d", len(after.Source()), bytes, maxChangeBytes)
	}
	whole, wholeBytes := fetchAll(t, []*plans{p}, after, mpstate.Plan{}, inlinePlanBytes, func(int) {})
	checkPlan(t, whole, after)
	t.Logf("a plan of %d bytes: a change takes %d bytes, the whole plan %d", len(after.Source()), bytes, wholeBytes)
}

// Guards against a transfer that begins anew each time that the plan is replaced: a VM on a small link
// never got any of the plans.
func TestTransferOutlastsNewerPlans(t *testing.T) {
	const planBytes, partBytes = 100_000, 2 << 10
	p := newPlans()
	inForce := randomPlan(1, planBytes)
	version := uint64(1)
	got, _ := fetchAll(t, []*plans{p}, inForce, mpstate.Plan{}, partBytes, func(int) {
		version++
		p.observe(randomPlan(version, planBytes))
	})
	checkPlan(t, got, inForce)
	if version <= 2*maxKeptPlans {
		t.Errorf("only %d plans were published meanwhile", version)
	}
}

// Guards against parts of two encodings that do not fit together, at a VM that asks several voters.
func TestPartsOfSeveralVoters(t *testing.T) {
	before, after := routesPlan(1, 300), routesPlan(2, 300)
	for name, has := range map[string]mpstate.Plan{"of the whole plan": {}, "of the difference": before} {
		t.Run(name, func(t *testing.T) {
			var voters []*plans
			for range 3 {
				v := newPlans()
				v.observe(before)
				voters = append(voters, v)
			}
			got, _ := fetchAll(t, voters, after, has, 50, func(int) {})
			checkPlan(t, got, after)
		})
	}
}

func TestFirstPartOfAPlan(t *testing.T) {
	before, after := routesPlan(1, 20), routesPlan(2, 20)
	unknown := uint64(77)
	type shape struct {
		Version, Sum, Base uint64
		Offset             uint32
	}
	for name, c := range map[string]struct {
		inForce mpstate.Plan
		request *mpwire.FetchRequest
		want    shape
	}{
		"there is no plan":                  {mpstate.Plan{}, &mpwire.FetchRequest{}, shape{}},
		"the VM has the plan in force":      {after, &mpwire.FetchRequest{Base: after.Sum()}, shape{Version: 2, Sum: after.Sum()}},
		"the VM has the plan before":        {after, &mpwire.FetchRequest{Base: before.Sum()}, shape{Version: 2, Sum: after.Sum(), Base: before.Sum()}},
		"the VM has an unknown plan":        {after, &mpwire.FetchRequest{Base: unknown}, shape{Version: 2, Sum: after.Sum()}},
		"parts of an unknown plan":          {after, &mpwire.FetchRequest{Sum: unknown, Offset: 5}, shape{Version: 2, Sum: after.Sum()}},
		"more than there is of the plan":    {after, &mpwire.FetchRequest{Sum: after.Sum(), Offset: 1 << 30}, shape{Version: 2, Sum: after.Sum()}},
		"parts from a base that is unknown": {after, &mpwire.FetchRequest{Sum: after.Sum(), Base: unknown, Offset: 5}, shape{Version: 2, Sum: after.Sum()}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlans()
			p.observe(before)
			c.request.Most = 10
			got := p.part(time.Unix(1000, 0), c.inForce, c.request)
			if diff := cmp.Diff(c.want, shape{got.GetVersion(), got.GetSum(), got.GetBase(), got.GetOffset()}); diff != "" {
				t.Errorf("part (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against memory that grows with the number of plans.
func TestPlansThatAreKept(t *testing.T) {
	p, now := newPlans(), time.Unix(1000, 0)
	for v := range uint64(100) {
		p.part(now.Add(time.Duration(v)*time.Second), randomPlan(v+1, 1<<20), &mpwire.FetchRequest{Most: 10})
	}
	bytes := 0
	for _, k := range p.kept {
		bytes += len(k.Source())
	}
	if n := len(p.kept); n > maxKeptPlans || bytes > maxKeptPlanBytes || n < 2 {
		t.Errorf("%d plans of %d bytes are kept", n, bytes)
	}
	if n := len(p.encodings); n > int(planEncodingAge/time.Second)+1 {
		t.Errorf("%d encodings are kept", n)
	}
}

// Guards against a change that counts as in force while a VM still has the plan before.
func TestPlanOfAVMThatLacksItIsNotInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := newHerd(t).leader
		r := &mpwire.RenewRequest{Vm: "vm", Boot: 1, Holds: true, Plans: true, Listed: leader.upstreamList.Hash()}
		renew := func() *mpwire.RenewReply {
			t.Helper()
			reply, err := leader.Renew(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			r.Revision = reply.GetRevision()
			return reply
		}
		checkInForce := func(want bool) {
			t.Helper()
			if got := leader.inForce(time.Now(), leader.cfg.StateMachine.View().Revision()); got != want {
				t.Errorf("in force: %v, want %v", got, want)
			}
		}
		r.Plan = renew().GetPlan().GetSum()
		time.Sleep(fleetLease + DriftMargin(fleetLease)) // The leases of former leaders have ended.
		renew()
		checkInForce(true)
		if err := leader.proposeChange(t.Context(), mpview.Publish{Routing: planRouting(randomPlan(2, 4*inlinePlanBytes))}); err != nil {
			t.Fatal(err)
		}
		if part := renew().GetPlan(); part != nil {
			t.Errorf("the renewal brings %d of %d bytes of the plan", len(part.GetData()), part.GetSize())
		}
		renew()
		checkInForce(false)
		r.Plan = leader.cfg.StateMachine.Plan().Sum()
		renew()
		checkInForce(true)
	})
}

// publish commits plans one after the other to the log of a leader.
func publish(t *testing.T, l *Leader, versions []mpview.Routing) {
	t.Helper()
	for _, r := range versions {
		data, err := mpstate.Encode(1, mpstate.Change{Change: mpview.Change{Op: mpview.Publish{Routing: r}}})
		if err != nil {
			t.Fatal(err)
		}
		l.cfg.StateMachine.Apply(0, data)
	}
}

// servedSource is the plan in force of the tests with checkServedPlan.
const servedSource = `"a"`

// checkServedPlan checks that a voter hands out the plan with servedSource, and with its checksum.
func checkServedPlan(t *testing.T, l *Leader) {
	t.Helper()
	part := l.Fetch(time.Unix(1000, 0), &mpwire.FetchRequest{Most: maxPlanPartBytes})
	source, err := mpflate.Unpack(part.GetData(), maxTestPlanBytes)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(servedSource, string(source)); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
	if got := xxhash.Sum64(source); got != part.GetSum() {
		t.Errorf("the plan has the checksum %x, announced as %x", got, part.GetSum())
	}
}

// Guards against voters that announce the checksum of a plan which did not take effect: other content had been
// published with the version in force, and no VM could take the plan over.
func TestServedPlanOfARepeatedVersion(t *testing.T) {
	a := mpview.Routing{Version: 2, Source: []byte(servedSource)}
	b := mpview.Routing{Version: 2, Source: []byte(`"b"`)}
	older := mpview.Routing{Version: 1, Source: []byte(`"older"`)}
	for name, versions := range map[string][]mpview.Routing{
		"once":                    {a},
		"repeated":                {a, b},
		"repeated twice":          {a, b, b},
		"unchanged":               {a, a},
		"followed by an older":    {a, older},
		"repeated after an older": {older, a, b, older},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			publish(t, l, versions)
			checkServedPlan(t, l)
		})
	}
	t.Run("at a voter that looked in between", func(t *testing.T) {
		l, _ := newTestLeader(t)
		publish(t, l, []mpview.Routing{a})
		checkServedPlan(t, l)
		publish(t, l, []mpview.Routing{b})
		checkServedPlan(t, l)
	})
	t.Run("at a voter that was restored", func(t *testing.T) {
		from, _ := newTestLeader(t)
		to, _ := newTestLeader(t)
		publish(t, from, []mpview.Routing{a, b})
		data, err := from.cfg.StateMachine.Snapshot()()
		if err != nil {
			t.Fatal(err)
		}
		if err := to.cfg.StateMachine.Restore(data); err != nil {
			t.Fatal(err)
		}
		publish(t, to, []mpview.Routing{b})
		checkServedPlan(t, to)
	})
}

// Guards against an operator who repeats a version and wakes all VMs each time.
func TestRepeatedVersionCostsNothing(t *testing.T) {
	const repeats = 20
	synctest.Test(t, func(t *testing.T) {
		l := newHerd(t).leader
		machine := l.cfg.StateMachine
		before, records := machine.View().Revision(), len(machine.Audit(0, repeats))
		urgent, _ := machine.Urgent()
		for _, source := range []string{`{}`, `{"other":1}`} {
			for range repeats {
				if err := l.proposeChange(t.Context(), mpview.Publish{Routing: mpview.Routing{Version: 1, Source: []byte(source)}}); err != nil {
					t.Fatal(err)
				}
			}
		}
		after, _ := machine.Urgent()
		got := []uint64{machine.View().Revision(), after, uint64(len(machine.Audit(0, repeats)))}
		if diff := cmp.Diff([]uint64{before, urgent, uint64(records)}, got); diff != "" {
			t.Errorf("revision, urgent revision and audit records (-want +got):\n%s", diff)
		}
	})
}

// Guards against a VM that never gets a plan whose content was in force before: the encoding had the version of
// the earlier plan, which the VM takes for an old one.
func TestContentThatIsPublishedAgain(t *testing.T) {
	first, between, again := testPlan(1, `"content"`), testPlan(2, `"between"`), testPlan(3, `"content"`)
	p, now := newPlans(), time.Unix(1000, 0)
	p.part(now, first, &mpwire.FetchRequest{Most: 100})
	p.part(now, between, &mpwire.FetchRequest{Base: first.Sum(), Most: 100})
	for name, r := range map[string]*mpwire.FetchRequest{
		"whole":      {Most: 100},
		"difference": {Base: between.Sum(), Most: 100},
		"by its sum": {Sum: again.Sum(), Most: 100},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(again.Version(), p.part(now, again, r).GetVersion()); diff != "" {
				t.Errorf("version (-want +got):\n%s", diff)
			}
		})
	}
}
