package mpstage

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpview"
)

// The load of one second of a burst at the last stage of a large deployment, as its
// description gives it: 39 requests/s of one kind times 2.4 and 72 of another, each of 16
// pieces that read 8 inputs, for VMs with links of 10 Mbit/s.
const (
	burstVMs         = 76
	burstJobs        = 166
	burstPieces      = 16
	burstInputs      = 8
	burstUpstreams   = 18
	linkBytesPerSec  = 10_000_000 / 8
	burstPeerAddress = "127.0.76.%d:7740"
	// pieceOverhead and inputOverhead are the bytes that encode a piece besides its
	// strings, and an input besides its handle.
	pieceOverhead = 60
	inputOverhead = 3
	burstSeed     = 18
)

// sentCounter simulates upstreams that answer at once, and counts the bytes of the calls
// to them.
type sentCounter struct {
	mu   sync.Mutex
	sent int
	// made holds the results of this VM's calls, freed those that it freed.
	made, freed []string
}

var _ BatchClient = (*sentCounter)(nil)

func (c *sentCounter) Run(_ context.Context, _ time.Time, call mpbatch.Call) mpbatch.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out mpbatch.Outcome
	for i, it := range call.Items {
		c.sent += pieceOverhead + len(it.Request) + len(it.Key)
		for _, in := range it.Inputs {
			c.sent += inputOverhead + len(in)
		}
		handle := fmt.Sprintf("%s/%s-%d-%d", call.Upstream.Address, it.Request, call.ID, i)
		c.made = append(c.made, handle)
		out.Items = append(out.Items, mpbatch.ItemOutcome{Handle: handle})
	}
	return out
}

