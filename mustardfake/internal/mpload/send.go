package mpload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/connection/mpcaller"
	"mustardpost.org/core/request/mppipeline"
)

// lost is the outcome of a request for which no complete answer with an
// outcome arrived.
const lost mppipeline.Kind = "lost"

// answer is the result of sending a request once.
type answer struct {
	outcome    mppipeline.Kind
	cause      string
	retryAfter time.Duration
	firstPiece time.Duration
	// pieceGap is the mean time between the pieces of a stream.
	pieceGap time.Duration
	mismatch string
	text     string
}

// job is one request of the load, which may be sent several times.
type job struct {
	entry   Entry
	account Account
	tag     string
	key     string
}

func (j job) body() []byte {
	if j.entry.Plain {
		return []byte(fmt.Sprintf(`{"challenge":%q}`, j.tag))
	}
	data, _ := json.Marshal(mppipeline.Input{
		Input:  "question " + j.tag[1:3] + " asks " + j.tag,
		Stream: j.entry.Stream,
	})
	return data
}

func (c *client) send(ctx context.Context, address string, j job) answer {
	url := "http://" + address + "/v1/entries/" + j.entry.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(j.body()))
	if err != nil {
		return answer{outcome: lost, cause: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+j.account.Key)
	req.Header.Set("Content-Type", "application/json")
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end.Add(-deadlineGrace))
		req.Header.Set(mpcaller.DeadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
	if j.entry.Once {
		req.Header.Set(mpcaller.IdempotencyKeyHeader, j.key)
	}
	started := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{outcome: lost, cause: "connection", text: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body, j, started)
	}
	return readWhole(resp, j)
}

func readWhole(resp *http.Response, j job) answer {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{outcome: lost, cause: "cut", text: err.Error()}
	}
	kind := mppipeline.Kind(resp.Header.Get(mpcaller.OutcomeHeader))
	a := answer{outcome: kind, cause: resp.Header.Get(mpcaller.CauseHeader), text: string(body)}
	if ms, err := strconv.ParseInt(resp.Header.Get(mpcaller.RetryHeader), 10, 64); err == nil {
		a.retryAfter = time.Duration(ms) * time.Millisecond
	}
	switch {
	case kind == "":
		a.outcome = lost
		a.mismatch = "answer without an outcome"
	case kind != mppipeline.Answered:
	case !j.entry.Plain:
		a.mismatch = checkGenerated(body, j)
	case !bytes.Contains(body, []byte(j.tag)):
		a.mismatch = fmt.Sprintf("answer to another request: %.100s", body)
	}
	return a
}

func checkGenerated(body []byte, j job) string {
	var g mppipeline.Generated
	if err := json.Unmarshal(body, &g); err != nil {
		return err.Error()
	}
	return checkText(g.Text, g.Length, g.Hash, j)
}

func checkText(text string, length int, hash string, j job) string {
	switch {
	case len(text) != length:
		return fmt.Sprintf("%d bytes of %d", len(text), length)
	case fmt.Sprintf("%016x", xxhash.Sum64String(text)) != hash:
		return "wrong hash"
	case !strings.HasPrefix(text, j.tag):
		return fmt.Sprintf("answer to another request: %.40s", text)
	}
	return ""
}

// readStream reads server-sent events up to and including the end event.
func readStream(body io.Reader, j job, started time.Time) answer {
	var text strings.Builder
	var first time.Duration
	pieces := 0
	lines := bufio.NewScanner(body)
	closing := false
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: end":
			closing = true
		case isData && closing:
			a := endStream(data, text.String(), first, j)
			if pieces > 1 {
				a.pieceGap = (time.Since(started) - first) / time.Duration(pieces-1)
			}
			return a
		case isData:
			pieces++
			if first == 0 {
				first = time.Since(started)
			}
			var e struct{ Text string }
			if err := json.Unmarshal([]byte(data), &e); err != nil {
				return answer{outcome: lost, mismatch: err.Error()}
			}
			text.WriteString(e.Text)
		}
	}
	return answer{outcome: lost, cause: "cut"}
}

func endStream(data, text string, first time.Duration, j job) answer {
	var e mpcaller.EndEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return answer{outcome: lost, mismatch: err.Error()}
	}
	a := answer{outcome: e.Outcome, cause: e.Cause, firstPiece: first, text: e.Text}
	if e.Outcome == mppipeline.Answered {
		a.mismatch = checkText(text, e.Length, e.Hash, j)
	}
	return a
}
