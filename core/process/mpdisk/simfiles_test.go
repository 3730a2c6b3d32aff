package mpdisk

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

var (
	// errCrash is the panic value with which a process on simFiles ends.
	errCrash   = errors.New("process killed")
	errNoSpace = errors.New("no space left on device")
)

// simFiles is a directory on a disk that can lose power. What was not synced is then kept,
// lost or torn: writes for each sector, names for each file that was created, renamed or
// removed since its directory was synced.
type simFiles struct {
	rand *rand.Rand
	// crashIn is the number of operations until the process is killed; 0 if it is not.
	crashIn int
	// full makes the disk take no more bytes.
	full bool
	// beforeRename is called before each rename, if it is set.
	beforeRename func()
	names        map[string]*simFile
	durable      map[string]*simFile
	// pending are the changes of names since the directory was synced.
	pending []func()
}

type simFile struct {
	disk   *simFiles
	data   []byte
	synced []byte
	writes []simWrite
}

type simWrite struct {
	at   int
	data []byte
}

var _ files = (*simFiles)(nil)

func newSimFiles(seed uint64) *simFiles {
	return &simFiles{
		rand: rand.New(rand.NewPCG(seed, 1)), names: map[string]*simFile{}, durable: map[string]*simFile{},
	}
}

// operate ends the process if its time has come.
func (d *simFiles) operate() {
	if d.crashIn > 0 {
		d.crashIn--
		if d.crashIn == 0 {
			panic(errCrash)
		}
	}
}

// run calls f, which uses the disk, and reports whether the process was killed in it.
func (d *simFiles) run(f func()) (killed bool) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case errCrash:
			killed = true
		default:
			panic(v)
		}
	}()
	f()
	return false
}

// losePower replaces all files by what the disk holds after a loss of power.
func (d *simFiles) losePower() {
	for _, change := range d.pending {
		if d.rand.IntN(2) == 0 {
			change()
		}
	}
	d.pending = nil
	d.names = map[string]*simFile{}
	all := d.rand.IntN(4) // 0: all later writes are gone, 1: all are present.
	for path, f := range d.durable {
		f.losePower(all)
		d.names[path] = f
	}
}

func (f *simFile) losePower(all int) {
	data := slices.Clone(f.synced)
	for _, w := range f.writes {
		if all == 0 {
			break
		}
		kept := f.disk.tear(w.data, w.at, all == 1)
		if end := w.at + len(kept); end > len(data) {
			data = append(data, make([]byte, end-len(data))...)
		}
		copy(data[w.at:], kept)
	}
	f.data, f.synced, f.writes = data, slices.Clone(data), nil
}

// tear returns what is left of a write that was not synced: all, a part from its start, or
// some of its sectors.
func (d *simFiles) tear(data []byte, at int, whole bool) []byte {
	out := slices.Clone(data)
	switch d.rand.IntN(3) {
	case 0:
		if !whole {
			return out[:d.rand.IntN(len(out)+1)]
		}
	case 1:
		for i := 0; i < len(out) && !whole; {
			end := min(len(out), i+sectorBytes-(at+i)%sectorBytes)
			if d.rand.IntN(2) == 0 {
				clear(out[i:end])
			}
			i = end
		}
	}
	return out
}

func (d *simFiles) makeDir(string) error { return nil }

func (d *simFiles) list(pattern string) ([]string, error) {
	var out []string
	for path := range d.names {
		if ok, _ := filepath.Match(pattern, path); ok {
			out = append(out, path)
		}
	}
	slices.Sort(out)
	return out, nil
}

func (d *simFiles) read(path string) ([]byte, error) {
	f, ok := d.names[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *simFiles) create(path string) (file, error) {
	d.operate()
	if d.full {
		return nil, errNoSpace
	}
	f := &simFile{disk: d}
	d.names[path] = f
	d.pending = append(d.pending, func() { d.durable[path] = f })
	return f, nil
}

func (d *simFiles) open(path string) (file, error) {
	f, ok := d.names[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

func (d *simFiles) rename(from, to string) error {
	if d.beforeRename != nil {
		d.beforeRename()
	}
	d.operate()
	f, ok := d.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = f
	d.pending = append(d.pending, func() {
		if d.durable[from] == f {
			delete(d.durable, from)
		}
		d.durable[to] = f
	})
	return nil
}

func (d *simFiles) remove(path string) error {
	d.operate()
	if _, ok := d.names[path]; !ok {
		return fs.ErrNotExist
	}
	delete(d.names, path)
	d.pending = append(d.pending, func() { delete(d.durable, path) })
	return nil
}

func (d *simFiles) syncDir(string) error {
	d.operate()
	d.durable = map[string]*simFile{}
	for path, f := range d.names {
		d.durable[path] = f
	}
	d.pending = nil
	return nil
}

func (f *simFile) Write(data []byte) (int, error) {
	f.disk.operate()
	if f.disk.full {
		data = data[:f.disk.rand.IntN(len(data)+1)] // The last bytes before the disk is full.
	}
	f.writes = append(f.writes, simWrite{len(f.data), slices.Clone(data)})
	f.data = append(f.data, data...)
	if f.disk.full {
		return len(data), errNoSpace
	}
	return len(data), nil
}

// Sync makes the content durable, and the name of a file that is new.
func (f *simFile) Sync() error {
	f.disk.operate()
	f.synced, f.writes = slices.Clone(f.data), nil
	for _, known := range f.disk.durable {
		if known == f {
			return nil
		}
	}
	for path, known := range f.disk.names {
		if known == f {
			f.disk.durable[path] = f
		}
	}
	return nil
}

func (f *simFile) Truncate(size int64) error {
	f.disk.operate()
	f.data = slices.Clone(f.data[:size])
	if int(size) < len(f.synced) {
		f.synced = slices.Clone(f.data)
		f.writes = nil
	} else {
		f.writes = []simWrite{{len(f.synced), slices.Clone(f.data[len(f.synced):])}}
	}
	return nil
}

func (f *simFile) Close() error { return nil }
