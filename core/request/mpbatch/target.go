package mpbatch

import (
	"time"

	"mustardpost.org/core/request/mpversion"
)

// turn says which upstreams get calls at a moment, by the version of their software.
type turn struct {
	at    time.Time
	split *mpversion.Split
	mode  mpversion.Mode
	// targetUsable is set if an upstream of the target is not in backoff.
	targetUsable bool
}

// turnAt returns which upstreams get calls at now.
func (b *Batcher) turnAt(now time.Time) turn {
	t := turn{at: now}
	if b.cfg.Split == nil {
		return t
	}
	if t.split = b.cfg.Split(); t.split == nil {
		return t
	}
	t.mode = t.split.Mode(now)
	for _, s := range b.upstreams {
		if s.listed && t.isTarget(s) && !now.Before(s.backoffUntil) {
			t.targetUsable = true
		}
	}
	return t
}

func (t turn) isTarget(s *upstreamState) bool {
	return t.split != nil && t.split.IsTarget(s.upstream.Version)
}

// includes reports whether s gets calls other than those of the target's share.
func (t turn) includes(s *upstreamState) bool {
	switch {
	case t.split == nil:
		return true
	case !t.split.Admits(t.at, s.upstream.Version):
		return false
	}
	switch t.mode {
	case mpversion.OldOnly, mpversion.Shared:
		return !t.isTarget(s)
	case mpversion.TargetFirst:
		return t.isTarget(s) || !t.targetUsable
	case mpversion.Settled:
	}
	return true
}

// placeAtTarget adds pieces of j to a new call to an upstream of the target, if its share allows a
// call with all of them that fit into one. Pieces that a former call to the target contained go to
// the old versions, and so do those that would be made far from their readers.
func (b *Batcher) placeAtTarget(now time.Time, j *Job, open *[]*activeCall) {
	if b.turn.mode != mpversion.Shared || !b.turn.targetUsable {
		return
	}
	s := b.idleTarget(now, j)
	if s == nil || j.spec.CrossDCBytes >= largeTransferBytes && s.upstream.DC != j.preferredDC() {
		return
	}
	var numbers []int
	for i, p := range j.pieces {
		isNew := p.state == waiting && !p.triedTarget
		if isNew && len(numbers) < b.cfg.Spec.MaxPieces && b.hasMemoryFor(now, s, j, len(numbers)+1) {
			numbers = append(numbers, i)
		}
	}
	if len(numbers) == 0 || !b.turn.split.Take(len(numbers)) {
		return
	}
	c := b.openCall(now, s, open)
	c.takenFrom = b.turn.split
	for _, i := range numbers {
		b.addItem(c, j, i)
	}
}

// idleTarget returns the upstream of the target that a new call with pieces of j would go to, or nil.
func (b *Batcher) idleTarget(now time.Time, j *Job) *upstreamState {
	var idle *upstreamState
	for _, s := range b.upstreams {
		if b.turn.isTarget(s) && s.isIdle(now) && b.hasMemory(now, s, j) && (idle == nil || b.isPreferred(now, s, idle, j)) {
			idle = s
		}
	}
	return idle
}
