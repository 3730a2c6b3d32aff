package mpspeed

import (
	"math"
	"strconv"
	"strings"
)

const (
	// minPercent and maxPercent bound the figures of speed that are believed. An upstream of a
	// fifth of the usual speed that is ten times slower for a while reports 5000.
	minPercent = 2.0
	maxPercent = 5000.0
	// maxCount bounds the requests that an upstream may run or have waiting.
	maxCount = 1 << 20
	// loadFigures is the number of figures that name the load. One more may follow, for the speed.
	loadFigures = 3
)

// Load is what one answer says of the load and the speed of its upstream. The zero value says
// nothing.
type Load struct {
	// Running and Waiting are the numbers of requests that the upstream runs and that wait there,
	// from all VMs, and Slots is how many it can run. They are 0 unless HasCounts is set.
	Running, Waiting, Slots int
	HasCounts               bool
	// Percent is how long work takes there at the moment, 100 being usual; 0 if unknown.
	Percent float64
	// Skipped is the number of figures that were present and cannot be used.
	Skipped int
}

// ParseLoad returns what the values of a load field say: running, waiting and slots, and on some
// deployments how long work takes in percent, separated by commas. A field that is given twice or
// has another number of figures says nothing, since nothing tells which of them are meant.
func ParseLoad(values []string) Load {
	if len(values) == 0 {
		return Load{}
	}
	figures := strings.Split(strings.Join(values, ","), ",")
	if len(values) > 1 || len(figures) < loadFigures || len(figures) > loadFigures+1 {
		return Load{Skipped: len(figures)}
	}
	l := Load{HasCounts: true}
	for i, n := range []*int{&l.Running, &l.Waiting, &l.Slots} {
		v, err := strconv.ParseUint(strings.TrimSpace(figures[i]), 10, 64)
		if err != nil || v > maxCount {
			l.HasCounts = false
			l.Skipped++
			continue
		}
		*n = int(v)
	}
	if !l.HasCounts {
		l.Running, l.Waiting, l.Slots = 0, 0, 0
	}
	if len(figures) > loadFigures {
		if l.Percent = parsePercent(figures[loadFigures]); l.Percent == 0 {
			l.Skipped++
		}
	}
	return l
}

// parsePercent returns a figure of speed, or 0 if it cannot be used.
func parsePercent(figure string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(figure), 64)
	if err != nil || !isPlausible(v) {
		return 0
	}
	return v
}

// isPlausible reports whether percent is a figure of speed that is believed.
func isPlausible(percent float64) bool {
	return !math.IsNaN(percent) && percent >= minPercent && percent <= maxPercent
}

// Count adds what the answer says to counters: answers with a figure of speed, answers with a
// load and none, and figures that cannot be used.
func (l Load) Count(add func(name string, delta int64)) {
	switch {
	case l.Percent > 0:
		add("speed.reports", 1)
	case l.HasCounts:
		add("speed.absent", 1)
	}
	if l.Skipped > 0 {
		add("speed.skipped", int64(l.Skipped))
	}
}
