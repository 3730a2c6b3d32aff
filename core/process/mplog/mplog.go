// Package mplog provides the levelled logger of a process and reads its logs back to
// explain single requests.
package mplog

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines to w. It drops lines below the level
// levelName, which is debug, info, warn or error.
func New(w io.Writer, levelName string, fields ...any) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(levelName, level.InfoValue())))
	return log.With(l, append([]any{"at", log.DefaultTimestampUTC}, fields...)...)
}
