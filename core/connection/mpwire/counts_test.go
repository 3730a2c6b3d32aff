package mpwire

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"mustardpost.org/core/version/mprollout"
)

// Guards against a leader that judges by other counts than the VMs sent.
func TestCounts(t *testing.T) {
	full := mprollout.Counts{
		ID: "i", Pool: "p", Version: "v2", Route: "r", Serial: 7, Phase: mprollout.PhaseShift,
		Answers: 9, Failures: 3, Lost: 2, Running: 4,
	}
	full.Latency[0], full.Latency[5] = 1, 8
	last := full
	last.Latency[mprollout.Buckets-1], last.Waiting[3] = 5, 6
	want := []mprollout.Counts{{ID: "i", Pool: "p", Serial: 7, Phase: mprollout.PhaseShift}, full, last}
	data, err := proto.Marshal(&ReportRequest{Counts: EncodeCounts(want)})
	if err != nil {
		t.Fatal(err)
	}
	var got ReportRequest
	if err := proto.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, DecodeCounts(got.GetCounts())); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	t.Run("more buckets than there are", func(t *testing.T) {
		rows := DecodeCounts([]*Count{{Latencies: make([]uint32, mprollout.Buckets+1), Waiting: make([]uint32, mprollout.Buckets+1)}})
		if diff := cmp.Diff([]mprollout.Counts{{}}, rows); diff != "" {
			t.Errorf("counts (-want +got):\n%s", diff)
		}
	})
}
