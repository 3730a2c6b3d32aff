// Package mpseat runs the part of a process that holds replicated state, and
// answers the calls that other VMs make to it.
package mpseat

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpplatform"
	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mplead"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
	"mustardpost.org/core/process/mpvoter"
	"mustardpost.org/core/version/mpstate"
)

const heartbeatPart = 4

// Config holds what a Seat needs from outside.
type Config struct {
	Voter mpvoter.Config
	// SnapshotThreshold is the length of the log file, in bytes, that starts a snapshot.
	SnapshotThreshold int
	// ElectionTimeout is the timeout after which a silent leader is replaced.
	ElectionTimeout time.Duration
	// LeaseDuration is the span of the leases granted to VMs.
	LeaseDuration time.Duration
	// MinVoters is the number of voters without which no change is accepted.
	MinVoters int
	// Platform is the platform's list of VMs; nil where there is none.
	Platform *mpplatform.Client
	// Upstreams reads the platform's list of upstreams; nil where there is none.
	Upstreams mplead.UpstreamLister
}

// Voter is this process's part in the replicated state.
type Voter struct {
	id      mpdisk.Identity
	replica *mpreplica.Replica
	machine *mpstate.Machine
	lead    *mplead.Leader
	store   *mpdisk.Store
}

// Replica returns the member of the replicated log.
func (s *Voter) Replica() *mpreplica.Replica { return s.replica }

// Machine returns the replicated state.
func (s *Voter) Machine() *mpstate.Machine { return s.machine }

// Leader returns the duties of the leader.
func (s *Voter) Leader() *mplead.Leader { return s.lead }

// Start opens the data folder and runs the seat until ctx ends. It may wait
// for other voters until leave ends. What stops the seat later is sent to failed.
func Start(ctx, leave context.Context, cfg Config, failed chan<- error) (*Voter, error) {
	id, err := mpvoter.Open(leave, cfg.Voter)
	if err != nil {
		return nil, err
	}
	store, loaded, err := mpdisk.Open(cfg.Voter.DataDir)
	if err != nil {
		return nil, err
	}
	if loaded.TruncatedBytes > 0 {
		level.Warn(cfg.Voter.Logger).Log("msg", "torn tail of the log cut", "bytes", loaded.TruncatedBytes)
	}
	s := &Voter{id: id, machine: mpstate.New(), store: store}
	var lead atomic.Pointer[mplead.Leader]
	s.replica, err = mpreplica.New(mpreplica.Config{
		Self:              id.Member,
		Address:           cfg.Voter.Address,
		Store:             store,
		Recovered:         loaded,
		StateMachine:      s.machine,
		Sender:            mppeer.NewSender(ctx, cfg.Voter.Client, func(replies []mpquorum.Envelope) { s.replica.Deliver(replies) }),
		Logger:            cfg.Voter.Logger,
		SnapshotThreshold: int64(cfg.SnapshotThreshold),
		Quorum: mpquorum.Config{
			ElectionTimeout:   cfg.ElectionTimeout,
			HeartbeatInterval: cfg.ElectionTimeout / heartbeatPart,
			Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Now:               time.Now(),
		},
		OnLeadershipChange: func(now time.Time, leading bool) {
			if l := lead.Load(); l != nil {
				l.OnLeadershipChange(now, leading)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	s.lead = mplead.New(mplead.Config{
		Replica:       s.replica,
		Machine:       s.machine,
		Logger:        cfg.Voter.Logger,
		LeaseDuration: cfg.LeaseDuration,
		MinVoters:     cfg.MinVoters,
		Platform:      cfg.Platform,
		Upstreams:     cfg.Upstreams,
	})
	lead.Store(s.lead)
	go func() {
		if err := s.replica.Run(); err != nil {
			failed <- err
		}
	}()
	go mpvoter.Enroll(ctx, cfg.Voter, id, s.replica)
	go s.lead.Run(ctx)
	return s, nil
}

// Stop ends the replica and releases the data folder.
func (s *Voter) Stop() {
	s.replica.Stop()
	_ = s.store.Close()
}
