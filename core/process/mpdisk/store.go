// Package mpdisk keeps a member's log, vote and snapshot in one data folder.
// Each write is one checksummed frame and is synchronised before Save returns.
// A torn last frame is cut at the next Open; a bad frame before it makes Open
// fail with ErrCorrupt, since cutting it could drop an acknowledged entry.
package mpdisk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpquorum"
)

const (
	logPattern   = "log-*"
	snapPattern  = "snap-*"
	identityFile = "member"
	scratch      = ".part"
	fileMode     = 0o600
	folderMode   = 0o700
)

// Identity binds a data folder to a deployment and a member.
type Identity struct {
	Cluster uint64            `json:"cluster"`
	Member  mpquorum.MemberID `json:"member"`
}

// RecoveredState is what a data folder held.
type RecoveredState struct {
	Hard     mpquorum.HardState
	Snapshot mpquorum.Snapshot
	Entries  []mpquorum.Entry
	// TruncatedBytes is the number of bytes of a torn last frame that Open removed.
	TruncatedBytes int
}

// Store appends to the log in one data folder. It is not safe for concurrent use.
type Store struct {
	dir  string
	file *os.File
	seq  uint64
	size int64
}

// ReadIdentity returns the identity in dir and false when there is none yet.
func ReadIdentity(dir string) (Identity, bool, error) {
	path := filepath.Join(dir, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, mperror.Wrap(err, "read %s", path)
	}
	payload, _, v := readFrame(data)
	if v != whole {
		return Identity{}, false, mperror.Wrap(mperror.ErrCorrupt, "%s", path)
	}
	var id Identity
	if err := json.Unmarshal(payload, &id); err != nil {
		return Identity{}, false, mperror.Wrap(mperror.ErrCorrupt, "%s: %v", path, err)
	}
	return id, true, nil
}

// WriteIdentity stores id in dir, which it creates if need be.
func WriteIdentity(dir string, id Identity) error {
	payload, err := json.Marshal(id)
	if err != nil {
		return mperror.Wrap(err, "encode identity")
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return mperror.Wrap(err, "create data folder")
	}
	return replaceFile(filepath.Join(dir, identityFile), seal(payload))
}

// Open reads the log and snapshot in dir and makes it ready for appending.
func Open(dir string) (*Store, RecoveredState, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, RecoveredState{}, mperror.Wrap(err, "create data folder")
	}
	s := &Store{dir: dir}
	var l RecoveredState
	if err := loadSnapshot(dir, &l); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := s.loadLog(&l); err != nil {
		return nil, RecoveredState{}, err
	}
	return s, l, nil
}

// Close releases the log file.
func (s *Store) Close() error {
	return s.file.Close()
}

// LogSize returns the length of the log file in bytes.
func (s *Store) LogSize() int64 { return s.size }

// Save appends one frame with the vote and the entries, and synchronises it.
// Entries that reuse an index replace the old ones from there on.
func (s *Store) Save(hard *mpquorum.HardState, entries []mpquorum.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	frame, err := encodeFrame(batch{Hard: hard, Entries: entries})
	if err != nil {
		return err
	}
	if _, err := s.file.Write(frame); err != nil {
		return mperror.Wrap(err, "append to %s", s.file.Name())
	}
	if err := s.file.Sync(); err != nil {
		return mperror.Wrap(err, "synchronise %s", s.file.Name())
	}
	s.size += int64(len(frame))
	return nil
}

// WriteSnapshot stores snap beside the log. It touches nothing else of the
// Store, so it may run while Save does.
func (s *Store) WriteSnapshot(snap mpquorum.Snapshot) error {
	payload, err := msgpack.Marshal(snap)
	if err != nil {
		return mperror.Wrap(err, "encode snapshot")
	}
	return replaceFile(s.snapPath(snap.Index), seal(payload))
}

