package mpdisk

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"mustardpost.org/core/common/mperror"
)

// files is the part of a file system that holds data directories.
type files interface {
	makeDir(dir string) error
	// list returns the paths that match pattern, in no particular order.
	list(pattern string) ([]string, error)
	read(path string) ([]byte, error)
	// create opens an empty file at path for writing.
	create(path string) (file, error)
	// open opens the file at path for appending.
	open(path string) (file, error)
	rename(from, to string) error
	remove(path string) error
	// syncDir makes the names of the files in dir durable.
	syncDir(dir string) error
}

type file interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// osFiles is the file system of the operating system.
type osFiles struct{}

var _ files = osFiles{}

func (osFiles) makeDir(dir string) error              { return os.MkdirAll(dir, dirMode) }
func (osFiles) list(pattern string) ([]string, error) { return filepath.Glob(pattern) }
func (osFiles) read(path string) ([]byte, error)      { return os.ReadFile(path) }
func (osFiles) rename(from, to string) error          { return os.Rename(from, to) }
func (osFiles) remove(path string) error              { return os.Remove(path) }

func (osFiles) create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

func (osFiles) open(path string) (file, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

func (osFiles) syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return mperror.Wrap(err, "open directory")
	}
	return mperror.Wrap(errors.Join(d.Sync(), d.Close()), "sync directory %s", dir)
}
