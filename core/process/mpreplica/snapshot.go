package mpreplica

import (
	"mustardpost.org/core/common/mperror"
)

// compact starts a snapshot when the log file has grown large. Encoding and
// writing it happen beside the loop; finishCompact then switches the log.
func (r *Replica) compact() {
	if r.snapping || r.cfg.Store.LogSize() < r.cfg.SnapshotThreshold {
		return
	}
	r.snapping = true
	snap := r.node.SnapshotMetadata()
	encode := r.cfg.StateMachine.Snapshot()
	go func() {
		data, err := encode()
		if err == nil {
			snap.Data = data
			err = r.cfg.Store.WriteSnapshot(snap)
		}
		select {
		case r.snapped <- written{snap, err}:
		case <-r.stopped:
		}
	}()
}

func (r *Replica) finishCompact(w written) error {
	r.snapping = false
	if w.err != nil {
		return mperror.Wrap(w.err, "write snapshot %d", w.snap.Index)
	}
	if w.snap.Index < r.node.CompactedIndex() {
		return nil
	}
	if err := r.cfg.Store.Rotate(w.snap.Index, r.hard, r.node.EntriesAfter(w.snap.Index)); err != nil {
		return err
	}
	keep := w.snap.Index - min(w.snap.Index, keepEntries)
	r.node.Compact(w.snap, keep)
	return nil
}
