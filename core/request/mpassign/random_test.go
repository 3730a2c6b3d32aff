package mpassign

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

// checkModel reports an error if the sums that a Pool keeps differ from what they sum up.
func checkModel(t *rapid.T, p *Pool) {
	flights, entries := map[*engine]int{}, 0
	own := map[*engine]int{}
	for _, f := range p.flights {
		flights[f.engine]++
		own[f.engine] += f.ownTokens
	}
	for _, e := range p.engines {
		cached, pinned, parts := 0, 0, 0
		for en := e.first; en != nil; en = en.next {
			entries++
			cached += en.part.tokens
			parts++
			if en.pins > 0 {
				pinned += en.part.tokens
			}
			if en.part.entries[en.at] != en || p.parts[en.part.hash] != en.part {
				t.Fatalf("%s: part %d is not found", e.id, en.part.hash)
			}
		}
		if e.flights != flights[e] || e.ownTokens != own[e] || e.cachedTokens != cached || e.cachedParts != parts || e.pinnedTokens != pinned {
			t.Fatalf("%s: %d requests, %d own, %d cached and %d pinned tokens, want %d, %d, %d and %d",
				e.id, e.flights, e.ownTokens, e.cachedTokens, e.pinnedTokens, flights[e], own[e], cached, pinned)
		}
		if cached > pinned && cached+e.ownTokens > p.cfg.CacheTokens {
			t.Fatalf("%s: %d cached and %d own tokens, of which %d are pinned", e.id, cached, e.ownTokens, pinned)
		}
		if rate := p.rateAt(e.at, e); !(rate > 0) || math.IsInf(rate, 0) {
			t.Fatalf("%s: rate %v", e.id, rate)
		}
		for i, f := range e.waiting {
			if f.state != waiting || f.finish < e.virtual-1e-6 || i > 0 && f.finish < e.waiting[i-1].finish {
				t.Fatalf("%s: request %d of those that wait ends at %v, now is %v", e.id, i, f.finish, e.virtual)
			}
		}
	}
	listed := 0
	for _, pt := range p.parts {
		listed += len(pt.entries)
	}
	if listed != entries {
		t.Fatalf("%d entries are listed, want %d", listed, entries)
	}
}

// Guards against sums that drift from what they sum up, over requests that end in any order, engines that
// come and go, and reports that are doubled, unknown or absurd.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(epoch, 3, Config{CacheTokens: 2000})
		now := epoch
		number := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		parts := func() []Part {
			var out []Part
			for range number("parts", 3) {
				out = append(out, Part{Hash: uint64(number("part", 6)), Tokens: 100 * number("tokens", 8)})
			}
			return out
		}
		setEngines := func(*rapid.T) {
			var rows []Row
			for i := range 5 {
				if rapid.Bool().Draw(t, "listed") {
					r := Row{ID: fmt.Sprint("e", i), Slots: number("slots", 3)}
					if rapid.Bool().Draw(t, "cold") {
						r.ColdUntil, r.ColdVMs = now.Add(time.Second), []string{"vm1"}
					}
					rows = append(rows, r)
				}
			}
			p.SetEngines(now, rows)
		}
		setEngines(t)
		t.Repeat(map[string]func(*rapid.T){
			"engines": setEngines,
			"time":    func(*rapid.T) { now = now.Add(time.Duration(number("ms", 400)) * time.Millisecond) },
			"assign": func(*rapid.T) {
				_, _, err := p.Assign(now, Request{
					Token: uint64(1 + number("token", 40)), VM: fmt.Sprint("vm", number("vm", 2)), Parts: parts(), OwnTokens: number("own", 600), OutputTokens: number("output", 50),
					Arrival: now.Add(time.Duration(number("delay", 300)) * time.Millisecond), Deadline: now.Add(time.Duration(1+number("left", 3000)) * time.Millisecond),
				})
				if err != nil {
					t.Fatal(err)
				}
			},
			"settle": func(*rapid.T) {
				p.Settle(now, uint64(number("token", 45)), Outcome{
					End: End(number("end", 8)), FirstToken: time.Duration(number("first", 500)) * time.Millisecond,
					Pace: rapid.OneOf(rapid.Just(0.0), rapid.Float64()).Draw(t, "pace"),
				})
			},
			"register": func(*rapid.T) {
				if err := p.Register(now, fmt.Sprint("vm", number("vm", 2)), []Held{{
					Token: uint64(1 + number("token", 40)), Engine: fmt.Sprint("e", number("engine", 6)), Parts: parts(), OwnTokens: number("own", 600),
					HasStarted: rapid.Bool().Draw(t, "started"), Ended: rapid.Bool().Draw(t, "ended"), Arrival: now, Deadline: now.Add(time.Second),
				}}); err != nil {
					t.Fatal(err)
				}
			},
			"expire": func(*rapid.T) { p.Expire(now) },
			"":       func(t *rapid.T) { checkModel(t, p) },
		})
		p.Expire(now.Add(time.Hour))
		checkModel(t, p)
		if p.Len() != 0 {
			t.Fatalf("%d assignments are left", p.Len())
		}
	})
}
