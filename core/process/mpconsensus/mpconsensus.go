// Package mpconsensus runs a voter, the part of a process that holds the replicated
// state, and serves the calls that other VMs make to it. The protocol is in mpquorum.
package mpconsensus

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpplatform"
	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
	"mustardpost.org/core/process/mpvoter"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpstate"
)

const heartbeatDivisor = 4

// Config holds the dependencies and settings of a Voter.
type Config struct {
	Voter mpvoter.Config
	// SnapshotThreshold is the size of the log file, in bytes, that triggers a snapshot.
	SnapshotThreshold int
	// ElectionTimeout is how long a leader may be silent before an election starts.
	ElectionTimeout time.Duration
	// LeaseDuration is the duration of the leases granted to VMs.
	LeaseDuration time.Duration
	// MinVoters is the number of voters required to accept changes.
	MinVoters int
	// Platform reads the platform's list of VMs; nil if there is none.
	Platform *mpplatform.Client
	// Upstreams reads the platform's list of upstreams; nil if there is none.
	Upstreams mplead.UpstreamLister
	// Rollouts bounds what a bad version may cost. The zero value turns roll-outs off.
	Rollouts mprollout.Settings
	// Metrics receives the counts of roll-outs; nil drops them.
	Metrics *mpmetric.Set
}

// Voter is this process's member of the replicated log, with the state it holds.
type Voter struct {
	id      mpdisk.Identity
	replica *mpreplica.Replica
	machine *mpstate.Machine
	leader  *mplead.Leader
	store   *mpdisk.Store
}

// Replica returns the member of the replicated log.
func (v *Voter) Replica() *mpreplica.Replica { return v.replica }

// StateMachine returns the replicated state.
func (v *Voter) StateMachine() *mpstate.Machine { return v.machine }

// Leader returns the operations that this voter serves while it leads.
func (v *Voter) Leader() *mplead.Leader { return v.leader }

// Start opens the data directory and starts a voter, whose background tasks run until ctx
// ends. Start may wait for other voters until leave ends. An error that stops the voter
// later is sent to failed.
func Start(ctx, leave context.Context, cfg Config, failed chan<- error) (*Voter, error) {
	id, err := mpvoter.Open(leave, cfg.Voter)
	if err != nil {
		return nil, err
	}
	store, recovered, err := mpdisk.Open(cfg.Voter.DataDir)
	if err != nil {
		return nil, err
	}
	if recovered.TruncatedBytes > 0 {
		level.Warn(cfg.Voter.Logger).Log("msg", "truncated incomplete record at end of log", "bytes", recovered.TruncatedBytes)
	}
	v := &Voter{id: id, machine: mpstate.New(), store: store}
	var leader atomic.Pointer[mplead.Leader]
	v.replica, err = mpreplica.New(mpreplica.Config{
		Self:              id.Member,
		Address:           cfg.Voter.Address,
		Store:             store,
		Recovered:         recovered,
		StateMachine:      v.machine,
		Sender:            mppeer.NewSender(ctx, cfg.Voter.Client, func(replies []mpquorum.Envelope) { v.replica.Deliver(replies) }),
		Logger:            cfg.Voter.Logger,
		SnapshotThreshold: int64(cfg.SnapshotThreshold),
		Quorum: mpquorum.Config{
			ElectionTimeout:   cfg.ElectionTimeout,
			HeartbeatInterval: cfg.ElectionTimeout / heartbeatDivisor,
			Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Now:               time.Now(),
		},
		OnLeadershipChange: func(now time.Time, leading bool) {
			if l := leader.Load(); l != nil {
				l.OnLeadershipChange(now, leading)
			}
		},
	})
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	v.leader = mplead.New(mplead.Config{
		Replica:       v.replica,
		StateMachine:  v.machine,
		Logger:        cfg.Voter.Logger,
		LeaseDuration: cfg.LeaseDuration,
		MinVoters:     cfg.MinVoters,
		Platform:      cfg.Platform,
		Upstreams:     cfg.Upstreams,
		Rollouts:      cfg.Rollouts,
		Metrics:       cfg.Metrics,
	})
	leader.Store(v.leader)
	go func() {
		if err := v.replica.Run(); err != nil {
			failed <- err
		}
	}()
	go mpvoter.Enroll(ctx, cfg.Voter, id, v.replica)
	go v.leader.Run(ctx)
	return v, nil
}

// Stop stops the replica and closes the data directory.
func (v *Voter) Stop() {
	v.replica.Stop()
	_ = v.store.Close()
}