func (c *sentCounter) AddressOf(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

func (c *sentCounter) CloseIdle() {}

func (c *sentCounter) Free(_ context.Context, _ string, handles []string) (mpspeed.Load, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freed = append(c.freed, handles...)
	return mpspeed.Load{}, nil
}

// results returns the results that this VM made and freed, each sorted.
func (c *sentCounter) results() (made, freed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(slices.Values(c.made)), slices.Sorted(slices.Values(c.freed))
}

func (c *sentCounter) sentBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// burstPeer serves the calls between the VMs of the test.
type burstPeer struct {
	mpwire.UnimplementedPeerServer
	owner *Owner
}

func (p burstPeer) Make(ctx context.Context, r *mpwire.MakeRequest) (*mpwire.MakeReply, error) {
	return p.owner.Serve(ctx, r), nil
}

func (p burstPeer) Free(_ context.Context, r *mpwire.FreeRequest) (*mpwire.FreeReply, error) {
	p.owner.ServeFree(r)
	return &mpwire.FreeReply{}, nil
}

// burstVM is one VM of the test.
type burstVM struct {
	router *Router
	client *sentCounter
}

func startBurstVMs(t *testing.T) []burstVM {
	t.Helper()
	table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "p", Batch: &mproute.BatchSpec{
		MaxPieces: 54, CallTime: 150 * time.Millisecond, PieceTime: 2400 * time.Microsecond, ResultRetention: 4 * time.Second,
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	var rows []mplist.Row
	for i := range burstUpstreams {
		rows = append(rows, mplist.Row{ID: fmt.Sprint("u", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:8080", i), DC: fmt.Sprint("dc", i%4)})
	}
	usable := mplist.New(time.Now(), rows).Usable(func(string) bool { return false })
	view := mpview.Empty()
	for i := range burstVMs {
		vm := mpview.VM{Name: fmt.Sprint("vm", i), DC: fmt.Sprint("dc", i%4), Boot: 1, Address: "caller", Peer: fmt.Sprintf(burstPeerAddress, i+1)}
		if view, err = view.Apply(mpview.Join{VM: vm}); err != nil {
			t.Fatal(err)
		}
	}
	var vms []burstVM
	for i := range burstVMs {
		vm, _ := view.VM(fmt.Sprint("vm", i))
		vms = append(vms, startBurstVM(t, vm, view, table, usable))
	}
	return vms
}

func startBurstVM(t *testing.T, vm mpview.VM, view *mpview.View, table *mproute.Table, usable *mplist.Usable) burstVM {
	t.Helper()
	metrics, logger, client := mpmetric.New(), mplog.New(io.Discard, "info"), &sentCounter{}
	owner := NewOwner(t.Context(), OwnerConfig{Client: client, Quotas: noQuotas{}, Notices: mpnotice.New(), Metrics: metrics, Logger: logger, Clock: time.Now})
	owner.Update(table, usable)
	server, err := mppeer.Serve(mppeer.ServerConfig{Address: vm.Peer, Secret: "s", Peer: burstPeer{owner: owner}, Metrics: metrics})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	peers := mppeer.NewClient(mppeer.Config{Secret: "s", Metrics: metrics})
	t.Cleanup(peers.Close)
	return burstVM{client: client, router: NewRouter(RouterConfig{
		VM: vm.Name, Local: owner, Client: peers, View: func() *mpview.View { return view }, Table: func() *mproute.Table { return table }, Usable: func() *mplist.Usable { return usable },
		Logger: logger, Clock: time.Now,
	})}
}

// runBurst runs the jobs of the burst at random VMs, and passes the results of each to done.
func runBurst(t *testing.T, vms []burstVM, done func(vm burstVM, handles []string)) {
	t.Helper()
	random := rand.New(rand.NewPCG(burstSeed, 0))
	var inputs []string
	for i := range burstInputs {
		inputs = append(inputs, fmt.Sprintf("10.1.64.%d:8080/5c1e07a2e440", 10+i))
	}
	var wg sync.WaitGroup
	for range burstJobs {
		vm := vms[random.IntN(len(vms))]
		spec := mpbatch.JobSpec{
			Request: fmt.Sprintf("%016x", random.Uint64()), Stage: 2, Count: burstPieces, Inputs: inputs, ResultBytes: 6000,
			SoftDeadline: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute),
		}
		wg.Go(func() {
			results, err := vm.router.Make(t.Context(), "p", spec)
			if err != nil || len(results) != burstPieces {
				t.Errorf("job %s: %d results: %v", spec.Request, len(results), err)
			}
			handles := make([]string, len(results))
			for i, r := range results {
				handles[i] = r.Handle
			}
			done(vm, handles)
		})
	}
	wg.Wait()
}

// Guards against one VM that all pieces of a pool pass through: the owner's link, then its
// processor, delayed each call, the results of earlier stages waited in full memory, and
// the callers of the least urgent requests were answered late.
func TestBurstIsDividedBetweenVMs(t *testing.T) {
	vms := startBurstVMs(t)
	runBurst(t, vms, func(burstVM, []string) {})
	most := 0
	for _, vm := range vms {
		most = max(most, vm.client.sentBytes())
	}
	// A link that is more than half full delays what is sent by as much as sending takes.
	if most > linkBytesPerSec/2 {
		t.Errorf("one VM sends %d B for one second of the burst, want at most half of its link, %d B", most, linkBytesPerSec/2)
	}
}

// Guards against results that are freed by another owner than the one that counts them:
// their memory would count as used until their upstreams drop them.
func TestResultsAreFreedByTheirOwner(t *testing.T) {
	const freeTimeout = 5 * time.Second
	vms := startBurstVMs(t)
	runBurst(t, vms, func(vm burstVM, handles []string) { vm.router.Free("p", handles) })
	deadline := time.Now().Add(freeTimeout)
	for i, vm := range vms {
		made, freed := vm.client.results()
		for len(freed) < len(made) && time.Now().Before(deadline) {
			<-time.After(freeInterval)
			made, freed = vm.client.results()
		}
		if diff := cmp.Diff(made, freed); diff != "" {
			t.Errorf("results that VM %d made and freed (-made +freed):\n%s", i, diff)
		}
	}
}
