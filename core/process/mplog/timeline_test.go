package mplog

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

const ownerLog = `level=info at=2026-12-04T05:00:00.5Z vm=b msg=batch pool=p upstream=u9 call=7 pieces=8 took=280ms ending=0
level=info at=2026-12-04T05:00:00.51Z vm=b msg=stage id=r1 pool=p stage=0 pieces=2 first=10ms last=10ms took=300ms calls=7,8 err=null
level=info at=2026-12-04T05:00:00.51Z vm=b msg=stage id=r2 pool=p stage=0 pieces=2 calls=7 err=null
`

const shardsLog = `level=info at=2026-12-04T05:00:00.1Z vm=b msg=batch pool=p shard=0/2 upstream=u1 call=1
level=info at=2026-12-04T05:00:00.2Z vm=b msg=batch pool=p shard=1/2 upstream=u2 call=1
level=info at=2026-12-04T05:00:00.3Z vm=b msg=batch pool=q shard=1/2 upstream=u3 call=1
level=info at=2026-12-04T05:00:00.4Z vm=b msg=stage id=r1 pool=p shard=1/2 stage=0 calls=1
level=info at=2026-12-04T05:00:00.5Z vm=b msg=stage id=r1 pool=q shard=1/2 stage=1 calls=1
`

const requestLog = `   28.1 front-a level=info at=2026-12-04T05:00:00.7Z vm=a msg=request id=r1 route=x status=502 reason="send: connection reset" upstream=u1 sends=1 stages=320ms took=650ms
level=warn msg="log lines dropped" at=2026-12-04T05:00:01Z vm=a lines=12
`

func messages(timeline Timeline) []string {
	var out []string
	for _, l := range timeline.Lines {
		out = append(out, l.VM+" "+l.Msg)
	}
	return out
}

func checkTimeline(t *testing.T, timeline Timeline, want, gaps []string) {
	t.Helper()
	if diff := cmp.Diff(want, messages(timeline)); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(gaps, timeline.Gaps); diff != "" {
		t.Errorf("gaps (-want +got):\n%s", diff)
	}
}

func TestExplain(t *testing.T) {
	t.Run("events of a request on two VMs are ordered by time", func(t *testing.T) {
		timeline, err := Explain("r1", strings.NewReader(requestLog), strings.NewReader(ownerLog))
		if err != nil {
			t.Fatal(err)
		}
		checkTimeline(t, timeline, []string{"b batch", "b stage", "a request"}, []string{
			"no line for call 8 to pool p by b: the call had not finished, or its line was lost", "a dropped 12 log lines around that time",
		})
		var text strings.Builder
		if err := timeline.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		if want := "0.200 s  a                    request route=x status=502 reason=send: connection reset"; !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing in\n%s", want, text.String())
		}
	})
	t.Run("a missing log is reported as a gap", func(t *testing.T) {
		timeline, err := Explain("r1", strings.NewReader(requestLog))
		if err != nil {
			t.Fatal(err)
		}
		checkTimeline(t, timeline, []string{"a request"}, []string{
			"the request spent 320ms in stages, but there is no line about a stage: the log of the pool's owner is not among the files",
			"a dropped 12 log lines around that time",
		})
	})
	t.Run("a request without an end is reported as a gap", func(t *testing.T) {
		timeline, err := Explain("r2", strings.NewReader(ownerLog))
		if err != nil {
			t.Fatal(err)
		}
		checkTimeline(t, timeline, []string{"b batch", "b stage"}, []string{
			"no line for the end of the request: its VM stopped before that, or the log of its VM is not among the files",
		})
	})
	// Each shard of each pool numbers its calls from 1, and one VM may own several.
	t.Run("calls of another shard or pool of the same VM are left out", func(t *testing.T) {
		timeline, err := Explain("r1", strings.NewReader(shardsLog))
		if err != nil {
			t.Fatal(err)
		}
		var upstreams []string
		for _, l := range timeline.Lines {
			if l.Msg == "batch" {
				upstreams = append(upstreams, l.Get("upstream"))
			}
		}
		if diff := cmp.Diff([]string{"u2", "u3"}, upstreams); diff != "" {
			t.Errorf("upstreams of the calls (-want +got):\n%s", diff)
		}
	})
	t.Run("an unknown request is an error", func(t *testing.T) {
		if _, err := Explain("r3", strings.NewReader(ownerLog)); !errors.Is(err, mperror.ErrNotFound) {
			t.Errorf("got %v, want ErrNotFound", err)
		}
	})
}

// Guards against a refusal of which the log does not tell that upstreams named a rate.
func TestLimitsAreExplained(t *testing.T) {
	const log = `level=info at=2026-01-01T00:00:01Z vm=a msg="upstream limit" upstream=u1 was=0 rate=2 from=answer
level=info at=2026-01-01T00:00:02Z vm=a msg="upstream limit" upstream=u1 was=2 rate=1 from=answer
level=info at=2026-01-01T00:00:02Z vm=a msg="upstream limit" upstream=u2 was=0 rate=1 from=peer
level=info at=2026-01-01T00:00:03Z vm=a msg="upstream limit" upstream=u2 was=1 rate=0 from=peer
level=info at=2026-01-01T00:00:03Z vm=b msg="upstream limit" upstream=u3 was=0 rate=1 from=peer
level=info at=2026-01-01T00:00:04Z vm=a msg=request id=r1 status=503 reason="upstream limit: no usable upstream"
level=info at=2026-01-01T00:00:05Z vm=a msg="upstream limit" upstream=u1 was=1 rate=0 from=answer
`
	timeline, err := Explain("r1", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range timeline.Lines {
		got = append(got, l.Msg+" "+l.Get("upstream")+" "+l.Get("rate"))
	}
	if diff := cmp.Diff([]string{"upstream limit u1 1", "request  "}, got); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
}
