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

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// The messages of lines about several requests.
const (
	// MsgRequestsNotServed is about those that ended without an answer.
	MsgRequestsNotServed = "requests not served"
	// MsgStagesRefused is about those that the owner of a stage refused.
	MsgStagesRefused = "stages refused"
	// MsgAttemptsFailed is about those that an attempt at an upstream did not answer.
	MsgAttemptsFailed = "attempts failed"
)

// Field is one key with its value.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a process's log.
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

// Timeline is the life of one request as the logs of the VMs tell it.
type Timeline struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"`
	// Gaps names what the logs should hold and do not.
	Gaps []string `json:"gaps"`
}

// Explain collects the lines about the request id from logs, in order of time,
// with the calls that made its pieces. It returns ErrNotFound when no line names it.
func Explain(id string, logs ...io.Reader) (Timeline, error) {
	s := Timeline{ID: id, Gaps: []string{}}
	var calls, drops []Line
	for _, r := range logs {
		if err := readLines(r, func(l Line) {
			switch {
			case l.Get("id") == id, isSum(l) && slices.Contains(strings.Split(l.Get("ids"), ","), id):
				s.Lines = append(s.Lines, l)
			case l.Msg == "batch":
				calls = append(calls, l)
			case l.Msg == "log lines dropped":
				drops = append(drops, l)
			}
		}); err != nil {
			return s, err
		}
	}
	if len(s.Lines) == 0 {
		return s, mperror.Wrap(mperror.ErrNotFound, "request %s", id)
	}
	s.addCalls(calls)
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	s.findGaps(drops)
	return s, nil
}

func isSum(l Line) bool {
	return l.Msg == MsgRequestsNotServed || l.Msg == MsgStagesRefused || l.Msg == MsgAttemptsFailed
}

func readLines(r io.Reader, f func(Line)) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 64<<10), maxLine)
	for scan.Scan() {
		if l, ok := parseLine(scan.Text()); ok {
			f(l)
		}
	}
	return mperror.Wrap(scan.Err(), "read log")
}

// parseLine reads key=value pairs; words before the first pair, as a collector
// may add them, are passed over.
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

// addCalls adds the calls that the request's stages name.
func (s *Timeline) addCalls(calls []Line) {
	for _, l := range slices.Clone(s.Lines) {
		if l.Msg != "stage" {
			continue
		}
		for call := range strings.SplitSeq(l.Get("calls"), ",") {
			i := slices.IndexFunc(calls, func(c Line) bool {
				return c.VM == l.VM && c.Get("pool") == l.Get("pool") && c.Get("call") == call
			})
			switch {
			case call == "":
			case i < 0:
				s.Gaps = append(s.Gaps, fmt.Sprintf("no line for call %s to %s by %s: it had not ended, or its line was lost", call, l.Get("pool"), l.VM))
			case !slices.ContainsFunc(s.Lines, func(o Line) bool { return o.Msg == "batch" && o.VM == l.VM && o.Get("call") == call }):
				s.Lines = append(s.Lines, calls[i])
			}
		}
	}
}

func (s *Timeline) findGaps(drops []Line) {
	ended := slices.IndexFunc(s.Lines, func(l Line) bool { return l.Msg == "request" || l.Msg == MsgRequestsNotServed })
	if ended < 0 {
		s.Gaps = append(s.Gaps, "no line for the end of the request: its VM ended before it, or its log is not among the files")
	} else if took, err := time.ParseDuration(s.Lines[ended].Get("stages")); err == nil && took > 0 &&
		!slices.ContainsFunc(s.Lines, func(l Line) bool { return strings.HasPrefix(l.Msg, "stage") }) {
		s.Gaps = append(s.Gaps, "the request spent "+took.String()+" in stages, and no line tells of one: the log of the pool's owner is not among the files")
	}
	first, last := s.Lines[0].At, s.Lines[len(s.Lines)-1].At
	for _, d := range drops {
		if d.At.After(first.Add(-time.Second)) && d.At.Before(last.Add(time.Second)) {
			s.Gaps = append(s.Gaps, fmt.Sprintf("%s dropped %s lines about then", d.VM, d.Get("lines")))
		}
	}
}

// WriteText writes the story for a reader: one line each, with the time since
// the first one.
func (s Timeline) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "%9.3f s  %-20s %s", l.At.Sub(s.Lines[0].At).Seconds(), l.VM, l.Msg)
		for _, f := range l.Fields {
			if f.Key != "id" && f.Key != "level" && f.Value != "" && f.Value != "null" {
				fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
			}
		}
		b.WriteByte('\n')
	}
	for _, g := range s.Gaps {
		fmt.Fprintf(&b, "gap: %s\n", g)
	}
	_, err := io.WriteString(w, b.String())
	return mperror.Wrap(err, "write story")
}
