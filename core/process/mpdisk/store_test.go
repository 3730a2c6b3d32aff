package mpdisk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpquorum"
)

const sectorBytes = 512

func entry(index, term uint64, data string) mpquorum.Entry {
	return mpquorum.Entry{Index: index, Term: term, Data: []byte(data)}
}

// writeLog saves three batches and returns the log's path and its size after each.
func writeLog(t *testing.T, dir string) (string, []int64) {
	t.Helper()
	s, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	sizes := []int64{}
	for i, e := range []mpquorum.Entry{entry(2, 1, "one"), entry(3, 1, "two"), entry(4, 2, "three")} {
		if err := s.Save(&mpquorum.HardState{Term: uint64(i + 1)}, []mpquorum.Entry{e}); err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, s.LogSize())
	}
	name := s.path
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return name, sizes
}

func mustOpen(t *testing.T, dir string) RecoveredState {
	t.Helper()
	s, l, err := Open(dir)
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return l
}

func checkEntries(t *testing.T, l RecoveredState, want ...mpquorum.Entry) {
	t.Helper()
	if diff := cmp.Diff(want, l.Entries); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
}

func editFile(t *testing.T, file string, change func([]byte) []byte) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, change(data), fileMode); err != nil {
		t.Fatal(err)
	}
}

func TestOpen(t *testing.T) {
	t.Run("a torn frame of any length is truncated", func(t *testing.T) {
		dir := t.TempDir()
		file, sizes := writeLog(t, dir)
		full, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for size := sizes[1]; size < sizes[2]; size++ {
			editFile(t, file, func([]byte) []byte { return full[:size] })
			l := mustOpen(t, dir)
			checkEntries(t, l, entry(2, 1, "one"), entry(3, 1, "two"))
			if int64(l.TruncatedBytes) != size-sizes[1] {
				t.Errorf("truncated %d bytes of a torn frame of %d", l.TruncatedBytes, size-sizes[1])
			}
		}
	})
	t.Run("entries can be appended after truncation", func(t *testing.T) {
		dir := t.TempDir()
		file, sizes := writeLog(t, dir)
		editFile(t, file, func(data []byte) []byte { return data[:sizes[1]+5] })
		s, _, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Save(nil, []mpquorum.Entry{entry(4, 3, "again")}); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
		checkEntries(t, mustOpen(t, dir), entry(2, 1, "one"), entry(3, 1, "two"), entry(4, 3, "again"))
	})
	t.Run("a frame with an unwritten sector is torn", func(t *testing.T) {
		dir := t.TempDir()
		s, _, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		large := entry(2, 1, string(make([]byte, 4*sectorBytes)))
		for i := range large.Data {
			large.Data[i] = 'x'
		}
		if err := s.Save(nil, []mpquorum.Entry{large}); err != nil {
			t.Fatal(err)
		}
		file := s.path
		_ = s.Close()
		editFile(t, file, func(data []byte) []byte {
			clear(data[len(data)-3*sectorBytes:])
			return data
		})
		checkEntries(t, mustOpen(t, dir))
	})
	t.Run("any changed byte before the last frame is corruption", func(t *testing.T) {
		dir := t.TempDir()
		file, sizes := writeLog(t, dir)
		for offset := range sizes[1] {
			flip := func(data []byte) []byte {
				data[offset] ^= 0x40
				return data
			}
			editFile(t, file, flip)
			s, l, err := Open(dir)
			// Without the header checksum, a changed length that reached past the end
			// of the file would pass for a torn frame.
			if err == nil {
				_ = s.Close()
				t.Fatalf("byte %d changed: opened with %d entries", offset, len(l.Entries))
			}
			if !errors.Is(err, mperror.ErrCorrupt) {
				t.Fatalf("byte %d changed: %v, want ErrCorrupt", offset, err)
			}
			editFile(t, file, flip)
		}
	})
	t.Run("any changed byte in the first frame of a compacted log is corruption", func(t *testing.T) {
		dir := t.TempDir()
		s, _, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Rotate(1, mpquorum.HardState{Term: 3}, []mpquorum.Entry{entry(2, 1, "one")}); err != nil {
			t.Fatal(err)
		}
		file, size := s.path, s.LogSize()
		_ = s.Close()
		for offset := range size {
			flip := func(data []byte) []byte {
				data[offset] ^= 0x40
				return data
			}
			editFile(t, file, flip)
			if _, _, err := Open(dir); !errors.Is(err, mperror.ErrCorrupt) {
				t.Fatalf("byte %d changed: %v, want ErrCorrupt", offset, err)
			}
			editFile(t, file, flip)
		}
	})
	t.Run("a changed snapshot is corruption", func(t *testing.T) {
		dir := t.TempDir()
		s, _, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.Close() }()
		if err := s.WriteSnapshot(mpquorum.Snapshot{Index: 9, Data: []byte("state")}); err != nil {
			t.Fatal(err)
		}
		editFile(t, s.snapPath(9), func(data []byte) []byte {
			data[len(data)-1] ^= 1
			return data
		})
		if _, _, err := Open(dir); !errors.Is(err, mperror.ErrCorrupt) {
			t.Errorf("Open = %v, want ErrCorrupt", err)
		}
	})
}

