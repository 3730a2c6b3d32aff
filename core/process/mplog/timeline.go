package mplog

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"mustardpost.org/core/common/mperror"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Messages of summary lines, each of which covers several requests.
const (
	// MsgRequestsNotServed covers requests that got an error response from a VM instead of a
	// response from an upstream.
	MsgRequestsNotServed = "requests not served"
	// MsgStagesRefused covers requests that the owner of a stage refused.
	MsgStagesRefused = "stages refused"
	// MsgAttemptsFailed covers requests for which an attempt at an upstream failed.
	MsgAttemptsFailed = "attempts failed"
	// MsgClientsLimited covers connections of clients on which a limit acted. Its IDs are their
	// addresses.
	MsgClientsLimited = "clients limited"
)

// MsgCrashEvidence is the message of lines about an upstream that ended under a request.
// Refusals name the same feature.
const MsgCrashEvidence = "crash evidence"

// MsgLimit is the message of lines about the rate that an upstream names. Refusals for which
// no rate allowed a request have it in their reason.
const MsgLimit = "upstream limit"

// MsgEngineOwner is the message of lines about a VM that becomes the owner of a pool of engines.
const MsgEngineOwner = "owner of engines"

// MsgTrial is the message of lines about a request that was sent as the trial of a feature.
const MsgTrial = "trial"

// Field is a key and its value.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is a parsed line of a process's log.
type Line struct {
	At     time.Time `json:"at"`
	VM     string    `json:"vm"`
	Msg    string    `json:"msg"`
	Fields []Field   `json:"fields"`
}

// Get returns the value of key, or "".
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Timeline holds the events of one request, taken from the logs of the VMs.
type Timeline struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"`
	// Gaps describes what is missing from the logs.
	Gaps []string `json:"gaps"`
}

// Explain collects the lines about the request with the given ID from logs, ordered by
// time, including the batch calls that ran its pieces, and the evidence or the limits of
// upstreams for which it was refused. It returns an error that wraps ErrNotFound if no line
// names the request.
func Explain(id string, logs ...io.Reader) (Timeline, error) {
	t := Timeline{ID: id, Gaps: []string{}}
	var calls, drops, evidence, limits []Line
	for _, r := range logs {
		if err := readLines(r, func(l Line) {
			switch {
			case l.Get("id") == id, isSummary(l) && slices.Contains(strings.Split(l.Get("ids"), ","), id):
				t.Lines = append(t.Lines, l)
			case l.Msg == "batch":
				calls = append(calls, l)
			case l.Msg == MsgCrashEvidence, l.Msg == MsgTrial:
				evidence = append(evidence, l)
			case l.Msg == MsgLimit:
				limits = append(limits, l)
			case l.Msg == "log lines dropped":
				drops = append(drops, l)
			}
		}); err != nil {
			return t, err
		}
	}
	if len(t.Lines) == 0 {
		return t, mperror.Wrap(mperror.ErrNotFound, "request %s", id)
	}
	t.addBatchCalls(calls)
	t.addEvidence(evidence)
	t.addLimits(limits)
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	t.findGaps(drops)
	return t, nil
}

func isSummary(l Line) bool {
	return l.Msg == MsgRequestsNotServed || l.Msg == MsgStagesRefused || l.Msg == MsgAttemptsFailed
}

func readLines(r io.Reader, f func(Line)) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scan.Scan() {
		if l, ok := parseLine(scan.Text()); ok {
			f(l)
		}
	}
	return mperror.Wrap(scan.Err(), "read log")
}

// parseLine parses a logfmt line. It skips anything before the level, since a log
// collector may add a prefix.
func parseLine(text string) (Line, bool) {
	if i := strings.Index(text, "level="); i > 0 {
		text = text[i:]
	}
	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return Line{}, false
	}
	var l Line
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "at":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			l.At = at
		case "vm":
			if l.VM == "" {
				l.VM = value
				continue
			}
			l.Fields = append(l.Fields, Field{key, value})
		case "msg":
			l.Msg = value
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	return l, d.Err() == nil && l.Msg != ""
}

