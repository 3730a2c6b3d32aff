package mpreplica

import (
	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mpquorum"
)

// Store makes the state of a member durable. After an error it must not be used again, since
// it may hold a part of what was written.
type Store interface {
	Save(hard *mpquorum.HardState, entries []mpquorum.Entry) error
	WriteSnapshot(snap mpquorum.Snapshot) error
	Rotate(index uint64, hard mpquorum.HardState, entries []mpquorum.Entry) error
	LogSize() int64
}

var _ Store = (*mpdisk.Store)(nil)

func (r *Replica) persist(acts mpquorum.Actions) error {
	if acts.HardState != nil {
		r.hardState = *acts.HardState
	}
	if acts.Snapshot != nil {
		if err := r.cfg.Store.WriteSnapshot(*acts.Snapshot); err != nil {
			return err
		}
		return r.cfg.Store.Rotate(acts.Snapshot.Index, r.hardState, acts.Entries)
	}
	return r.cfg.Store.Save(acts.HardState, acts.Entries)
}
