package mpassign

import "math"

const (
	// initialRate is the assumed number of tokens that an engine prefills in a ms.
	initialRate = 48.0
	// initialOverhead is the assumed part of the time to the first token, in ms, that does not
	// depend on the work.
	initialOverhead = 20.0
	maxOverhead     = 500.0
	// overheadStep is how far one sample moves the overhead, in ms.
	overheadStep = 0.5
	// Samples whose prefill takes less than shortPrefill tell the overhead, others the rate.
	shortPrefill = 40.0
	// poolWindow and engineWindow are the number of samples over which the rate of a pool, and the
	// ratio of an engine's to it, are averaged. priorSamples speak for an engine of usual speed.
	poolWindow   = 2000.0
	engineWindow = 50.0
	priorMs      = 200.0
	// maxRatio bounds by how much a sample may differ from what was expected.
	maxRatio = 6.0
	// minFactor and maxFactor bound the speed of an engine relative to its pool.
	minFactor = 0.1
	maxFactor = 10.0
	// statedWindow is the number of statements over which the pace that an engine states is averaged,
	// and minStated and maxStated bound what is believed.
	statedWindow = 20.0
	minStated    = 0.05
	maxStated    = 20.0
	// statedRetention is how long, in ms, an engine that stated its pace counts as one that does.
	statedRetention = 10_000.0
	// slowWindow is the time constant, in ms, with which a slowness that was seen is forgotten.
	slowWindow = 500.0
	// An engine is slow at present if its last prefill took over slowRatio times as long as
	// expected, and at least minSlowPrefill ms.
	slowRatio      = 1.6
	minSlowPrefill = 15.0
)

// average is the ratio of two sums of which older samples count less.
type average struct{ tokens, ms float64 }

func (a *average) add(tokens, ms, window float64) {
	a.tokens += tokens - a.tokens/window
	a.ms += ms - a.ms/window
}

// pace is how fast an engine prefills.
type pace struct {
	// samples holds tokens and ms of the engine's prefills.
	samples average
	// slowness is how many times slower than usual the engine was at slowAt; 0 if it was not.
	slowness float64
	slowAt   float64
	// stated is the average of the paces that the engine stated, 0 if it stated none, and statedAt
	// when it last did.
	stated   float64
	statedAt float64
}

// rate returns the number of tokens that the engine prefills in a ms, usually.
func (p *Pool) rate(e *engine) float64 {
	s := e.pace.samples
	return max((s.tokens+p.poolRate()*priorMs)/(s.ms+priorMs), p.poolRate()*minFactor)
}

// rateAt returns the number of tokens that the engine prefills in a ms at present.
func (p *Pool) rateAt(t float64, e *engine) float64 {
	if e.pace.slowness == 0 {
		return p.rate(e)
	}
	return p.rate(e) / (1 + (e.pace.slowness-1)*decay(t-e.pace.slowAt, slowWindow))
}

func (p *Pool) poolRate() float64 { return p.samples.tokens / p.samples.ms }

// state takes over the pace that an engine states. What is above its average is slowness, and the
// average is part of what its prefills show.
func (e *engine) state(t, pace float64) {
	if !(pace >= minStated && pace <= maxStated) {
		return
	}
	s := &e.pace
	if s.stated == 0 {
		s.stated = 1
	}
	s.stated += (pace - s.stated) / statedWindow
	s.slowness, s.slowAt, s.statedAt = pace/s.stated, t, t
}

// statesPace reports whether the engine has stated its pace lately.
func (e *engine) statesPace(t float64) bool {
	return e.pace.stated > 0 && t-e.pace.statedAt < statedRetention
}

// learn takes over how long the first token of a request took, in ms. A prefill that the model
// expects to take modelled ms at the given rate was observed.
func (p *Pool) learn(t float64, e *engine, modelled, rate, took float64) {
	if modelled < shortPrefill {
		if took-modelled < p.overhead {
			p.overhead = max(p.overhead-overheadStep, 0)
		} else {
			p.overhead = min(p.overhead+overheadStep, maxOverhead)
		}
	}
	if modelled < 1 {
		return
	}
	ms := min(max(took-p.overhead, modelled/maxRatio), modelled*maxRatio)
	p.samples.add(modelled*rate, ms, poolWindow)
	e.pace.samples.add(modelled*rate, ms, engineWindow)
	if modelled >= minSlowPrefill && !e.statesPace(t) {
		usual := modelled * rate / p.rate(e)
		if ratio := ms / usual; ratio > slowRatio {
			e.pace.slowness, e.pace.slowAt = min(ratio, maxRatio), t
		} else {
			e.pace.slowness = 0
		}
	}
}

// decay returns the share that is left after d of what vanishes with a time constant.
func decay(d, constant float64) float64 {
	if d <= 0 {
		return 1
	}
	if d > 20*constant {
		return 0
	}
	return math.Exp(-d / constant)
}
