package mpproxy

import (
	"bytes"
	"strconv"
)

// eventScanner finds the ends of server-sent events in a stream. An event ends with an
// empty line; lines end with a line feed, a carriage return or both.
type eventScanner struct {
	// line is the length of the last line so far, and comment whether it is a comment.
	line    int
	comment bool
	// afterCR is set after a carriage return, whose line feed does not end another line.
	afterCR bool
	// hasField is set if the current event has a complete line other than a comment.
	hasField bool
	// tail is the number of bytes after the last event.
	tail int
}

// scan adds data to the stream. It returns the length of the part of data that ends with
// the last event, or 0 if no event ends in data.
func (s *eventScanner) scan(data []byte) int {
	end := 0
	for i, b := range data {
		s.tail++
		switch {
		case b == '\n' && s.afterCR:
			s.afterCR = false
			if s.tail == 1 {
				end, s.tail = i+1, 0
			}
			continue
		case b == '\n' || b == '\r':
			if s.line == 0 {
				s.hasField, s.tail, end = false, 0, i+1
			} else {
				s.hasField = s.hasField || !s.comment
			}
			s.line = 0
		default:
			if s.line == 0 {
				s.comment = b == ':'
			}
			s.line++
		}
		s.afterCR = b == '\r'
	}
	return end
}

// insideEvent reports whether an event or a line has begun and not ended.
func (s *eventScanner) insideEvent() bool { return s.hasField || s.line > 0 }

// eventSplitter splits a stream at the ends of its events.
type eventSplitter struct {
	eventScanner
	held   []byte
	lastID string
}

// add appends data to the stream, and returns the events that have ended.
func (s *eventSplitter) add(data []byte) []byte {
	end := s.scan(data)
	s.held = append(s.held, data...)
	if end == 0 {
		return nil
	}
	n := len(s.held) - len(data) + end
	out := bytes.Clone(s.held[:n])
	s.held = append(s.held[:0], s.held[n:]...)
	if ids := eventIDs(out); len(ids) > 0 {
		s.lastID = ids[len(ids)-1]
	}
	return out
}

// remainder returns the data after the last event.
func (s *eventSplitter) remainder() []byte { return s.held }

// eventIDs returns the IDs of the events in data.
func eventIDs(data []byte) []string {
	var out []string
	for _, line := range bytes.FieldsFunc(data, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			out = append(out, string(bytes.TrimSpace(id)))
		}
	}
	return out
}

// firstEventID returns the ID of the first event in data that has one, or "".
func firstEventID(data []byte) string {
	if ids := eventIDs(data); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// isAfter reports whether an event with ID id may follow the event with ID last. IDs that are
// numbers increase.
func isAfter(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != "" && id != last
	}
	return n > m
}