func TestOverwrittenEntries(t *testing.T) {
	dir := t.TempDir()
	writeLog(t, dir)
	s, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Save(nil, []mpquorum.Entry{entry(3, 4, "other")}); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	checkEntries(t, mustOpen(t, dir), entry(2, 1, "one"), entry(3, 4, "other"))
}

// TestInterruptedCompaction stops a compaction during and after each file that it
// writes and checks that all saved state can still be read.
func TestInterruptedCompaction(t *testing.T) {
	snap := mpquorum.Snapshot{Index: 3, Term: 1, Data: []byte("state")}
	hard := mpquorum.HardState{Term: 3}
	tail := []mpquorum.Entry{entry(4, 2, "three")}
	prepare := func(t *testing.T) (*Store, string) {
		dir := t.TempDir()
		writeLog(t, dir)
		s, _, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		return s, dir
	}
	check := func(t *testing.T, dir string, wantSnap uint64) {
		t.Helper()
		l := mustOpen(t, dir)
		if l.HardState != hard || l.Snapshot.Index != wantSnap {
			t.Errorf("hard state %v and snapshot %d, want %v and %d", l.HardState, l.Snapshot.Index, hard, wantSnap)
		}
		if diff := cmp.Diff(tail, l.Entries[len(l.Entries)-1:]); diff != "" {
			t.Errorf("last entry (-want +got):\n%s", diff)
		}
	}
	t.Run("while writing the snapshot", func(t *testing.T) {
		_, dir := prepare(t)
		part := filepath.Join(dir, "snap-00000000000000000003"+tempSuffix)
		if err := os.WriteFile(part, []byte("half"), fileMode); err != nil {
			t.Fatal(err)
		}
		check(t, dir, 0)
	})
	t.Run("after writing the snapshot", func(t *testing.T) {
		s, dir := prepare(t)
		if err := s.WriteSnapshot(snap); err != nil {
			t.Fatal(err)
		}
		check(t, dir, 3)
	})
	t.Run("while writing the new log", func(t *testing.T) {
		s, dir := prepare(t)
		if err := s.WriteSnapshot(snap); err != nil {
			t.Fatal(err)
		}
		part := filepath.Join(dir, "log-00000000000000000002"+tempSuffix)
		if err := os.WriteFile(part, []byte("half"), fileMode); err != nil {
			t.Fatal(err)
		}
		check(t, dir, 3)
	})
	t.Run("before removing old files", func(t *testing.T) {
		s, dir := prepare(t)
		if err := s.WriteSnapshot(snap); err != nil {
			t.Fatal(err)
		}
		frame, err := encodeFrame(batch{HardState: &hard, Entries: tail})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.openNewLog(s.seq+1, frame); err != nil {
			t.Fatal(err)
		}
		check(t, dir, 3)
	})
	t.Run("completed", func(t *testing.T) {
		s, dir := prepare(t)
		if err := s.WriteSnapshot(snap); err != nil {
			t.Fatal(err)
		}
		if err := s.Rotate(3, hard, tail); err != nil {
			t.Fatal(err)
		}
		check(t, dir, 3)
	})
}

