// Package mpdisk stores a member's log, vote and snapshot in one data directory.
// Each write is one checksummed frame, synced before Save returns and before the next one
// is written. So only the last frame can be torn by a loss of power, in any way: an invalid
// frame that no valid one follows was not acknowledged, and Open truncates it. An invalid
// frame that was synced makes Open fail with ErrCorrupt, since truncating there could drop
// an acknowledged entry: one before a valid frame, or the first one of a compacted log.
package mpdisk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
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
	tempSuffix   = ".part"
	asidePrefix  = "aside-"
	fileMode     = 0o600
	dirMode      = 0o700
	// firstLog is the sequence number of the log that a new directory begins with.
	firstLog = 1
)

// Identity binds a data directory to a deployment and a member.
type Identity struct {
	Cluster uint64            `json:"cluster"`
	Member  mpquorum.MemberID `json:"member"`
}

// RecoveredState is the state that Open read from a data directory.
type RecoveredState struct {
	HardState mpquorum.HardState
	Snapshot  mpquorum.Snapshot
	Entries   []mpquorum.Entry
	// TruncatedBytes is the size of the torn last frame that Open removed.
	TruncatedBytes int
}

// Store appends to the log in one data directory. It is not safe for concurrent
// use, except that WriteSnapshot may run during Save.
type Store struct {
	files files
	dir   string
	// path is that of the log file.
	path string
	file file
	seq  uint64
	size int64
	// failed is the error of a Save that may have left a part of its frame, which a later
	// frame would turn from a torn one into a corrupt one.
	failed error
}

// ReadIdentity returns the identity stored in dir, or false if there is none.
func ReadIdentity(dir string) (Identity, bool, error) {
	path := filepath.Join(dir, identityFile)
	data, err := osFiles{}.read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, mperror.Wrap(err, "read %s", path)
	}
	payload, _, ok := readFrame(data)
	if !ok {
		return Identity{}, false, mperror.Wrap(mperror.ErrCorrupt, "%s", path)
	}
	var id Identity
	if err := json.Unmarshal(payload, &id); err != nil {
		return Identity{}, false, mperror.Wrap(mperror.ErrCorrupt, "%s: %v", path, err)
	}
	return id, true, nil
}

// WriteIdentity stores id in dir and creates dir if it does not exist.
func WriteIdentity(dir string, id Identity) error {
	payload, err := json.Marshal(id)
	if err != nil {
		return mperror.Wrap(err, "encode identity")
	}
	if err := (osFiles{}).makeDir(dir); err != nil {
		return mperror.Wrap(err, "create data directory")
	}
	return writeFileAtomic(osFiles{}, filepath.Join(dir, identityFile), newFrame(payload))
}

// SetAside renames the identity, the snapshots and the logs in dir, so that the voter joins as
// a new member. It removes what it set aside before. If it is interrupted, it can be repeated.
func SetAside(dir string) error {
	return setAside(osFiles{}, dir)
}

func setAside(files files, dir string) error {
	obsolete, err := files.list(filepath.Join(dir, asidePrefix+"*"))
	if err != nil {
		return mperror.Wrap(err, "list data directory")
	}
	for _, path := range obsolete {
		if err := files.remove(path); err != nil {
			return mperror.Wrap(err, "remove what was set aside before")
		}
	}
	// Without an identity nothing else in the directory counts, so that goes first.
	for _, pattern := range []string{identityFile, snapPattern, logPattern} {
		paths, err := files.list(filepath.Join(dir, pattern))
		if err != nil {
			return mperror.Wrap(err, "list data directory")
		}
		for _, path := range paths {
			if err := files.rename(path, filepath.Join(dir, asidePrefix+filepath.Base(path))); err != nil {
				return mperror.Wrap(err, "set aside %s", path)
			}
		}
		if err := files.syncDir(dir); err != nil {
			return err
		}
	}
	return nil
}

// Open reads the snapshot and log in dir and opens the log for appending. What it returns
// is durable, also if the process that wrote it was killed before it had synced it.
func Open(dir string) (*Store, RecoveredState, error) {
	return open(osFiles{}, dir)
}

