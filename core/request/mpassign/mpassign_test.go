package mpassign

import (
	"testing"
	"time"
)

// run simulates a load, with the choice of an owner or with that of 81 VMs, and logs the figures.
func run(t *testing.T, seed uint64, l fleetLoad) figures {
	t.Helper()
	f := newFleet(seed, l)
	f.run()
	g := f.figures()
	t.Logf("local %v: %d requests with %.1f M tokens; %v", l.local, f.sent, f.prompt/1e6, g)
	return g
}

// Guards against a hot part that stays on one engine, since each VM sees only its own requests, and
// against engines that refuse requests while others have room.
func TestHotPart(t *testing.T) {
	l := fleetLoad{engines: 16, vms: 81, rate: 220, length: 30 * time.Second, kinds: usualKinds, speeds: []float64{0.6, 1, 1.6}, varies: true, hot: 0.3, reportDelay: 50}
	l.local = true
	before := run(t, 1, l)
	l.local = false
	after := run(t, 1, l)
	if after.busiestWork > 1.3 || after.readAgain > 3e6 || after.refusals > 0 || after.p90 > before.p90 {
		t.Errorf("%v", after)
	}
}
