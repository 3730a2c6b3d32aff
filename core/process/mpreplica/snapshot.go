package mpreplica

import (
	"mustardpost.org/core/common/mperror"
)

// compact starts a snapshot when the log file has reached SnapshotThreshold. A separate
// goroutine encodes and writes the snapshot; finishCompact then rotates the log.
func (r *Replica) compact() {
	if r.isSnapshotting || r.cfg.Store.LogSize() < r.cfg.SnapshotThreshold {
		return
	}
	r.isSnapshotting = true
	snap := r.node.SnapshotMetadata()
	encode := r.cfg.StateMachine.Snapshot()
	go func() {
		data, err := encode()
		if err == nil {
			snap.Data = data
			err = r.cfg.Store.WriteSnapshot(snap)
		}
		select {
		case r.snapshotDone <- snapshotResult{snap, err}:
		case <-r.stopped:
		}
	}()
}

func (r *Replica) finishCompact(w snapshotResult) error {
	r.isSnapshotting = false
	if w.err != nil {
		return mperror.Wrap(w.err, "write snapshot at index %d", w.snap.Index)
	}
	if w.snap.Index < r.node.CompactedIndex() {
		return nil
	}
	if err := r.cfg.Store.Rotate(w.snap.Index, r.hardState, r.node.EntriesAfter(w.snap.Index)); err != nil {
		return err
	}
	compactIndex := w.snap.Index - min(w.snap.Index, retainedEntries)
	r.node.Compact(w.snap, compactIndex)
	return nil
}
