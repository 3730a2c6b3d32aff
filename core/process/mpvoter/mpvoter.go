// Package mpvoter starts a voter: it bootstraps a new deployment, resumes from its data
// directory, or joins as a new member after its disk was lost.
//
// Bootstrapping is the only step that does not require a quorum. Only the VM named in the
// settings may bootstrap, only if it can reach every other seed, and only if none of them
// holds a log. The new deployment has this VM as its only member; the others join it. This
// ensures that a voter with a lost disk cannot bootstrap a second deployment next to an
// existing one.
package mpvoter

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
)

const (
	probeTimeout   = time.Second
	probeInterval  = 100 * time.Millisecond
	enrollInterval = 100 * time.Millisecond
	enrollTimeout  = 2 * time.Second
	// failureLogInterval limits the log lines while no deployment or leader is found.
	failureLogInterval = 10 * time.Second
	// confirmInterval is how often a voter checks that it is still a voter.
	confirmInterval = 3 * time.Second
)

// Config holds the dependencies and settings for starting a voter.
type Config struct {
	// VM is this VM's name, Address its peer address, DataDir its data directory.
	VM      string
	Address string
	DataDir string
	// Seeds returns the peer addresses of VMs that may hold the log.
	Seeds func() []string
	// ShouldBootstrap reports whether this VM bootstraps a deployment if none exists.
	ShouldBootstrap func() bool
	Client          *mppeer.Client
	Logger          log.Logger
}

// Open returns the identity stored in the data directory. If there is none, Open first
// bootstraps a deployment or discovers the one to join, which may take until ctx ends.
func Open(ctx context.Context, cfg Config) (mpdisk.Identity, error) {
	dir := cfg.DataDir
	id, ok, err := mpdisk.ReadIdentity(dir)
	if err != nil || ok {
		return id, err
	}
	cluster, err := discover(ctx, cfg)
	if err != nil {
		return id, err
	}
	id = mpdisk.Identity{Cluster: cluster, Member: mpquorum.MemberID(rand.Uint64() | 1)}
	if cluster == 0 {
		id.Cluster = rand.Uint64() | 1
		if err := bootstrap(dir, id, cfg); err != nil {
			return id, err
		}
	}
	_ = level.Info(cfg.Logger).Log("msg", "created member identity", "cluster", id.Cluster, "member", uint64(id.Member), "founds", cluster == 0)
	return id, mpdisk.WriteIdentity(dir, id)
}

func bootstrap(dir string, id mpdisk.Identity, cfg Config) error {
	store, _, err := mpdisk.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	member := mpquorum.MemberInfo{Member: id.Member, VM: cfg.VM, Address: cfg.Address}
	if err := store.WriteSnapshot(mpquorum.BootstrapSnapshot(member, nil)); err != nil {
		return err
	}
	return store.Save(&mpquorum.HardState{Term: 1}, nil)
}

// discover returns the ID of the deployment to join, or 0 to bootstrap a new one.
func discover(ctx context.Context, cfg Config) (uint64, error) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	started := time.Now()
	loggedAt := started
	for {
		cluster, allAnswered := probeSeeds(ctx, cfg)
		if cluster != 0 || allAnswered && cfg.ShouldBootstrap() {
			return cluster, nil
		}
		if now := time.Now(); now.Sub(loggedAt) >= failureLogInterval {
			loggedAt = now
			_ = level.Warn(cfg.Logger).Log("msg", "no deployment found to join", "for", now.Sub(started), "seeds", strings.Join(cfg.Seeds(), ","),
				"answered", allAnswered)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return 0, mperror.Wrap(ctx.Err(), "discover existing deployment")
		}
	}
}

// probeSeeds asks the other seeds which deployment they belong to, and reports whether
// all of them answered. cluster is 0 if none of them holds a log.
func probeSeeds(ctx context.Context, cfg Config) (cluster uint64, allAnswered bool) {
	allAnswered = true
	for _, address := range cfg.Seeds() {
		if address == cfg.Address {
			continue
		}
		reply, err := probe(ctx, cfg, address)
		if err != nil {
			allAnswered = false
			continue
		}
		if reply.GetFounded() {
			cluster = reply.GetCluster()
		}
	}
	return cluster, allAnswered
}

// HasLeader reports whether a seed follows a leader of the deployment that the data directory
// belongs to, so that the deployment has a quorum without this VM. If the directory does not
// tell its deployment, any will do.
func HasLeader(ctx context.Context, cfg Config) bool {
	id, known, err := mpdisk.ReadIdentity(cfg.DataDir)
	for _, address := range Candidates(cfg.Address, cfg.Seeds(), mpquorum.Membership{}) {
		reply, probeErr := probe(ctx, cfg, address)
		if probeErr != nil || !reply.GetFounded() || reply.GetLeader() == "" || reply.GetLeader() == cfg.Address {
			continue
		}
		if err != nil || !known || reply.GetCluster() == id.Cluster {
			return true
		}
	}
	return false
}

