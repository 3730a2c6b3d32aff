package mpbatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mustardpost.org/core/version/mproute"
)

// memorySim simulates upstreams whose memory is nearly always full, with results that are
// up to a quarter larger or smaller than configured.
type memorySim struct {
	*sim
	rand *rand.Rand
	// usedBytes is the actual memory used at each upstream, sizes the actual size of
	// each result.
	usedBytes map[string]int
	sizes     map[string]int
	// readAt is when each result has been read.
	readAt   map[string]time.Time
	made     int
	noMemory int
	outcomes map[uint64]Outcome
}

const (
	// resultBytes, upstreamMemory and resultLifetime match the second stage of a real
	// deployment: 21 results fit, and each is read within about half a second.
	resultBytes    = 60_000
	upstreamMemory = 1_300_000
	resultLifetime = 450 * time.Millisecond
)

func newMemorySim(t *testing.T, seed uint64) *memorySim {
	s := mproute.BatchSpec{MaxPieces: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemoryBytes: upstreamMemory, ResultRetention: 4 * time.Second}
	var ups []Upstream
	for i := range 5 {
		ups = append(ups, Upstream{ID: fmt.Sprint("u", i), DC: "a"})
	}
	return &memorySim{
		sim: newSim(t, s, ups...), rand: rand.New(rand.NewPCG(seed, 3)),
		usedBytes: map[string]int{}, sizes: map[string]int{}, readAt: map[string]time.Time{}, outcomes: map[uint64]Outcome{},
	}
}

// step starts the calls that are due. Memory for a result is allocated, or refused,
// when its call starts.
func (m *memorySim) step() {
	for _, c := range m.batcher.Next(m.now) {
		out := Outcome{}
		for _, it := range c.Items {
			size := resultBytes*3/4 + m.rand.IntN(resultBytes/2)
			if m.usedBytes[c.Upstream.ID]+size > upstreamMemory {
				m.noMemory++
				out.Items = append(out.Items, ItemOutcome{Reason: ReasonNoMemory})
				continue
			}
			h := fmt.Sprint(c.Upstream.ID, "/", it.Request, "-", it.Number, "-", c.ID)
			m.usedBytes[c.Upstream.ID] += size
			m.sizes[h] = size
			out.Items = append(out.Items, ItemOutcome{Handle: h})
		}
		m.calls = append(m.calls, c)
		m.endAt[c.ID] = m.now.Add(m.batcher.cfg.Spec.CallDuration(len(c.Items)))
		m.outcomes[c.ID] = out
	}
}

// run simulates a time span of d, with a new job of seven pieces every gap.
func (m *memorySim) run(d, gap time.Duration) {
	next, until := m.now, m.now.Add(d)
	for n := 0; m.now.Before(until); m.now = m.now.Add(time.Millisecond) {
		if !m.now.Before(next) {
			n++
			next = next.Add(gap)
			_, _ = m.batcher.Add(m.now, JobSpec{
				Request: fmt.Sprint("r", n), Stage: 1, Count: 7, Inputs: []string{"in"}, ResultBytes: resultBytes,
				SoftDeadline: m.now.Add(time.Second), Deadline: m.now.Add(5 * time.Second),
			})
		}
		for _, c := range slices.Clone(m.calls) {
			if m.endAt[c.ID].After(m.now) {
				continue
			}
			m.calls = slices.DeleteFunc(m.calls, func(o Call) bool { return o.ID == c.ID })
			for _, made := range m.outcomes[c.ID].Items {
				if made.Handle != "" {
					m.made++
					m.readAt[made.Handle] = m.now.Add(resultLifetime)
				}
			}
			m.batcher.Finish(m.now, c.ID, m.outcomes[c.ID])
		}
		m.free()
		m.step()
	}
}

// free frees the results that have been read.
func (m *memorySim) free() {
	for h, at := range m.readAt {
		if m.now.Before(at) {
			continue
		}
		delete(m.readAt, h)
		m.batcher.Free([]string{h})
	}
	freed := m.batcher.TakePendingFrees()
	for _, h := range freed {
		delete(m.readAt, h)
		m.usedBytes[h[:2]] -= m.sizes[h]
	}
	m.batcher.ConfirmFreed(freed)
}

// Guards against filling upstreams to the last byte when memory is short: results are
// larger or smaller than configured, so full upstreams refused pieces. Each refusal made
// the request repeat all of its earlier stages, since the inputs were gone, and the
// upstream counted as full for 0.7 s.
func TestVaryingResultSizes(t *testing.T) {
	const simulated = 20 * time.Second
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newMemorySim(t, seed)
			m.run(simulated, 45*time.Millisecond)
			if m.noMemory*100 > m.made {
				t.Errorf("%d pieces found no memory, %d were made; want at most 1 in 100", m.noMemory, m.made)
			}
			// A result uses memory for a full call and its lifetime.
			cycle := m.batcher.cfg.Spec.CallDuration(8) + resultLifetime
			possible := int(simulated/cycle) * 5 * (upstreamMemory / resultBytes)
			if m.made*10 < possible*9 {
				t.Errorf("%d pieces were made, want at least 9 in 10 of the %d that the memory allows", m.made, possible)
			}
		})
	}
}

// Guards against forgetting the results of an upstream that leaves the list and comes back,
// or moves to another owner and back: its memory counted as free, and then as less than
// empty, so that it was filled beyond its size and refused pieces.
func TestResultsCountWhenTheirUpstreamComesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	u := Upstream{ID: "u1", DC: "a"}
	b := New(Config{Spec: spec()})
	b.SetUpstreams([]Upstream{u})
	at := now.Add(time.Minute)
	if _, err := b.Add(now, JobSpec{Request: "r", Count: 1, ResultBytes: 3_000_000, SoftDeadline: at, Deadline: at}); err != nil {
		t.Fatal(err)
	}
	calls := b.Next(now)
	b.Finish(now, calls[0].ID, Outcome{Items: []ItemOutcome{{Handle: "h"}}})
	b.SetUpstreams(nil)
	b.SetUpstreams([]Upstream{u})
	checkUsed(t, b, "u1", 3_000_000)
	b.ConfirmFreed([]string{"h"})
	checkUsed(t, b, "u1", 0)
}

func checkUsed(t *testing.T, b *Batcher, id string, want int) {
	t.Helper()
	if got := b.upstreamsByID[id].usedBytes; got != want {
		t.Errorf("%d bytes of %s are used, want %d", got, id, want)
	}
}
