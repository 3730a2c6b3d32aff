package mpdisk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
	"mustardpost.org/core/process/mpquorum"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

// TestTornLastRecord guards against voters that never start again after a loss of power: a
// last record of which sectors were lost, as power went before it was synced, was taken for
// corruption unless it lacked everything, or a whole 512 bytes of its payload.
func TestTornLastRecord(t *testing.T) {
	refused, logs := 0, 0
	for size := 1; size <= 6*sectorBytes; size += 61 {
		for seed := range uint64(20) {
			disk := newSimFiles(seed)
			s, _, err := open(disk, "dir")
			if err != nil {
				t.Fatal(err)
			}
			first := mpquorum.Entry{Index: 2, Term: 1, Data: []byte("acknowledged")}
			if err := s.Save(&mpquorum.HardState{Term: 1}, []mpquorum.Entry{first}); err != nil {
				t.Fatal(err)
			}
			data := slices.Repeat([]byte{0xa5}, size)
			disk.crashIn = 2 // After the write, in the sync.
			disk.run(func() { _ = s.Save(nil, []mpquorum.Entry{{Index: 3, Term: 1, Data: data}}) })
			disk.losePower()
			logs++
			_, got, err := open(disk, "dir")
			if err != nil {
				refused++
				continue
			}
			if diff := cmp.Diff(first, got.Entries[0]); diff != "" {
				t.Fatalf("acknowledged entry (-want +got):\n%s", diff)
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d logs whose last record was never acknowledged were refused", refused, logs)
	}
}

// TestUnsyncedStateAfterRestart guards against voters that forget what they acknowledged. A
// process that was killed before it had synced a record, or the directory with a new log,
// found them at its restart and acted on them; a loss of power then undid them, with all
// records that were synced to the new log since.
func TestUnsyncedStateAfterRestart(t *testing.T) {
	entry := mpquorum.Entry{Index: 2, Term: 1, Data: []byte("entry")}
	snap := mpquorum.Snapshot{Index: 2, Term: 1, Data: []byte("state")}
	for name, operation := range map[string]func(s *Store){
		"create": nil,
		"save":   func(s *Store) { _ = s.Save(&mpquorum.HardState{Term: 2}, []mpquorum.Entry{entry}) },
		"compact": func(s *Store) {
			if s.WriteSnapshot(snap) == nil {
				_ = s.Rotate(snap.Index, mpquorum.HardState{Term: 2}, nil)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				disk := newSimFiles(seed)
				crashIn := 1 + int(seed%12)
				if operation == nil {
					disk.crashIn = crashIn
					disk.run(func() { _, _, _ = open(disk, "dir") })
				} else {
					s, _, err := open(disk, "dir")
					if err != nil {
						t.Fatal(err)
					}
					disk.crashIn = crashIn
					disk.run(func() { operation(s) })
				}
				disk.crashIn = 0
				s, before, err := open(disk, "dir")
				if err != nil {
					t.Fatalf("seed %d: open after the process was killed: %v", seed, err)
				}
				added := mpquorum.Entry{Index: 3, Term: 3, Data: []byte("acknowledged")}
				if seed%2 == 0 {
					if err := s.Save(&mpquorum.HardState{Term: 3}, []mpquorum.Entry{added}); err != nil {
						t.Fatal(err)
					}
					before.HardState = mpquorum.HardState{Term: 3}
					before.Entries = append(before.Entries, added)
				}
				disk.losePower()
				_, after, err := open(disk, "dir")
				if err != nil {
					t.Fatalf("seed %d: open after the loss of power: %v", seed, err)
				}
				after.TruncatedBytes, before.TruncatedBytes = 0, 0
				if diff := cmp.Diff(before, after); diff != "" {
					t.Fatalf("seed %d: state before the loss of power and after it (-want +got):\n%s", seed, diff)
				}
			}
		})
	}
}

// TestSaveAfterFailedSave guards against logs that are corrupt after a disk was full: a record
// that followed a part of one that did not fit made that part look like a damaged record.
func TestSaveAfterFailedSave(t *testing.T) {
	for seed := range uint64(50) {
		disk := newSimFiles(seed)
		s, _, err := open(disk, "dir")
		if err != nil {
			t.Fatal(err)
		}
		disk.full = true
		if err := s.Save(&mpquorum.HardState{Term: 1}, nil); !errors.Is(err, errNoSpace) {
			t.Fatalf("Save on a full disk = %v, want %v", err, errNoSpace)
		}
		disk.full = false
		if err := s.Save(&mpquorum.HardState{Term: 2}, nil); !errors.Is(err, errNoSpace) {
			t.Errorf("Save after one that failed = %v, want %v", err, errNoSpace)
		}
		if _, _, err := open(disk, "dir"); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestSetAside guards against a directory that is neither set aside nor usable after a loss of
// power in between: with its identity left, the voter would go on as the same member without
// what it has acknowledged.
func TestSetAside(t *testing.T) {
	for seed := range uint64(200) {
		disk := newSimFiles(seed)
		s, _, err := open(disk, "dir")
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(
			writeFileAtomic(disk, filepath.Join("dir", identityFile), newFrame([]byte("{}"))),
			s.WriteSnapshot(mpquorum.Snapshot{Index: 3, Term: 1}), s.Rotate(3, mpquorum.HardState{Term: 1}, nil),
		); err != nil {
			t.Fatal(err)
		}
		disk.crashIn = int(seed % 8)
		disk.run(func() { _ = setAside(disk, "dir") })
		disk.crashIn = 0
		disk.losePower()
		_, hasIdentity := disk.names[filepath.Join("dir", identityFile)]
		_, l, err := open(disk, "dir")
		if err != nil {
			t.Fatal(err)
		}
		if hasIdentity && l.Snapshot.Index != 3 {
			t.Errorf("seed %d: the identity is left without the snapshot", seed)
		}
		if err := setAside(disk, "dir"); err != nil {
			t.Fatal(err)
		}
		if _, l, err = open(disk, "dir"); err != nil || l.Snapshot.Index != 0 || l.HardState.Term != 0 {
			t.Errorf("seed %d: after it was set aside: %+v, %v", seed, l, err)
		}
	}
}

// diskState is what a voter has saved, or has recovered and acts on.
type diskState struct {
	Hard    mpquorum.HardState
	Snap    uint64
	Entries []mpquorum.Entry
}

// append returns the state after Save.
func (s diskState) append(hard *mpquorum.HardState, entries []mpquorum.Entry) diskState {
	if hard != nil {
		s.Hard = *hard
	}
	for _, e := range entries {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(old mpquorum.Entry) bool { return old.Index >= e.Index })
		s.Entries = append(s.Entries, e)
	}
	return s
}

// after returns the state without the entries that the snapshot at index covers.
func (s diskState) after(index uint64) diskState {
	s.Snap = max(s.Snap, index)
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e mpquorum.Entry) bool { return e.Index <= s.Snap })
	return s
}