// TestOlderLogBesideSnapshot guards against committed entries that are lost after a loss of
// power between the writing of a received snapshot and that of the log after it. The older log
// may hold entries that the snapshot replaced; kept, they made this member vote for a
// candidate that lacked what this member had acknowledged since.
func TestOlderLogBesideSnapshot(t *testing.T) {
	older := []mpquorum.Entry{entry(3, 2, "c"), entry(4, 2, "d"), entry(5, 2, "e"), entry(6, 2, "f")}
	for name, c := range map[string]struct {
		snapshot mpquorum.Snapshot
		want     []mpquorum.Entry
	}{
		"the log ends before the snapshot":           {mpquorum.Snapshot{Index: 9, Term: 4}, older},
		"the log has another entry at the snapshot":  {mpquorum.Snapshot{Index: 4, Term: 4}, nil},
		"the log has the same entry at the snapshot": {mpquorum.Snapshot{Index: 4, Term: 2}, older},
		"the log begins after the snapshot":          {mpquorum.Snapshot{Index: 2, Term: 1}, older},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _, err := Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(s.Save(&mpquorum.HardState{Term: 3}, older), s.WriteSnapshot(c.snapshot), s.Close()); err != nil {
				t.Fatal(err)
			}
			s, l, err := Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			checkEntries(t, l, c.want...)
			if l.HardState.Term != 3 {
				t.Errorf("term %d, want 3", l.HardState.Term)
			}
			// What follows the snapshot must not be dropped with the older entries later.
			last := entry(c.snapshot.Index+1, 4, "acknowledged")
			if err := errors.Join(s.Save(nil, []mpquorum.Entry{last}), s.Close()); err != nil {
				t.Fatal(err)
			}
			l = mustOpen(t, dir)
			checkEntries(t, RecoveredState{Entries: l.Entries[len(l.Entries)-1:]}, last)
		})
	}
}

// TestRotateDuringSnapshot guards against voters that step aside for no reason: the log was
// rotated for a received snapshot while a compaction was writing its own, whose unfinished file
// was removed, so that the compaction failed like a disk.
func TestRotateDuringSnapshot(t *testing.T) {
	disk := newSimFiles(1)
	s, _, err := open(disk, "dir")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.WriteSnapshot(mpquorum.Snapshot{Index: 3, Term: 1}); err != nil {
		t.Fatal(err)
	}
	// The compaction has created its file when the snapshot at index 9 arrives.
	disk.beforeRename = func() {
		disk.beforeRename = nil
		if err := errors.Join(s.WriteSnapshot(mpquorum.Snapshot{Index: 9, Term: 2}), s.Rotate(9, mpquorum.HardState{Term: 2}, nil)); err != nil {
			t.Error(err)
		}
	}
	if err := s.WriteSnapshot(mpquorum.Snapshot{Index: 5, Term: 1}); err != nil {
		t.Error(err)
	}
	_, l, err := open(disk, "dir")
	if err != nil {
		t.Fatal(err)
	}
	if l.Snapshot.Index != 9 {
		t.Errorf("snapshot %d, want 9", l.Snapshot.Index)
	}
	if parts, _ := disk.list(filepath.Join("dir", "*"+tempSuffix)); len(parts) > 0 {
		t.Errorf("unfinished files left after a start: %v", parts)
	}
}

func TestIdentity(t *testing.T) {
	dir := t.TempDir()
	if _, ok, err := ReadIdentity(dir); ok || err != nil {
		t.Fatalf("ReadIdentity of an empty directory = %t, %v", ok, err)
	}
	want := Identity{Cluster: 5, Member: 6}
	if err := WriteIdentity(dir, want); err != nil {
		t.Fatal(err)
	}
	got, ok, err := ReadIdentity(dir)
	if !ok || err != nil || got != want {
		t.Errorf("ReadIdentity = %v, %t, %v, want %v", got, ok, err, want)
	}
}
