package mplead

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mplist"
)

// addedForm returns which form of the list a VM gets, and its size in bytes.
func addedForm(t *testing.T, e *encodings, r *mpwire.RenewRequest, list *mplist.List) (form string, size int) {
	t.Helper()
	var reply mpwire.RenewReply
	if err := e.addList(time.Unix(1000, 0), &reply, r, list); err != nil {
		t.Fatal(err)
	}
	form = "none"
	for name, data := range map[string][]byte{"whole": reply.GetUpstreams(), "packed": reply.GetPacked(), "patch": reply.GetPatch()} {
		if len(data) > 0 {
			form = name
		}
	}
	return form, proto.Size(&reply)
}

// Guards against a VM that gets the list in a form that it does not read, or whole with each change.
func TestFormsOfTheList(t *testing.T) {
	rows := fleetRows()
	before, now := mplist.New(time.Unix(1000, 0), rows), mplist.New(time.Unix(1000, 0), rows[1:])
	e := &encodings{}
	e.keep(before)
	for name, c := range map[string]struct {
		request *mpwire.RenewRequest
		want    string
	}{
		"a VM of an earlier build":                {&mpwire.RenewRequest{Listed: before.Hash()}, "whole"},
		"a VM that joins":                         {&mpwire.RenewRequest{Packs: true}, "packed"},
		"a VM with the list before":               {&mpwire.RenewRequest{Packs: true, Listed: before.Hash()}, "patch"},
		"a VM with a list that it read by itself": {&mpwire.RenewRequest{Packs: true, Listed: 7}, "packed"},
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := addedForm(t, e, c.request, now)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("form (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a list that is sent whole to all VMs with each change of a row: while upstreams of
// a data centre with 500 of 3,000 ended and came back, that was 0.5 MB a second for each VM.
func TestLostDCInALargeFleet(t *testing.T) {
	const (
		reads = 14
		// changed is the number of upstreams that have ended or come back at each read.
		changed = 70
		// maxBytesPerSecond is what control may cost a VM.
		maxBytesPerSecond = 20_000
	)
	rows, e := fleetRows(), &encodings{}
	listed, total := uint64(0), 0
	for read := range reads {
		var current []mplist.Row
		for i, r := range rows {
			if i >= read*changed && i < (read+2)*changed {
				continue // It has ended.
			}
			if i < read*changed {
				r.ID = fmt.Sprint("again-", i)
			}
			current = append(current, r)
		}
		list := mplist.New(time.Unix(1000, 0), current)
		_, size := addedForm(t, e, &mpwire.RenewRequest{Packs: true, Listed: listed}, list)
		if read > 0 {
			total += size
		}
		listed = list.Hash()
		e.keep(list)
	}
	took := (reads - 1) * upstreamListInterval.Seconds()
	if got := float64(total) / took; got > maxBytesPerSecond {
		t.Errorf("a VM gets %.0f B/s, want at most %d", got, maxBytesPerSecond)
	}
}