func probe(ctx context.Context, cfg Config, address string) (*mpwire.ProbeReply, error) {
	peer, err := cfg.Client.Stub(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return peer.Probe(ctx, &mpwire.ProbeRequest{})
}

// Enroll asks the leader to make this member a voter, and repeats this until ctx ends. It
// continues once the member is a voter, since a member that was partitioned for long may
// have been replaced without being notified.
func Enroll(ctx context.Context, cfg Config, id mpdisk.Identity, replica *mpreplica.Replica) {
	e := enroller{
		cfg: cfg, replica: replica,
		request: &mpwire.EnrollRequest{Cluster: id.Cluster, Member: uint64(id.Member), Vm: cfg.VM, Address: cfg.Address},
	}
	e.succeededAt = time.Now()
	e.loggedAt = e.succeededAt
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if e.ask(ctx) {
			t.Reset(confirmInterval)
		} else {
			t.Reset(enrollInterval)
		}
	}
}

// enroller makes one member a voter.
type enroller struct {
	cfg     Config
	replica *mpreplica.Replica
	request *mpwire.EnrollRequest

	isVoter bool
	// named is the leader that the last VM asked has named, or "".
	named string
	// next is the position of the next VM to ask if no leader is known.
	next                  int
	succeededAt, loggedAt time.Time
}

// ask takes one step and reports whether the leader has confirmed that the member is a voter.
func (e *enroller) ask(ctx context.Context) bool {
	member := mpquorum.MemberInfo{Member: mpquorum.MemberID(e.request.GetMember()), VM: e.cfg.VM, Address: e.cfg.Address}
	done, err := e.replica.Enroll(member)
	target := e.cfg.Address
	if err != nil {
		if target = e.nextTarget(); target == "" {
			return false
		}
		done, err = requestEnroll(ctx, e.cfg, target, e.request)
		e.named = ""
		if err != nil {
			e.named = askForLeader(ctx, e.cfg, target)
		}
	}
	now := time.Now()
	if err != nil {
		if now.Sub(e.succeededAt) >= failureLogInterval && now.Sub(e.loggedAt) >= failureLogInterval {
			e.loggedAt = now
			_ = level.Warn(e.cfg.Logger).Log("msg", "no leader found to enroll with", "for", now.Sub(e.succeededAt), "peer", target, "err", err)
		}
		return false
	}
	e.succeededAt = now
	if done != e.isVoter {
		e.isVoter = done
		_ = level.Info(e.cfg.Logger).Log("msg", "member votes", "member", e.request.GetMember(), "votes", e.isVoter)
	}
	return done
}

// nextTarget returns the VM to ask: the leader that another one named, the one that this
// member follows, or one of those that may know it. Of the last two each gets every other
// turn, since a member that was removed may follow a leader that is gone.
func (e *enroller) nextTarget() string {
	if e.named != "" {
		return e.named
	}
	e.next++
	if leader := e.replica.LeaderInfo().Address; leader != "" && leader != e.cfg.Address && e.next%2 == 1 {
		return leader
	}
	addresses := Candidates(e.cfg.Address, e.cfg.Seeds(), e.replica.Status().Members)
	if len(addresses) == 0 {
		return ""
	}
	return addresses[e.next/2%len(addresses)]
}

// Candidates returns the addresses of VMs other than own that may know the leader: the seeds,
// and the members that this member's log names.
func Candidates(own string, seeds []string, members mpquorum.Membership) []string {
	var out []string
	add := func(address string) {
		if address != "" && address != own && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	for _, address := range seeds {
		add(address)
	}
	for _, m := range members.Seats {
		add(m.Address)
	}
	return out
}

// askForLeader returns the address of the leader that the voter at address follows, or "".
func askForLeader(ctx context.Context, cfg Config, address string) string {
	reply, err := probe(ctx, cfg, address)
	if err != nil || reply.GetLeader() == address || reply.GetLeader() == cfg.Address {
		return ""
	}
	return reply.GetLeader()
}

// requestEnroll sends the request to the voter at address. It returns an error if that
// voter is not the leader.
func requestEnroll(ctx context.Context, cfg Config, address string, req *mpwire.EnrollRequest) (bool, error) {
	peer, err := cfg.Client.Stub(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, enrollTimeout)
	defer cancel()
	reply, err := peer.Enroll(ctx, req)
	return reply.GetDone(), err
}
