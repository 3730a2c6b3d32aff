package mpspeed

import (
	"math"
	"time"
)

const (
	// windowDuration is the time whose samples count as one. It is longer than upstreams are slow
	// at a time, so that one such time counts once, however many samples it has.
	windowDuration = time.Second
	// A window that deviates counts as at most maxDeviation (a factor of 2), so that the windows
	// in which an upstream is slow for a moment move its level little.
	maxDeviation = 0.7
	// windowWeight is the weight of the newest window once there are some. The first windows weigh
	// more, as in a mean.
	windowWeight = 0.1
	// From the third consecutive window on that deviates by a factor of at least e^streakDeviation
	// in one direction, the level has changed: the weight grows, up to streakWeight.
	streakDeviation = 0.25
	streakStart     = 2
	streakWeight    = 0.4
	// A level that has had no samples for forgetAfter returns towards the usual one within about
	// forgetDuration, so that an upstream which is not chosen since it was slow is tried again.
	forgetAfter    = 10 * time.Second
	forgetDuration = time.Minute
)

// level is the long-term mean of the logarithm of a factor.
type level struct {
	// prior is the number of windows that the usual speed counts as in the mean.
	prior   float64
	value   float64
	windows int
	// streak counts the consecutive windows that deviate in one direction. It is negative for
	// those below the level.
	streak int
	// The open window began at openedAt. The last sample was added at sampledAt.
	openedAt, sampledAt time.Time
	sum                 float64
	count               int
}

// add adds a sample.
func (l *level) add(now time.Time, sample float64) {
	if l.count > 0 && now.Sub(l.openedAt) >= windowDuration {
		l.close()
	}
	if l.count == 0 {
		l.value = l.at(now)
		l.openedAt = now
	}
	l.sum += sample
	l.count++
	l.sampledAt = now
}

// close adds the open window to the level.
func (l *level) close() {
	var deviation float64
	l.value, deviation = l.closed()
	switch {
	case deviation > streakDeviation:
		l.streak = max(l.streak, 0) + 1
	case deviation < -streakDeviation:
		l.streak = min(l.streak, 0) - 1
	default:
		l.streak = 0
	}
	l.windows++
	l.sum, l.count = 0, 0
}

// closed returns the value with the open window, and by how much the window deviates.
func (l *level) closed() (value, deviation float64) {
	if l.count == 0 {
		return l.value, 0
	}
	deviation = l.sum/float64(l.count) - l.value
	weight := max(1/(float64(l.windows)+1+l.prior), windowWeight)
	if length := l.streak; deviation > 0 && length >= streakStart || deviation < 0 && -length >= streakStart {
		weight = max(weight, min(windowWeight*math.Abs(float64(length+sign(length))), streakWeight))
	}
	return l.value + weight*min(max(deviation, -maxDeviation), maxDeviation), deviation
}

func sign(n int) int {
	if n < 0 {
		return -1
	}
	return 1
}

// at returns the level, which includes the open window.
func (l *level) at(now time.Time) float64 {
	value, _ := l.closed()
	if value == 0 {
		return 0
	}
	age := now.Sub(l.sampledAt)
	if age <= forgetAfter {
		return value
	}
	return value * math.Exp(-(age-forgetAfter).Seconds()/forgetDuration.Seconds())
}
