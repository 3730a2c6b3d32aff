package mplead

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mustardpost.org/core/connection/mplink"
	"mustardpost.org/core/connection/mpmember"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpplan"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	smallLinkSecret = "a secret of the test"
	// A plan of smallLinkPlanBytes, of which compression takes half, is more than the link carries in
	// the time of a renewal, and takes about as long as two leases.
	smallLinkPlanBytes = 200_000
	smallLinkRate      = 24 << 10
	smallLinkChange    = 500 * time.Millisecond
	smallLinkDuration  = 10 * time.Second
	// smallLinkTransfer is what the link needs for a plan, with room for what else it carries.
	smallLinkTransfer = 6 * time.Second
)

// leaderPeer serves the calls of VMs to a leader.
type leaderPeer struct {
	mpwire.UnimplementedPeerServer
	leader *Leader
}

func (p leaderPeer) Renew(ctx context.Context, r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	return p.leader.Renew(ctx, r)
}

func (p leaderPeer) Fetch(_ context.Context, r *mpwire.FetchRequest) (*mpwire.PlanPart, error) {
	return p.leader.Fetch(time.Now(), r), nil
}

func (leaderPeer) Probe(context.Context, *mpwire.ProbeRequest) (*mpwire.ProbeReply, error) {
	return &mpwire.ProbeReply{}, nil
}

// remoteVM is a VM at the other end of a small link.
type remoteVM struct {
	member *mpmember.Member
	plans  *mpplan.Follower

	mu      sync.Mutex
	version uint64
	adopted int
}

func (vm *remoteVM) adopt(_ time.Time, plan mpview.Routing) error {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.version = plan.Version
	vm.adopted++
	return nil
}

func (vm *remoteVM) current() (version uint64, adopted int) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.version, vm.adopted
}

func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startRemoteVM starts a VM that reaches the leader over a link of rate bytes a second.
func startRemoteVM(t *testing.T, leader *Leader, rate float64) *remoteVM {
	t.Helper()
	const vmIP = "127.0.0.77"
	address, front := freeAddress(t, "127.0.0.1"), freeAddress(t, "127.0.0.1")
	server, err := mppeer.Serve(mppeer.ServerConfig{Address: address, Secret: smallLinkSecret, Peer: leaderPeer{leader: leader}, Metrics: mpmetric.New()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	network := mplink.New()
	network.Limit(vmIP, rate)
	relay, err := network.Relay(front, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = relay.Close() })
	client := mppeer.NewClient(mppeer.Config{Secret: smallLinkSecret, LocalIP: net.ParseIP(vmIP), Metrics: mpmetric.New()})
	t.Cleanup(client.Close)
	vm := &remoteVM{}
	vm.plans = mpplan.New(mpplan.Config{
		Client: client, Voters: func() []string { return []string{front} }, Leader: func() string { return vm.member.Leader() },
		Adopt: vm.adopt, Metrics: mpmetric.New(), Logger: log.NewNopLogger(),
	})
	vm.member = mpmember.New(mpmember.Config{
		Self: mpview.VM{Name: "vm", DC: "dc", Boot: 1, Peer: vmIP + ":1"}, Voters: func() []string { return []string{front} },
		Client: client, Logger: log.NewNopLogger(), Plans: vm.plans,
	})
	go vm.member.Run(t.Context())
	go vm.plans.Run(t.Context())
	return vm
}

// Guards against a VM whose lease waits for a plan that its link does not carry in the time of a renewal,
// and that begins anew with each plan: it had no lease, and got none of the plans.
func TestPlansOverASmallLink(t *testing.T) {
	machine := mpstate.New()
	leader := New(Config{Replica: soleVoter{machine}, StateMachine: machine, Logger: log.NewNopLogger(), LeaseDuration: fleetLease})
	version := uint64(0)
	publish := func() {
		t.Helper()
		version++
		if err := leader.proposeChange(t.Context(), mpview.Publish{Routing: planRouting(randomPlan(version, smallLinkPlanBytes))}); err != nil {
			t.Fatal(err)
		}
	}
	publish()
	vm := startRemoteVM(t, leader, smallLinkRate)
	if err := vm.member.AwaitLease(t.Context(), time.Now); err != nil {
		t.Fatal(err)
	}
	without := 0
	// watch publishes plans for a while, and counts how often the VM is found without a lease.
	watch := func(d, interval time.Duration, done func() bool) {
		lastPublished := time.Now()
		for end := time.Now().Add(d); time.Now().Before(end) && !done(); time.Sleep(10 * time.Millisecond) {
			if !vm.member.HasLease(time.Now()) {
				without++
			}
			if interval > 0 && time.Since(lastPublished) > interval {
				lastPublished = time.Now()
				publish()
			}
		}
	}
	watch(smallLinkDuration, smallLinkChange, func() bool { return false })
	if v, adopted := vm.current(); adopted == 0 {
		t.Errorf("the VM has plan %d after %v, and got none of %d", v, smallLinkDuration, version)
	}
	watch(2*smallLinkTransfer, 0, func() bool { v, _ := vm.current(); return v == version })
	if v, adopted := vm.current(); v != version {
		t.Errorf("the VM has plan %d of %d, %v after the last change; it got %d of them", v, version, 2*smallLinkTransfer, adopted)
	}
	if without > 0 {
		t.Errorf("the VM had no lease at %d moments", without)
	}
}
