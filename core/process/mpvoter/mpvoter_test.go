package mpvoter

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
)

const testSecret = "a secret of the tests"

// voter answers as one voter of a deployment does.
type voter struct {
	mpwire.UnimplementedPeerServer
	leader   string // The address of the leader that it follows.
	leads    bool
	enrolled chan *mpwire.EnrollRequest
}

func (v *voter) Probe(context.Context, *mpwire.ProbeRequest) (*mpwire.ProbeReply, error) {
	return &mpwire.ProbeReply{Founded: true, Cluster: 5, Leader: v.leader}, nil
}

func (v *voter) Enroll(_ context.Context, r *mpwire.EnrollRequest) (*mpwire.EnrollReply, error) {
	if !v.leads {
		return nil, status.Error(codes.Unavailable, "not the leader")
	}
	v.enrolled <- r
	return &mpwire.EnrollReply{Done: true}, nil
}

// serve runs v on an address of its own.
func (v *voter) serve(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	s, err := mppeer.Serve(mppeer.ServerConfig{Address: address, Secret: testSecret, Peer: v, Metrics: mpmetric.New()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return address
}

// TestEnrollWithLeaderThatIsNoSeed guards against members that never join: a voter that had
// lost its disk, or was new, asked only the seeds to be enrolled, and those that did not lead
// refused without naming the leader. While none of the seeds led, each lost disk and each
// replaced machine was a voter less for good, until the quorum was gone.
func TestEnrollWithLeaderThatIsNoSeed(t *testing.T) {
	leader := &voter{leads: true, enrolled: make(chan *mpwire.EnrollRequest, 1)}
	leaderAddress := leader.serve(t)
	seeds := []string{"127.0.0.1:1", (&voter{leader: leaderAddress}).serve(t), (&voter{leader: leaderAddress}).serve(t)}
	store, recovered, err := mpdisk.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	replica, err := mpreplica.New(mpreplica.Config{
		Self: 9, Address: seeds[0], Store: store, Recovered: recovered, Logger: log.NewNopLogger(), SnapshotThreshold: 1 << 20,
		Quorum: mpquorum.Config{
			ElectionTimeout: time.Second, HeartbeatInterval: time.Second / 4, Rand: rand.New(rand.NewPCG(1, 1)), Now: time.Now(),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = replica.Run() }()
	defer replica.Stop()
	client := mppeer.NewClient(mppeer.Config{Secret: testSecret, Metrics: mpmetric.New()})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go Enroll(ctx, Config{
		VM: "vm9", Address: seeds[0], Seeds: func() []string { return seeds }, Client: client, Logger: log.NewNopLogger(),
	}, mpdisk.Identity{Cluster: 5, Member: 9}, replica)
	select {
	case r := <-leader.enrolled:
		if r.GetMember() != 9 || r.GetVm() != "vm9" {
			t.Errorf("enrolled %v, want member 9 of vm9", r)
		}
	case <-time.After(5 * time.Second):
		t.Error("the leader was not asked within 5s")
	}
}

// TestCandidates guards against voters that find no leader though their own log names the others:
// with seeds that are gone, a VM that restarted asked nobody else.
func TestCandidates(t *testing.T) {
	members := mpquorum.Membership{Seats: []mpquorum.MemberInfo{{Member: 1, Address: "a"}, {Member: 2, Address: "own"}, {Member: 3, Address: "d"}}}
	got := Candidates("own", []string{"own", "a", "b"}, members)
	if diff := cmp.Diff([]string{"a", "b", "d"}, got); diff != "" {
		t.Errorf("candidates (-want +got):\n%s", diff)
	}
}

// TestHasLeader guards against corrupt data that is set aside while the others lack it.
func TestHasLeader(t *testing.T) {
	following, leaderless := (&voter{leader: "127.0.0.1:2"}).serve(t), (&voter{}).serve(t)
	for name, c := range map[string]struct {
		seeds   []string
		cluster uint64 // That of the data directory; 0 if it has no identity.
		want    bool
	}{
		"a seed follows a leader":              {[]string{leaderless, following}, 5, true},
		"no identity":                          {[]string{following}, 0, true},
		"another deployment":                   {[]string{following}, 6, false},
		"the seeds have no leader":             {[]string{leaderless}, 5, false},
		"the seeds cannot be reached":          {[]string{"127.0.0.1:1"}, 5, false},
		"the leader that is followed was this": {[]string{(&voter{leader: "127.0.0.1:9"}).serve(t)}, 5, false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if c.cluster > 0 {
				if err := mpdisk.WriteIdentity(dir, mpdisk.Identity{Cluster: c.cluster, Member: 9}); err != nil {
					t.Fatal(err)
				}
			}
			client := mppeer.NewClient(mppeer.Config{Secret: testSecret, Metrics: mpmetric.New()})
			defer client.Close()
			cfg := Config{VM: "vm9", Address: "127.0.0.1:9", DataDir: dir, Seeds: func() []string { return c.seeds }, Client: client, Logger: log.NewNopLogger()}
			if got := HasLeader(t.Context(), cfg); got != c.want {
				t.Errorf("HasLeader = %t, want %t", got, c.want)
			}
		})
	}
}
