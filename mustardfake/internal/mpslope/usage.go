// Package mpslope measures how control-plane costs scale with the number of VMs,
// upstreams, changes, claims, requests and tokens. It runs simulated VMs against
// real processes.
package mpslope

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is USER_HZ, the unit of CPU time in /proc.
const ticksPerSecond = 100

// usage is the accumulated CPU time and the resident memory of a process.
type usage struct {
	at  time.Time
	cpu time.Duration
	rss int64
}

// readUsage returns the CPU time and the resident memory of a process.
func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The process name in parentheses may contain spaces; the fields after it
	// start with the state, field 3.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		at:  time.Now(),
		cpu: time.Duration(user+system) * time.Second / ticksPerSecond,
		rss: pages * int64(os.Getpagesize()),
	}, nil
}

// cpuPercent returns the CPU usage between two readings, in percent of one core.
func cpuPercent(from, to usage) float64 {
	return 100 * (to.cpu - from.cpu).Seconds() / to.at.Sub(from.at).Seconds()
}

// fitLine fits y = a + b*x by least squares.
func fitLine(xs, ys []float64) (a, b float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		b = (n*sxy - sx*sy) / d
	}
	return (sy - b*sx) / n, b
}
