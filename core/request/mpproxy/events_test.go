package mpproxy

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against misjudging where a stream ends, however its bytes are divided.
func TestEventScanner(t *testing.T) {
	type result struct {
		Ends   int
		Inside bool
		Tail   int
	}
	for name, c := range map[string]struct {
		stream string
		want   result
	}{
		"nothing":                {"", result{}},
		"whole event":            {"data: a\n\n", result{Ends: 9}},
		"no empty line":          {"data: a\n", result{Inside: true, Tail: 8}},
		"no line end":            {"data: a\n\nid", result{Ends: 9, Inside: true, Tail: 2}},
		"carriage returns":       {"data: a\r\rdata", result{Ends: 9, Inside: true, Tail: 4}},
		"both line ends":         {"data: a\r\n\r\n", result{Ends: 11}},
		"empty lines":            {"\n\n\n", result{Ends: 3}},
		"comment after an event": {"data: a\n\n: b\n", result{Ends: 9, Tail: 4}},
		"comment without an end": {"data: a\n\n: b", result{Ends: 9, Inside: true, Tail: 3}},
		"comment in an event":    {"data: a\n: b\n", result{Inside: true, Tail: 12}},
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(c.stream)+1; size++ {
				var s eventScanner
				var got result
				for at := 0; at < len(c.stream); at += size {
					if end := s.scan([]byte(c.stream[at:min(at+size, len(c.stream))])); end > 0 {
						got.Ends = at + end
					}
				}
				got.Inside, got.Tail = s.insideEvent(), s.tail
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("in parts of %d bytes (-want +got):\n%s", size, diff)
				}
			}
		})
	}
}
