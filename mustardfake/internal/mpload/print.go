package mpload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

const maxPrintedBreaches = 10

// Print writes the result tables and invariant breaches of a run.
func (s Summary) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tsent\tattained\tp50 ms\tp95 ms\tp99 ms\tfirst p95\tgap p95\tnot answered")
	s.Total.print(w)
	for _, lines := range []map[string]*Stats{s.Entries, s.Accounts} {
		for _, name := range slices.Sorted(maps.Keys(lines)) {
			lines[name].print(w)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "seed %d; invariants checked: %s; cold overruns at the fakes: %d; breaches: %d\n",
		s.Seed, formatCounts(s.Checked), s.ColdOverruns, len(s.Breaches))
	for _, b := range s.Breaches[:min(len(s.Breaches), maxPrintedBreaches)] {
		fmt.Fprintln(out, "breach:", b)
	}
	return nil
}

func (l *Stats) print(w io.Writer) {
	var rest []string
	for _, kind := range slices.Sorted(maps.Keys(l.Outcomes)) {
		if kind != "answered" {
			rest = append(rest, fmt.Sprintf("%s=%d", kind, l.Outcomes[kind]))
		}
	}
	if len(l.Refused) > 0 {
		rest = append(rest, "("+formatCounts(l.Refused)+")", fmt.Sprintf("in p95 %d ms", l.RefusalLatency.ValueAtQuantile(95)))
	}
	fmt.Fprintf(w, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%s\n", l.Name, l.Sent, 100*l.Attainment(),
		l.Latency.ValueAtQuantile(50), l.Latency.ValueAtQuantile(95), l.Latency.ValueAtQuantile(99),
		l.FirstPiece.ValueAtQuantile(95), l.PieceGap.ValueAtQuantile(95), strings.Join(rest, " "))
}

func formatCounts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