func (s diskState) last() uint64 {
	if len(s.Entries) == 0 {
		return s.Snap
	}
	return s.Entries[len(s.Entries)-1].Index
}

func (s diskState) equal(o diskState) bool {
	return s.Hard == o.Hard && s.Snap == o.Snap && slices.EqualFunc(s.Entries, o.Entries, func(a, b mpquorum.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && bytes.Equal(a.Data, b.Data)
	})
}

// TestCrashes guards against voters that forget what they acknowledged, or cannot start again:
// a process that was killed between a write and its sync, or between a rename and the sync of
// the directory, continued from what it read, which a later loss of power undid. It saves,
// compacts and opens a data directory at random, and kills the process or fills the disk at
// any operation, or lets the disk lose power.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newSimFiles(uint64(rapid.IntRange(0, 1<<30).Draw(t, "rand")))
		// The disk must hold one of these states: the last one acknowledged, and those that
		// the operation under way leads to.
		allowed := []diskState{{}}
		var s *Store
		reopen := func() {
			if disk.run(func() {
				opened, l, err := open(disk, "dir")
				if err != nil {
					if disk.full {
						return
					}
					t.Fatalf("open: %v", err)
				}
				got := diskState{l.HardState, 0, l.Entries}.after(l.Snapshot.Index)
				if !slices.ContainsFunc(allowed, got.equal) {
					t.Fatalf("recovered %+v, want one of %+v", got, allowed)
				}
				s, allowed = opened, []diskState{got}
			}) {
				s = nil
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			disk.crashIn = rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9}).Draw(t, "crash")
			if s == nil {
				reopen()
				disk.crashIn = 0
				continue
			}
			state := allowed[0]
			var err error
			killed := false
			switch rapid.SampledFrom([]string{"save", "save", "save", "compact", "power", "restart", "full"}).Draw(t, "step") {
			case "save":
				hard := &mpquorum.HardState{Term: state.Hard.Term + 1, Vote: 7}
				first := state.last() + 1
				if n := uint64(len(state.Entries)); n > 0 {
					first -= uint64(rapid.IntRange(0, int(min(n, 2))).Draw(t, "overwritten"))
				}
				var entries []mpquorum.Entry
				for i := range uint64(rapid.IntRange(0, 3).Draw(t, "entries")) {
					size := rapid.IntRange(0, 4*sectorBytes).Draw(t, "size")
					entries = append(entries, mpquorum.Entry{Index: first + i, Term: hard.Term, Data: slices.Repeat([]byte{0x5a}, size)})
				}
				next := state.append(hard, entries)
				allowed = append(allowed, next)
				killed = disk.run(func() {
					if err = s.Save(hard, entries); err == nil {
						allowed = []diskState{next}
					}
				})
			case "compact":
				index := state.last()
				if index == 0 {
					continue
				}
				next := state.after(index)
				allowed = append(allowed, next)
				killed = disk.run(func() {
					if err = s.WriteSnapshot(mpquorum.Snapshot{Index: index, Data: make([]byte, 700)}); err != nil {
						return
					}
					if err = s.Rotate(index, state.Hard, nil); err == nil {
						allowed = []diskState{next}
					}
				})
			case "power":
				disk.crashIn = 0
				disk.losePower()
				s = nil
				reopen()
				continue
			case "restart":
				killed = true
			case "full":
				disk.full = !disk.full
				continue
			}
			if killed || err != nil {
				disk.crashIn = 0
				s = nil
				if rapid.Bool().Draw(t, "power lost") {
					disk.losePower()
				}
			}
		}
		disk.full, disk.crashIn = false, 0
		disk.losePower()
		s = nil
		reopen()
		if s == nil {
			t.Fatal("the data directory cannot be opened at the end")
		}
	})
}