func open(files files, dir string) (*Store, RecoveredState, error) {
	if err := files.makeDir(dir); err != nil {
		return nil, RecoveredState{}, mperror.Wrap(err, "create data directory")
	}
	// The names of the files may not be durable yet.
	if err := files.syncDir(dir); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := removeUnfinished(files, dir); err != nil {
		return nil, RecoveredState{}, err
	}
	s := &Store{files: files, dir: dir}
	var l RecoveredState
	if err := s.loadSnapshot(&l); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := s.loadLog(&l); err != nil {
		return nil, RecoveredState{}, err
	}
	if l.dropReplaced() {
		frame, err := encodeFrame(batch{HardState: &l.HardState})
		if err == nil {
			err = s.openNewLog(s.seq+1, frame)
		}
		if err != nil {
			return nil, RecoveredState{}, errors.Join(err, s.Close())
		}
	}
	return s, l, nil
}

// removeUnfinished removes the files that a process had not finished when it ended.
func removeUnfinished(files files, dir string) error {
	paths, err := files.list(filepath.Join(dir, "*"+tempSuffix))
	if err != nil {
		return mperror.Wrap(err, "list data directory")
	}
	for _, p := range paths {
		if err := files.remove(p); err != nil {
			return mperror.Wrap(err, "remove unfinished file")
		}
	}
	return nil
}

// dropReplaced removes the entries if the snapshot replaced the one at its index, and with it
// all later ones. It reports whether it did. The log holds such entries if power was lost
// between the writing of a received snapshot and that of the log after it.
func (l *RecoveredState) dropReplaced() bool {
	for _, e := range l.Entries {
		if e.Index == l.Snapshot.Index && e.Term != l.Snapshot.Term {
			l.Entries = nil
			return true
		}
	}
	return false
}

// Close closes the log file.
func (s *Store) Close() error {
	return s.file.Close()
}

// LogSize returns the size of the log file in bytes.
func (s *Store) LogSize() int64 { return s.size }

// Save appends the hard state and the entries as one frame and syncs the log. An
// entry whose index already exists replaces that entry and all later ones. After an error
// the directory must be opened again: Save and Rotate return that error from then on.
func (s *Store) Save(hard *mpquorum.HardState, entries []mpquorum.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if s.failed != nil {
		return s.failed
	}
	frame, err := encodeFrame(batch{HardState: hard, Entries: entries})
	if err != nil {
		return err
	}
	if _, err := s.file.Write(frame); err != nil {
		s.failed = mperror.Wrap(err, "append to %s", s.path)
		return s.failed
	}
	if err := s.file.Sync(); err != nil {
		s.failed = mperror.Wrap(err, "sync %s", s.path)
		return s.failed
	}
	s.size += int64(len(frame))
	return nil
}

// WriteSnapshot writes snap to its own file. It does not access the log, so it may
// run concurrently with Save.
func (s *Store) WriteSnapshot(snap mpquorum.Snapshot) error {
	payload, err := msgpack.Marshal(snap)
	if err != nil {
		return mperror.Wrap(err, "encode snapshot")
	}
	return writeFileAtomic(s.files, s.snapPath(snap.Index), newFrame(payload))
}

