package mpusage

import (
	"bytes"
	"math"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
)

func TestQuantile(t *testing.T) {
	h := &metrics.Float64Histogram{
		Counts:  []uint64{90, 9, 1},
		Buckets: []float64{math.Inf(-1), 0.001, 0.01, math.Inf(1)},
	}
	for _, tc := range []struct {
		name   string
		q      float64
		before []uint64
		want   time.Duration
	}{
		{"all values", 0.99, nil, 10 * time.Millisecond},
		{"last bucket", 1, nil, 10 * time.Millisecond},
		{"first bucket", 0.5, nil, time.Millisecond},
		{"only new values", 0.5, []uint64{90, 8, 1}, 10 * time.Millisecond},
		{"no new values", 0.5, []uint64{90, 9, 1}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, quantile(tc.q, h, tc.before)); diff != "" {
				t.Errorf("quantile differs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLogCountsOnlyWhatIsNew(t *testing.T) {
	var out bytes.Buffer
	set := mpmetric.New()
	start := time.Unix(100, 0)
	set.Add(PeerOut, 10)
	m := NewMonitor(start, Config{Metrics: set, Logger: mplog.New(&out, "info")})
	set.Add(PeerOut, 7)
	set.Add(UpstreamIn, 5)
	m.Log(start.Add(2 * time.Second))
	for _, want := range []string{"msg=usage", " over=2s ", " upstream.in=5 ", " peer.out=7 "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("line lacks %q: %s", want, out.String())
		}
	}
}
