package mpquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/version/mpview"
)

var begin = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// request returns the traits of a request with the given parts and with content of its own.
func request(content uint64, parts ...string) Traits {
	t := Traits{Content: ContentFeature(content)}
	for _, p := range parts {
		t.Parts = append(t.Parts, PartFeature(p))
	}
	return t
}

// crash records that a new upstream ended at ms under a request that was sent 100 ms before,
// after the head of an answer.
func crash(l *Ledger, ms int, t Traits) {
	l.RecordCrash(at(ms), Crash{Upstream: fmt.Sprint("u", ms), SentAt: at(ms - 100), HasHead: true, Traits: t})
}

// sound records that an answer began at ms.
func sound(l *Ledger, ms int, t Traits) { l.RecordSound(at(ms), at(ms), t) }

func checkLevels(t *testing.T, l *Ledger, ms int, want map[string]Level) {
	t.Helper()
	got := map[string]Level{}
	for name := range want {
		f := PartFeature(name)
		got[name] = l.Judge(at(ms), Traits{Parts: []Feature{f}, Content: f}).Level
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("levels (-want +got):\n%s", diff)
	}
}

// Guards against blaming what requests that crash upstreams share with sound ones, and
// against not blaming what only they have in common.
func TestEvidence(t *testing.T) {
	t.Run("three rounds convict a part", func(t *testing.T) {
		l := New()
		for i, want := range []Level{Noted, Suspect, Convicted} {
			crash(l, 1000*(i+1), request(uint64(i), "all", "bad"))
			sound(l, 1000*(i+1)+100, request(99, "all", "other"))
			checkLevels(t, l, 5000, map[string]Level{"all": Clear, "bad": want, "other": Clear})
		}
	})
	t.Run("an upstream that ends in a trial without the head of an answer is no proof", func(t *testing.T) {
		l := New()
		for i, want := range []Level{Noted, Suspect, StrongSuspect, Convicted} {
			ms := 1000 * (i + 1)
			l.RecordCrash(at(ms), Crash{Upstream: fmt.Sprint("u", ms), SentAt: at(ms - 100), Traits: request(uint64(i), "bad")})
			checkLevels(t, l, ms, map[string]Level{"bad": want})
		}
	})
	t.Run("crashes under requests that were sent before the last round count once", func(t *testing.T) {
		l := New()
		for i := range 6 {
			l.RecordCrash(at(1000+i), Crash{Upstream: fmt.Sprint(i), SentAt: at(900), Traits: request(uint64(i), "bad")})
		}
		checkLevels(t, l, 2000, map[string]Level{"bad": Noted})
	})
	t.Run("an answer that begins after the last round clears", func(t *testing.T) {
		l := New()
		crash(l, 1000, request(1, "x"))
		l.RecordSound(at(1500), at(900), request(2, "x"))
		checkLevels(t, l, 1500, map[string]Level{"x": Noted})
		sound(l, 1500, request(2, "x"))
		checkLevels(t, l, 1500, map[string]Level{"x": Clear})
	})
	t.Run("a part that was just answered is not blamed beside one that was not", func(t *testing.T) {
		l := New()
		sound(l, 900, request(1, "all", "other"))
		crash(l, 1000, request(2, "all", "bad"))
		checkLevels(t, l, 1000, map[string]Level{"all": Clear, "bad": Noted})
	})
	t.Run("a part that was answered until now can turn bad", func(t *testing.T) {
		l := New()
		sound(l, 900, request(1, "all", "bad"))
		crash(l, 1000, request(2, "all", "bad"))
		checkLevels(t, l, 1000, map[string]Level{"all": Noted, "bad": Noted})
	})
	t.Run("a part that was cleared is not suspected soon again", func(t *testing.T) {
		l := New()
		for ms := 1000; ms <= 4000; ms += 1000 {
			crash(l, ms, request(uint64(ms), "x"))
			if ms == 1000 {
				sound(l, 1500, request(2, "x"))
			}
		}
		checkLevels(t, l, 4000, map[string]Level{"x": Noted})
	})
	t.Run("a request that is sent again is convicted by its content", func(t *testing.T) {
		l := New()
		for i := range 3 {
			crash(l, 1000*(i+1), request(7, "all"))
			sound(l, 1000*(i+1)+100, request(99, "all"))
		}
		if v := l.Judge(at(4000), request(7, "all")); v.Level != Convicted || v.Feature != ContentFeature(7) {
			t.Errorf("verdict %+v, want the content convicted", v)
		}
		if v := l.Judge(at(4000), request(8, "all")); v.Level != Clear {
			t.Errorf("another request with the same parts is %v", v.Level)
		}
	})
	t.Run("only the narrowest suspect of a request is convicted, and a later conviction explains it", func(t *testing.T) {
		l := New()
		for i := range 3 {
			crash(l, 1000*(i+1), request(uint64(i), "bad", "own"))
		}
		checkLevels(t, l, 3000, map[string]Level{"bad": Suspect, "own": Convicted})
		crash(l, 4000, request(8, "bad", "new"))
		checkLevels(t, l, 4000, map[string]Level{"bad": Convicted, "own": Clear})
	})
	t.Run("a wide suspect that came a little before a narrow one does not rise first", func(t *testing.T) {
		l := New()
		crash(l, 1000, request(1, "all", "bad"))
		l.RecordCrash(at(2000), Crash{Upstream: "u", SentAt: at(1900), Traits: request(2, "all")})
		l.RecordCrash(at(2100), Crash{Upstream: "v", SentAt: at(1950), Traits: request(3, "all", "bad")})
		checkLevels(t, l, 2100, map[string]Level{"all": Suspect, "bad": Suspect})
		crash(l, 3000, request(4, "all", "bad"))
		checkLevels(t, l, 3000, map[string]Level{"all": Suspect, "bad": Convicted})
	})
	t.Run("one upstream convicts one feature", func(t *testing.T) {
		l := New()
		for ms := 1000; ms <= 2000; ms += 1000 {
			crash(l, ms, request(uint64(ms), "x"))
			crash(l, ms+10, request(uint64(ms+10), "y"))
		}
		for i, part := range []string{"x", "y"} {
			l.RecordCrash(at(3000), Crash{Upstream: "both", SentAt: at(2900), HasHead: true, Traits: request(uint64(i), part)})
		}
		checkLevels(t, l, 3000, map[string]Level{"x": Convicted, "y": Suspect})
	})
	t.Run("nothing is convicted while other upstreams end", func(t *testing.T) {
		l := New()
		for ms := 1000; ms <= 3000; ms += 1000 {
			for i := range outageLimit + 1 {
				crash(l, ms-10*(i+1), request(uint64(ms+i), fmt.Sprint("p", ms, i)))
			}
			crash(l, ms, request(uint64(ms), "x"))
		}
		checkLevels(t, l, 3000, map[string]Level{"x": Suspect})
	})
}