// Rotate starts a new log file that holds hard and entries, which follow the
// snapshot at index, and then removes older logs and snapshots.
func (s *Store) Rotate(index uint64, hard mpquorum.HardState, entries []mpquorum.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	frame, err := encodeFrame(batch{HardState: &hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.openNewLog(s.seq+1, frame); err != nil {
		return err
	}
	return s.removeObsolete(s.snapPath(index))
}

func (s *Store) snapPath(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("snap-%020d", index))
}

func (s *Store) openNewLog(seq uint64, frame []byte) error {
	path := filepath.Join(s.dir, fmt.Sprintf("log-%020d", seq))
	if err := writeFileAtomic(s.files, path, frame); err != nil {
		return err
	}
	f, err := s.files.open(path)
	if err != nil {
		return mperror.Wrap(err, "open log")
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = f
	s.path = path
	s.seq = seq
	s.size = int64(len(frame))
	return nil
}

func (s *Store) removeObsolete(snapPath string) error {
	for _, pattern := range []string{logPattern, snapPattern} {
		paths, err := s.files.list(filepath.Join(s.dir, pattern))
		if err != nil {
			return mperror.Wrap(err, "list data directory")
		}
		for _, p := range paths {
			// An unfinished file may be a snapshot that is being written.
			if p == s.path || p == snapPath || filepath.Ext(p) == tempSuffix {
				continue
			}
			if err := s.files.remove(p); err != nil {
				return mperror.Wrap(err, "remove obsolete file")
			}
		}
	}
	return nil
}

func (s *Store) loadSnapshot(l *RecoveredState) error {
	path, err := s.newestFile(snapPattern)
	if err != nil || path == "" {
		return err
	}
	data, err := s.files.read(path)
	if err != nil {
		return mperror.Wrap(err, "read snapshot")
	}
	payload, _, ok := readFrame(data)
	if !ok {
		return mperror.Wrap(mperror.ErrCorrupt, "snapshot %s", path)
	}
	if err := msgpack.Unmarshal(payload, &l.Snapshot); err != nil {
		return mperror.Wrap(mperror.ErrCorrupt, "snapshot %s: %v", path, err)
	}
	return nil
}

func (s *Store) loadLog(l *RecoveredState) error {
	path, err := s.newestFile(logPattern)
	if err != nil {
		return err
	}
	if path == "" {
		return s.openNewLog(firstLog, nil)
	}
	if _, err := fmt.Sscanf(filepath.Base(path), "log-%d", &s.seq); err != nil {
		return mperror.Wrap(mperror.ErrCorrupt, "invalid log file name %s", path)
	}
	data, err := s.files.read(path)
	if err != nil {
		return mperror.Wrap(err, "read log")
	}
	// A log that follows a compaction was renamed into place with its first frame synced.
	isFirstSynced := s.seq > firstLog
	end, err := replayLog(path, data, isFirstSynced, l)
	if err != nil {
		return err
	}
	l.TruncatedBytes = len(data) - end
	return s.openForAppend(path, int64(end), l.TruncatedBytes > 0)
}

// replayLog applies the frames in data to l and returns where the last valid one ends.
func replayLog(path string, data []byte, isFirstSynced bool, l *RecoveredState) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, size, ok := readFrame(data[offset:])
		if !ok {
			if offset == 0 && isFirstSynced || hasFrame(data[offset+1:]) {
				return 0, mperror.Wrap(mperror.ErrCorrupt,
					"log %s, frame at byte %d of %d: remove the data directory to rejoin as a new member", path, offset, len(data))
			}
			return offset, nil
		}
		var b batch
		if err := msgpack.Unmarshal(payload, &b); err != nil {
			return 0, mperror.Wrap(mperror.ErrCorrupt, "log %s, frame at byte %d: %v", path, offset, err)
		}
		l.applyBatch(b)
		offset += size
	}
	return offset, nil
}

func (l *RecoveredState) applyBatch(b batch) {
	if b.HardState != nil {
		l.HardState = *b.HardState
	}
	for _, e := range b.Entries {
		keep := sort.Search(len(l.Entries), func(i int) bool { return l.Entries[i].Index >= e.Index })
		l.Entries = append(l.Entries[:keep], e)
	}
}

func (s *Store) openForAppend(path string, end int64, truncate bool) error {
	f, err := s.files.open(path)
	if err != nil {
		return mperror.Wrap(err, "open log")
	}
	if truncate {
		if err := f.Truncate(end); err != nil {
			return errors.Join(mperror.Wrap(err, "truncate torn frame of %s", path), f.Close())
		}
	}
	if err := f.Sync(); err != nil {
		return errors.Join(mperror.Wrap(err, "sync %s", path), f.Close())
	}
	s.file = f
	s.path = path
	s.size = end
	return nil
}

func (s *Store) newestFile(pattern string) (string, error) {
	paths, err := s.files.list(filepath.Join(s.dir, pattern))
	if err != nil {
		return "", mperror.Wrap(err, "list data directory")
	}
	sort.Strings(paths)
	for i := len(paths) - 1; i >= 0; i-- {
		if filepath.Ext(paths[i]) != tempSuffix {
			return paths[i], nil
		}
	}
	return "", nil
}

// writeFileAtomic replaces the file at path. After a crash the file holds either
// the old content or all of the new content.
func writeFileAtomic(files files, path string, data []byte) error {
	f, err := files.create(path + tempSuffix)
	if err != nil {
		return mperror.Wrap(err, "create temporary file")
	}
	_, err = f.Write(data)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return mperror.Wrap(err, "write %s", path)
	}
	if err := files.rename(path+tempSuffix, path); err != nil {
		return mperror.Wrap(err, "rename temporary file")
	}
	return files.syncDir(filepath.Dir(path))
}
