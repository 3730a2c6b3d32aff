package mpgateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpconsensus"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpassign"
)

// earlierPeer is a VM of a build that does not assign engines.
type earlierPeer struct{ peer }

func (earlierPeer) Assign(context.Context, *mpwire.AssignRequest) (*mpwire.AssignReply, error) {
	return nil, status.Error(codes.Unimplemented, "unknown method Assign")
}

// Guards against messages that lose something on the way, and against a first owner of an earlier build
// that keeps the others from being asked.
func TestAssignOverConnections(t *testing.T) {
	f := newAssignFleet(t, 20)
	earlier := f.owners()[0]
	addresses := map[string]string{}
	for i, vm := range f.owners() {
		address := fmt.Sprintf("127.0.82.%d:7740", i+1)
		p := peer{Service: &mpconsensus.Service{}, gateway: &Gateway{engineOwner: vm.owner}}
		cfg := mppeer.ServerConfig{Address: address, Secret: "s", Peer: p, Metrics: mpmetric.New()}
		if vm == earlier {
			cfg.Peer = earlierPeer{p}
		}
		server, err := mppeer.Serve(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		addresses[vm.name] = address
	}
	client := mppeer.NewClient(mppeer.Config{Secret: "s", Metrics: mpmetric.New()})
	t.Cleanup(client.Close)
	for _, vm := range f.vms {
		dial := func(name string) (mpwire.PeerClient, error) { return client.Stub(addresses[name]) }
		vm.assigner.dial, vm.assigner.reports.dial = dial, dial
	}
	owner, vm := f.owners()[1], f.owners()[5]
	r := engineRequest(1)
	r.Exclude = []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6"}
	// The first request may take longer than it waits, since connections are made.
	assigned := vm.assigner.Assign(t.Context(), r)
	for range 50 {
		if assigned != nil && assigned.Owner == owner.name {
			break
		}
		<-time.After(silentPeriod / 20)
		assigned = vm.assigner.Assign(t.Context(), r)
	}
	if assigned == nil || assigned.Owner != owner.name || assigned.Engine != "e7" || assigned.Expected < 200*time.Millisecond {
		t.Fatalf("assignment %+v, want e7 from %s", assigned, owner.name)
	}
	assigned.Settle(mpassign.Outcome{End: mpassign.Started, FirstToken: 250 * time.Millisecond, Pace: 1})
	assigned.Settle(mpassign.Outcome{End: mpassign.Done})
	deadline := time.Now().Add(5 * time.Second)
	for owner.owner.held() > 0 && time.Now().Before(deadline) {
		<-time.After(10 * time.Millisecond)
	}
	checkHeld(t, owner, 0)
	again := vm.assigner.Assign(t.Context(), r)
	if again == nil || again.CachedTokens != 13_000 {
		t.Errorf("assignment %+v, want one with 13,000 tokens cached", again)
	}
	if owner.owner.metrics.Count("assign.rejected") > 0 {
		t.Error("messages were rejected")
	}
}
