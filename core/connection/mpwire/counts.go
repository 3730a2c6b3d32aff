package mpwire

import (
	"slices"

	"mustardpost.org/core/version/mprollout"
)

// EncodeCounts returns the messages for rows.
func EncodeCounts(rows []mprollout.Counts) []*Count {
	out := make([]*Count, len(rows))
	for i := range rows {
		c := &rows[i]
		out[i] = &Count{
			Rollout:   c.ID,
			Pool:      c.Pool,
			Version:   c.Version,
			Route:     c.Route,
			Answers:   c.Answers,
			Failures:  c.Failures,
			Lost:      c.Lost,
			Latencies: trimBuckets(&c.Latency),
			Waiting:   trimBuckets(&c.Waiting),
			Running:   c.Running,
			Serial:    c.Serial,
			Phase:     string(c.Phase),
		}
	}
	return out
}

func trimBuckets(h *mprollout.Histogram) []uint32 {
	n := len(h)
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return slices.Clone(h[:n])
}

// DecodeCounts returns the rows of messages. It drops buckets that no VM counts.
func DecodeCounts(counts []*Count) []mprollout.Counts {
	out := make([]mprollout.Counts, len(counts))
	for i, c := range counts {
		out[i] = mprollout.Counts{
			ID:       c.GetRollout(),
			Pool:     c.GetPool(),
			Version:  c.GetVersion(),
			Route:    c.GetRoute(),
			Answers:  c.GetAnswers(),
			Failures: c.GetFailures(),
			Lost:     c.GetLost(),
			Running:  c.GetRunning(),
			Serial:   c.GetSerial(),
			Phase:    mprollout.Phase(c.GetPhase()),
		}
		copy(out[i].Latency[:], c.GetLatencies())
		copy(out[i].Waiting[:], c.GetWaiting())
	}
	return out
}
