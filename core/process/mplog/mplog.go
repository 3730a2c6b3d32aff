// Package mplog makes the levelled logger of a process.
package mplog

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes lines of key=value to w, from the named
// level on: debug, info, warn or error.
func New(w io.Writer, name string, fields ...any) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(name, level.InfoValue())))
	return log.With(l, append([]any{"at", log.DefaultTimestampUTC}, fields...)...)
}