// Rotate starts a new log file with hard and the entries after the snapshot
// written at index, then removes the files that these replace.
func (s *Store) Rotate(index uint64, hard mpquorum.HardState, entries []mpquorum.Entry) error {
	frame, err := encodeFrame(batch{Hard: &hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.switchTo(s.seq+1, frame); err != nil {
		return err
	}
	return s.removeOld(s.snapPath(index))
}

func (s *Store) snapPath(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("snap-%020d", index))
}

func (s *Store) switchTo(seq uint64, frame []byte) error {
	path := filepath.Join(s.dir, fmt.Sprintf("log-%020d", seq))
	if err := replaceFile(path, frame); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return mperror.Wrap(err, "open log")
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = f
	s.seq = seq
	s.size = int64(len(frame))
	return nil
}

func (s *Store) removeOld(snapPath string) error {
	for _, pattern := range []string{logPattern, snapPattern} {
		paths, err := filepath.Glob(filepath.Join(s.dir, pattern))
		if err != nil {
			return mperror.Wrap(err, "list data folder")
		}
		for _, p := range paths {
			if p == s.file.Name() || p == snapPath {
				continue
			}
			if err := os.Remove(p); err != nil {
				return mperror.Wrap(err, "remove old file")
			}
		}
	}
	return nil
}

func loadSnapshot(dir string, l *RecoveredState) error {
	path, err := newest(dir, snapPattern)
	if err != nil || path == "" {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return mperror.Wrap(err, "read snapshot")
	}
	payload, _, v := readFrame(data)
	if v != whole {
		return mperror.Wrap(mperror.ErrCorrupt, "snapshot %s", path)
	}
	if err := msgpack.Unmarshal(payload, &l.Snapshot); err != nil {
		return mperror.Wrap(mperror.ErrCorrupt, "snapshot %s: %v", path, err)
	}
	return nil
}

func (s *Store) loadLog(l *RecoveredState) error {
	path, err := newest(s.dir, logPattern)
	if err != nil {
		return err
	}
	if path == "" {
		return s.switchTo(1, nil)
	}
	if _, err := fmt.Sscanf(filepath.Base(path), "log-%d", &s.seq); err != nil {
		return mperror.Wrap(mperror.ErrCorrupt, "log name %s", path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return mperror.Wrap(err, "read log")
	}
	end, err := replay(path, data, l)
	if err != nil {
		return err
	}
	l.TruncatedBytes = len(data) - end
	return s.reopen(path, int64(end), l.TruncatedBytes > 0)
}

func replay(path string, data []byte, l *RecoveredState) (int, error) {
	at := 0
	for at < len(data) {
		payload, size, v := readFrame(data[at:])
		switch v {
		case torn:
			return at, nil
		case corrupt:
			return 0, mperror.Wrap(mperror.ErrCorrupt,
				"%s at byte %d of %d: remove the data folder to rejoin as a new member", path, at, len(data))
		case whole:
		}
		var b batch
		if err := msgpack.Unmarshal(payload, &b); err != nil {
			return 0, mperror.Wrap(mperror.ErrCorrupt, "%s at byte %d: %v", path, at, err)
		}
		l.add(b)
		at += size
	}
	return at, nil
}

func (l *RecoveredState) add(b batch) {
	if b.Hard != nil {
		l.Hard = *b.Hard
	}
	for _, e := range b.Entries {
		keep := sort.Search(len(l.Entries), func(i int) bool { return l.Entries[i].Index >= e.Index })
		l.Entries = append(l.Entries[:keep], e)
	}
}

func (s *Store) reopen(path string, end int64, cut bool) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return mperror.Wrap(err, "open log")
	}
	if cut {
		if err := errors.Join(f.Truncate(end), f.Sync()); err != nil {
			return mperror.Wrap(err, "cut torn tail of %s", path)
		}
	}
	s.file = f
	s.size = end
	return nil
}

func newest(dir, pattern string) (string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, pattern))
	if err != nil {
		return "", mperror.Wrap(err, "list data folder")
	}
	sort.Strings(paths)
	for i := len(paths) - 1; i >= 0; i-- {
		if filepath.Ext(paths[i]) != scratch {
			return paths[i], nil
		}
	}
	return "", nil
}

// replaceFile puts data at path so that after a crash the file holds either
// the old content or the whole new one.
func replaceFile(path string, data []byte) error {
	f, err := os.OpenFile(path+scratch, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return mperror.Wrap(err, "create file")
	}
	_, err = f.Write(data)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return mperror.Wrap(err, "write %s", path)
	}
	if err := os.Rename(path+scratch, path); err != nil {
		return mperror.Wrap(err, "rename into place")
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return mperror.Wrap(err, "open folder")
	}
	return mperror.Wrap(errors.Join(d.Sync(), d.Close()), "synchronise folder %s", dir)
}
