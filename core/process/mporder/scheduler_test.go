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

// message is an order in flight to the upstream.
type message struct {
	fence uint64
	// latestArrival is the latest time at which it can arrive.
	latestArrival time.Time
}

// TestRandom checks that no order takes effect after a newer one, although leaders change
// and orders arrive late, for upstreams that check the fencing number and for others.
func TestRandom(t *testing.T) {
	for _, fence := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing number checked %t", fence), func(t *testing.T) {
			applied := 0
			rapid.Check(t, func(t *rapid.T) {
				view := testView(t, fence)
				now := time.Unix(100, 0)
				scheduler := NewScheduler(now)
				var inFlight []message
				var order mpstate.OrderRecord
				lastApplied := uint64(0)
				arrive := func(i int) {
					m := inFlight[i]
					inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
					if m.fence < lastApplied && fence {
						return
					}
					if m.fence < lastApplied {
						t.Fatalf("order %d took effect after %d", m.fence, lastApplied)
					}
					lastApplied = m.fence
					applied++
				}
				advance := func(d time.Duration) {
					now = now.Add(d)
					for i := len(inFlight) - 1; i >= 0; i-- {
						if now.After(inFlight[i].latestArrival) {
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
						for _, o := range scheduler.Next(now, []mpstate.OrderRecord{order}, view) {
							// The attempt ends within SendTimeout, and the message
							// arrives within MaxDeliveryDelay after that.
							took := time.Duration(rapid.IntRange(0, int(SendTimeout/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
							answered := rapid.Bool().Draw(t, "answered")
							inFlight = append(inFlight, message{o.Fence, now.Add(took + MaxDeliveryDelay)})
							if answered {
								arrive(len(inFlight) - 1)
								order.State = mpstate.OrderDone
							}
							advance(took)
							scheduler.RecordResult(now, "up", answered)
						}
					},
					"arrive": func(t *rapid.T) {
						if len(inFlight) > 0 {
							arrive(rapid.IntRange(0, len(inFlight)-1).Draw(t, "message"))
						}
					},
					"elect": func(t *rapid.T) {
						if rapid.IntRange(0, 19).Draw(t, "rare") == 0 {
							scheduler = NewScheduler(now)
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
