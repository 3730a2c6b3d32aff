package mporder

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

func testView(t *rapid.T, fence bool) *mpview.View {
	doc := mpcatalogue.Document{
		DCs:       []mpcatalogue.DC{{Name: "north"}},
		Pools:     []mpcatalogue.Pool{{Name: "engine", Kind: mpcatalogue.Generate, Limit: 1, Fence: fence}},
		Upstreams: []mpcatalogue.Upstream{{Name: "up", Pool: "engine", DC: "north", Address: "127.0.0.1:9"}},
	}
	v, err := mpview.Empty().Apply(mpview.Edit{Edit: mpcatalogue.Edit{Put: doc}})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// message is an order on its way to the upstream.
type message struct {
	fence uint64
	// late is the last moment at which it can arrive.
	late time.Time
}

// TestRandom checks that no order takes effect after a newer one, with leaders
// that change and orders that arrive late, at upstreams that check the fencing
// number and at ones that do not.
func TestRandom(t *testing.T) {
	for _, fence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %t", fence), func(t *testing.T) {
			applied := 0
			rapid.Check(t, func(t *rapid.T) {
				view := testView(t, fence)
				now := time.Unix(100, 0)
				plan := NewPlan(now)
				var flight []message
				var order mpstate.OrderRecord
				highest := uint64(0)
				arrive := func(i int) {
					m := flight[i]
					flight = append(flight[:i:i], flight[i+1:]...)
					if m.fence < highest && fence {
						return
					}
					if m.fence < highest {
						t.Fatalf("order %d took effect after %d", m.fence, highest)
					}
					highest = m.fence
					applied++
				}
				advance := func(d time.Duration) {
					now = now.Add(d)
					for i := len(flight) - 1; i >= 0; i-- {
						if now.After(flight[i].late) {
							arrive(i)
						}
					}
				}
				t.Repeat(map[string]func(*rapid.T){
					"order": func(*rapid.T) {
						order = mpstate.OrderRecord{Fence: order.Fence + 1, State: mpstate.OrderPending,
							Order: mpstate.Order{Upstream: "up", Action: mpstate.ActionLoad}}
					},
					"send": func(t *rapid.T) {
						for _, o := range plan.Next(now, []mpstate.OrderRecord{order}, view) {
							// The attempt ends within its bound, and the message
							// arrives within the settle time after that.
							took := time.Duration(rapid.IntRange(0, int(SendWithin/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
							answered := rapid.Bool().Draw(t, "answered")
							flight = append(flight, message{o.Fence, now.Add(took + Settle)})
							if answered {
								arrive(len(flight) - 1)
								order.State = mpstate.OrderDone
							}
							advance(took)
							plan.Ended(now, "up", answered)
						}
					},
					"arrive": func(t *rapid.T) {
						if len(flight) > 0 {
							arrive(rapid.IntRange(0, len(flight)-1).Draw(t, "message"))
						}
					},
					"elect": func(t *rapid.T) {
						if rapid.IntRange(0, 19).Draw(t, "rare") == 0 {
							plan = NewPlan(now)
						}
					},
					"wait": func(t *rapid.T) {
						advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
					},
				})
			})
			t.Logf("%d orders took effect", applied)
		})
	}
}
