package mpbatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mustardpost.org/core/version/mproute"
)

// memory plays upstreams whose memory is nearly always full, with results that
// are a quarter larger or smaller than the plan says.
type memory struct {
	*sim
	rand *rand.Rand
	// taken is the real memory of each upstream's results, sizes that of each result.
	taken map[string]int
	sizes map[string]int
	// read is when the readers of a result are done with it.
	read map[string]time.Time
	made int
	vain int
	outs map[uint64]Outcome
}

const (
	// resultBytes, resultRoom and resultLife are those of the second stage on a
	// deployment of the users: 21 results fit, and are read within about half a second.
	resultBytes = 60_000
	resultRoom  = 1_300_000
	resultLife  = 450 * time.Millisecond
)

func newMemory(t *testing.T, seed uint64) *memory {
	s := mproute.BatchSpec{Size: 8, Call: 150 * time.Millisecond, Item: 16 * time.Millisecond, Room: resultRoom, Keep: 4 * time.Second}
	var ups []Upstream
	for i := range 5 {
		ups = append(ups, Upstream{ID: fmt.Sprint("u", i), DC: "a"})
	}
	return &memory{
		sim: newSim(t, s, ups...), rand: rand.New(rand.NewPCG(seed, 3)),
		taken: map[string]int{}, sizes: map[string]int{}, read: map[string]time.Time{}, outs: map[uint64]Outcome{},
	}
}

// step starts the calls that are due. Space for a result is taken, or refused,
// when its call begins.
func (m *memory) step() {
	for _, c := range m.g.Next(m.now) {
		out := Outcome{}
		for _, it := range c.Items {
			size := resultBytes*3/4 + m.rand.IntN(resultBytes/2)
			if m.taken[c.Upstream.ID]+size > resultRoom {
				m.vain++
				out.Items = append(out.Items, ItemOutcome{Reason: ReasonNoMemory})
				continue
			}
			h := fmt.Sprint(c.Upstream.ID, "/", it.Request, "-", it.Number, "-", c.ID)
			m.taken[c.Upstream.ID] += size
			m.sizes[h] = size
			out.Items = append(out.Items, ItemOutcome{Handle: h})
		}
		m.calls = append(m.calls, c)
		m.ends[c.ID] = m.now.Add(m.g.cfg.Spec.Length(len(c.Items)))
		m.outs[c.ID] = out
	}
}

// run plays for d, with a job of seven pieces every gap.
func (m *memory) run(d, gap time.Duration) {
	next, until := m.now, m.now.Add(d)
	for n := 0; m.now.Before(until); m.now = m.now.Add(time.Millisecond) {
		if !m.now.Before(next) {
			n++
			next = next.Add(gap)
			_, _ = m.g.Add(m.now, JobSpec{
				Request: fmt.Sprint("r", n), Stage: 1, Count: 7, Inputs: []string{"in"}, ResultBytes: resultBytes,
				SoftDeadline: m.now.Add(time.Second), Deadline: m.now.Add(5 * time.Second),
			})
		}
		for _, c := range slices.Clone(m.calls) {
			if m.ends[c.ID].After(m.now) {
				continue
			}
			m.calls = slices.DeleteFunc(m.calls, func(o Call) bool { return o.ID == c.ID })
			for _, made := range m.outs[c.ID].Items {
				if made.Handle != "" {
					m.made++
					m.read[made.Handle] = m.now.Add(resultLife)
				}
			}
			m.g.Finish(m.now, c.ID, m.outs[c.ID])
		}
		m.free()
		m.step()
	}
}

// free gives up the results that have been read.
func (m *memory) free() {
	for h, at := range m.read {
		if m.now.Before(at) {
			continue
		}
		delete(m.read, h)
		m.g.Free([]string{h})
	}
	gone := m.g.TakePendingFrees()
	for _, h := range gone {
		delete(m.read, h)
		m.taken[h[:2]] -= m.sizes[h]
	}
	m.g.ConfirmFreed(gone)
}

// The calm day of a deployment whose second stage is short of memory: results
// are larger or smaller than the plan says, so upstreams that were filled to the
// last byte refused pieces. Each refusal cost the request all of its earlier
// stages, since the inputs were gone, and the upstream counted as full for 0.7 s.
func TestSizesVary(t *testing.T) {
	const played = 20 * time.Second
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newMemory(t, seed)
			m.run(played, 45*time.Millisecond)
			if m.vain*100 > m.made {
				t.Errorf("%d pieces found no room, %d were made; want 1 in 100 at most", m.vain, m.made)
			}
			// A result takes up memory for a full call and its life.
			cycle := m.g.cfg.Spec.Length(8) + resultLife
			possible := int(played/cycle) * 5 * (resultRoom / resultBytes)
			if m.made*10 < possible*9 {
				t.Errorf("%d pieces were made, want 9 in 10 of the %d that the memory allows", m.made, possible)
			}
		})
	}
}