// addBatchCalls adds the lines of the calls that the request's stages refer to.
func (t *Timeline) addBatchCalls(calls []Line) {
	for _, l := range slices.Clone(t.Lines) {
		if l.Msg != "stage" {
			continue
		}
		for call := range strings.SplitSeq(l.Get("calls"), ",") {
			matches := func(c Line) bool {
				return c.Msg == "batch" && c.VM == l.VM && c.Get("pool") == l.Get("pool") && c.Get("shard") == l.Get("shard") && c.Get("call") == call
			}
			i := slices.IndexFunc(calls, matches)
			switch {
			case call == "":
			case i < 0:
				t.Gaps = append(t.Gaps, fmt.Sprintf("no line for call %s to pool %s by %s: the call had not finished, or its line was lost", call, l.Get("pool"), l.VM))
			case !slices.ContainsFunc(t.Lines, matches):
				t.Lines = append(t.Lines, calls[i])
			}
		}
	}
}

// addEvidence adds the evidence against the features for which the request was refused, and
// their trials.
func (t *Timeline) addEvidence(evidence []Line) {
	for _, l := range slices.Clone(t.Lines) {
		for _, e := range evidence {
			if feature := e.Get("feature"); feature != "" && strings.Contains(l.Get("reason")+l.Get("cause"), feature) {
				t.Lines = append(t.Lines, e)
			}
		}
	}
}

// addLimits adds the limits that the request's VM knew when it refused the request for them.
func (t *Timeline) addLimits(limits []Line) {
	for _, l := range slices.Clone(t.Lines) {
		if !strings.Contains(l.Get("reason")+l.Get("cause"), MsgLimit) {
			continue
		}
		known := map[string]Line{}
		for _, limit := range limits {
			last, ok := known[limit.Get("upstream")]
			if limit.VM == l.VM && !limit.At.After(l.At) && (!ok || limit.At.After(last.At)) {
				known[limit.Get("upstream")] = limit
			}
		}
		for _, limit := range known {
			if limit.Get("rate") != "0" {
				t.Lines = append(t.Lines, limit)
			}
		}
	}
}

func (t *Timeline) findGaps(drops []Line) {
	end := slices.IndexFunc(t.Lines, func(l Line) bool { return l.Msg == "request" || l.Msg == MsgRequestsNotServed })
	if end < 0 {
		t.Gaps = append(t.Gaps, "no line for the end of the request: its VM stopped before that, or the log of its VM is not among the files")
	} else if took, err := time.ParseDuration(t.Lines[end].Get("stages")); err == nil && took > 0 &&
		!slices.ContainsFunc(t.Lines, func(l Line) bool { return strings.HasPrefix(l.Msg, "stage") }) {
		t.Gaps = append(t.Gaps, "the request spent "+took.String()+" in stages, but there is no line about a stage: the log of the pool's owner is not among the files")
	}
	first, last := t.Lines[0].At, t.Lines[len(t.Lines)-1].At
	for _, d := range drops {
		if d.At.After(first.Add(-time.Second)) && d.At.Before(last.Add(time.Second)) {
			t.Gaps = append(t.Gaps, fmt.Sprintf("%s dropped %s log lines around that time", d.VM, d.Get("lines")))
		}
	}
}

// WriteText writes the timeline as text, one line for each event with the time since the
// first event.
func (t Timeline) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, l := range t.Lines {
		fmt.Fprintf(&b, "%9.3f s  %-20s %s", l.At.Sub(t.Lines[0].At).Seconds(), l.VM, l.Msg)
		for _, f := range l.Fields {
			if f.Key != "id" && f.Key != "level" && f.Value != "" && f.Value != "null" {
				fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
			}
		}
		b.WriteByte('\n')
	}
	for _, g := range t.Gaps {
		fmt.Fprintf(&b, "gap: %s\n", g)
	}
	_, err := io.WriteString(w, b.String())
	return mperror.Wrap(err, "write timeline")
}
