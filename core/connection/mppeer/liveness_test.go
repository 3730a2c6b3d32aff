package mppeer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func at(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }

func checkTime(t *testing.T, want, got time.Time) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("time (-want +got):\n%s", diff)
	}
}

// Guards against a connection that went silent being waited on until its calls time out, and against
// one that works being closed.
func TestLiveness(t *testing.T) {
	const hold = 800 * time.Millisecond
	t.Run("a call is checked once it should have been answered", func(t *testing.T) {
		l := newLiveness()
		due, _ := l.NextCheck(l.Begin(at(0), 0), at(-time.Hour))
		checkTime(t, at(quietTime), due)
		due, _ = l.NextCheck(l.Begin(at(0), hold), at(-time.Hour))
		checkTime(t, at(hold+quietTime), due)
	})
	t.Run("bytes that arrive put the check off", func(t *testing.T) {
		l := newLiveness()
		due, _ := l.NextCheck(l.Begin(at(0), 0), at(time.Second))
		checkTime(t, at(time.Second+quietTime), due)
	})
	t.Run("a call that has ended is not checked", func(t *testing.T) {
		l := newLiveness()
		call := l.Begin(at(0), 0)
		l.End(call)
		if _, ok := l.NextCheck(call, at(0)); ok || l.IsBusy() {
			t.Error("the call counts as outstanding")
		}
	})
	t.Run("one probe at a time", func(t *testing.T) {
		l := newLiveness()
		if _, ok := l.StartProbe(at(0)); !ok {
			t.Error("the first probe is not sent")
		}
		if _, ok := l.StartProbe(at(0)); ok {
			t.Error("a second probe is sent")
		}
	})
	t.Run("a peer that answers a probe is probed again later", func(t *testing.T) {
		l := newLiveness()
		call := l.Begin(at(0), 0)
		l.StartProbe(at(quietTime))
		if l.EndProbe(at(quietTime+time.Millisecond), at(quietTime+time.Millisecond)) {
			t.Error("the connection counts as silent")
		}
		due, _ := l.NextCheck(call, at(quietTime+time.Millisecond))
		checkTime(t, at(quietTime+time.Millisecond+probeInterval), due)
	})
	t.Run("any bytes that arrive during a probe are a sign of life", func(t *testing.T) {
		l := newLiveness()
		l.StartProbe(at(0))
		if l.EndProbe(at(probeTimeout), at(time.Millisecond)) {
			t.Error("the connection counts as silent")
		}
	})
	t.Run("a probe that ends early, without an answer, shows nothing", func(t *testing.T) {
		l := newLiveness()
		l.StartProbe(at(0))
		if l.EndProbe(at(time.Millisecond), at(-time.Second)) {
			t.Error("the connection counts as silent")
		}
	})
	for name, c := range map[string]struct {
		answered bool
		pause    time.Duration
		want     []time.Duration
	}{
		"a peer that does not answer on a new connection either gets more time": {false, time.Second, []time.Duration{1, 2, 4, 8, 8}},
		"a peer whose connection is silent again soon gets more time":           {true, time.Second, []time.Duration{1, 1, 2, 4, 8, 8}},
		"a peer whose connection is silent now and then gets no more":           {true, settleTime + time.Second, []time.Duration{1, 1, 1}},
		"a peer that was down long ago gets no more":                            {false, settleTime + time.Second, []time.Duration{1, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLiveness()
			var got []time.Duration
			now := at(0)
			for range c.want {
				now = now.Add(c.pause)
				timeout, _ := l.StartProbe(now)
				now = now.Add(timeout)
				if !l.EndProbe(now, at(-time.Second)) {
					t.Errorf("silent for %v does not count", timeout)
				}
				l.Confirm(now, c.answered)
				got = append(got, timeout/probeTimeout)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("timeouts, in probeTimeout (-want +got):\n%s", diff)
			}
		})
	}
}
