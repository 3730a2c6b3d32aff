// Package mpvoter brings up a voter: it founds a new deployment, resumes from
// its data folder, or joins as a new member after its disk was lost.
//
// Founding is the one step without a quorum. Only the VM that the settings name
// founds, only when it can reach every other seed, and only when none of them
// holds a log. It founds a deployment of itself alone; the others join it. So a
// voter with a lost disk cannot found a second deployment beside the first.
package mpvoter

import (
	"context"
	"math/rand/v2"
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
	probeWithin  = time.Second
	probeEvery   = 100 * time.Millisecond
	enrollEvery  = 100 * time.Millisecond
	enrollWithin = 2 * time.Second
	// confirmEvery is how often a voter makes sure that it still is one.
	confirmEvery = 3 * time.Second
)

// Config holds what a voter needs to start.
type Config struct {
	// VM is this VM's name, Address its peer address, Data its data folder.
	VM      string
	Address string
	Data    string
	// Seeds returns the peer addresses of VMs that may hold the log.
	Seeds func() []string
	// Founds tells that this VM founds a deployment where there is none.
	Founds func() bool
	Client *mppeer.Client
	Logger log.Logger
}

// Open returns the identity of the data folder. Where it has none, Open first
// founds the deployment or learns which one to join; that may take until ctx ends.
func Open(ctx context.Context, cfg Config) (mpdisk.Identity, error) {
	dir := cfg.Data
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
		if err := found(dir, id, cfg); err != nil {
			return id, err
		}
	}
	_ = level.Info(cfg.Logger).Log("msg", "new member", "cluster", id.Cluster, "member", uint64(id.Member), "founds", cluster == 0)
	return id, mpdisk.WriteIdentity(dir, id)
}

func found(dir string, id mpdisk.Identity, cfg Config) error {
	store, _, err := mpdisk.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	seat := mpquorum.MemberInfo{Member: id.Member, VM: cfg.VM, Address: cfg.Address}
	if err := store.WriteSnapshot(mpquorum.BootstrapSnapshot(seat, nil)); err != nil {
		return err
	}
	return store.Save(&mpquorum.HardState{Term: 1}, nil)
}

// discover returns the deployment to join, or 0 to found one.
func discover(ctx context.Context, cfg Config) (uint64, error) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		cluster, all := probe(ctx, cfg)
		if cluster != 0 || all && cfg.Founds() {
			return cluster, nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return 0, mperror.Wrap(ctx.Err(), "look for other voters")
		}
	}
}

// probe asks the other voters for their deployment and reports whether all of
// them answered.
func probe(ctx context.Context, cfg Config) (cluster uint64, all bool) {
	all = true
	for _, address := range cfg.Seeds() {
		if address == cfg.Address {
			continue
		}
		reply, err := probeOne(ctx, cfg, address)
		if err != nil {
			all = false
			continue
		}
		if reply.GetFounded() {
			cluster = reply.GetCluster()
		}
	}
	return cluster, all
}

func probeOne(ctx context.Context, cfg Config, address string) (*mpwire.ProbeReply, error) {
	peer, err := cfg.Client.Stub(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, probeWithin)
	defer cancel()
	return peer.Probe(ctx, &mpwire.ProbeRequest{})
}

// Enroll asks the leader, until ctx ends, to let this member vote. It goes on
// when that has happened, since a member that was cut off for long may have been
// replaced meanwhile, and is not told.
func Enroll(ctx context.Context, cfg Config, id mpdisk.Identity, replica *mpreplica.Replica) {
	req := &mpwire.EnrollRequest{
		Cluster: id.Cluster,
		Member:  uint64(id.Member),
		Vm:      cfg.VM,
		Address: cfg.Address,
	}
	seat := mpquorum.MemberInfo{Member: id.Member, VM: req.GetVm(), Address: req.GetAddress()}
	votes := false
	t := time.NewTimer(enrollEvery)
	defer t.Stop()
	for next := 0; ; next++ {
		seeds := cfg.Seeds()
		target := replica.Leader().Address
		if target == "" || next%2 == 1 {
			target = seeds[next/2%len(seeds)]
		}
		done, err := replica.Enroll(seat)
		if err != nil {
			done, err = enrollAt(ctx, cfg, target, req)
		}
		// Only the leader knows; what others answer changes nothing.
		if err == nil && done != votes {
			votes = done
			_ = level.Info(cfg.Logger).Log("msg", "member votes", "member", req.GetMember(), "votes", votes)
		}
		wait := enrollEvery
		if votes && err == nil {
			wait = confirmEvery
		}
		t.Reset(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// enrollAt asks the voter at address. It returns an error unless that leads.
func enrollAt(ctx context.Context, cfg Config, address string, req *mpwire.EnrollRequest) (bool, error) {
	if address == cfg.Address {
		return false, mperror.ErrNotLeader
	}
	peer, err := cfg.Client.Stub(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, enrollWithin)
	defer cancel()
	reply, err := peer.Enroll(ctx, req)
	return reply.GetDone(), err
}