// strikesOf returns the strikes of a view that raise each part to its level.
func strikesOf(levels map[string]Level) map[uint64]mpview.StrikeCount {
	out := map[uint64]mpview.StrikeCount{7 << 3: {Count: 1}} // A strike of another kind.
	for name, level := range levels {
		for _, n := range PartFeature(name).Fingerprints(level) {
			out[n] = mpview.StrikeCount{Count: 1, Until: at(60_000).UnixMilli()}
		}
	}
	return out
}

// Guards against a VM that judges otherwise than the evidence of the others says.
func TestStrikes(t *testing.T) {
	t.Run("a VM learns from the view", func(t *testing.T) {
		l := New()
		want := map[string]Level{"a": Noted, "b": Suspect, "c": Convicted}
		convicted, _ := l.SetStrikes(at(0), strikesOf(want))
		checkLevels(t, l, 0, want)
		if diff := cmp.Diff([]Feature{PartFeature("c")}, convicted); diff != "" {
			t.Errorf("learnt convictions (-want +got):\n%s", diff)
		}
		if v := l.Judge(at(0), request(1, "c")); !v.Until.Equal(at(60_000)) {
			t.Errorf("conviction until %v, want %v", v.Until, at(60_000))
		}
		l.SetStrikes(at(10), strikesOf(nil))
		checkLevels(t, l, 10, map[string]Level{"a": Clear, "b": Clear, "c": Clear})
	})
	t.Run("one more crash convicts after a conviction ended", func(t *testing.T) {
		l := New()
		l.SetStrikes(at(0), strikesOf(map[string]Level{"x": Convicted}))
		l.SetStrikes(at(1000), strikesOf(map[string]Level{"x": Suspect}))
		checkLevels(t, l, 1000, map[string]Level{"x": Suspect})
		crash(l, 2000, request(1, "x"))
		checkLevels(t, l, 2000, map[string]Level{"x": Convicted})
	})
	t.Run("evidence that could not be handed on is kept for a while", func(t *testing.T) {
		l := New()
		crash(l, 1000, request(1, "x"))
		l.SetStrikes(at(1100), strikesOf(nil))
		checkLevels(t, l, 1200, map[string]Level{"x": Noted})
		checkLevels(t, l, 1000+int(EvidenceTTL.Milliseconds())+1, map[string]Level{"x": Clear})
	})
	t.Run("a conviction from the view explains one of this VM", func(t *testing.T) {
		l := New()
		for i := range 3 {
			crash(l, 1000*(i+1), request(uint64(i), "bad", "own"))
		}
		_, cleared := l.SetStrikes(at(4000), strikesOf(map[string]Level{"bad": Convicted, "own": Convicted}))
		if diff := cmp.Diff([]Feature{PartFeature("own")}, cleared); diff != "" {
			t.Errorf("cleared (-want +got):\n%s", diff)
		}
	})
}

// Guards against two trials of a suspect at once, and against none after the first.
func TestTrials(t *testing.T) {
	l, f := New(), PartFeature("x")
	done, busy := l.BeginTrial(f)
	if done == nil || busy != nil {
		t.Fatal("the first trial does not start")
	}
	again, busy := l.BeginTrial(f)
	if again != nil || busy == nil {
		t.Fatal("a second trial starts beside the first")
	}
	done()
	done()
	<-busy
	if done, _ := l.BeginTrial(f); done == nil {
		t.Error("no trial starts after the first has ended")
	}
}

// Guards against memory that grows with the number of crashes or of parts.
func TestBounds(t *testing.T) {
	l := New()
	for i := range 3 * maxRecords {
		crash(l, i, request(uint64(i), fmt.Sprint(i)))
		sound(l, i, request(0, fmt.Sprint("s", i)))
	}
	if len(l.records) > maxRecords || len(l.soundAt) > maxMemory || len(l.ends) > int(outageWindow.Milliseconds())+1 {
		t.Errorf("%d records, %d answered parts and %d ended upstreams are kept", len(l.records), len(l.soundAt), len(l.ends))
	}
}
