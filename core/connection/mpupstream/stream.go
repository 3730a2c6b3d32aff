package mpupstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"mustardpost.org/core/common/mperror"
)

const (
	maxEventBytes = 64 << 10
	maxTextBytes  = 4 << 20
	// maxStreamBytes allows for the encoding of the text.
	maxStreamBytes = 4 * maxTextBytes
	doneEvent      = "[DONE]"
)

// Usage is the token usage that an engine reports for a response.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Cached     int `json:"cached_tokens"`
	Completion int `json:"completion_tokens"`
}

type completionChunk struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Stream sends a completion call and passes each piece of text to emit as it
// arrives. The stream is complete only with both a finish reason and the closing
// event; anything else is a Failure. An error of emit ends the attempt.
func (c *Client) Stream(ctx context.Context, call Call, emit func(text string) error) (Response, Usage, *Failure) {
	resp, sent, fail := c.start(ctx, call)
	if fail != nil {
		return Response{}, Usage{}, fail
	}
	defer func() { _ = resp.Body.Close() }()
	answer := Response{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Instance:    resp.Header.Get(InstanceHeader),
		Cold:        resp.Header.Get(ColdHeader) == "1",
	}
	if resp.StatusCode != http.StatusOK {
		var err error
		if answer.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes)); err != nil {
			return answer, Usage{}, newFailure(ctx, sent.Load(), err)
		}
		return answer, Usage{}, nil
	}
	usage, err := readEvents(resp.Body, emit)
	if err == nil {
		return answer, usage, nil
	}
	if errors.Is(err, mperror.ErrBadResponse) || errors.Is(err, errEmit) {
		return answer, usage, &Failure{Sent: true, Err: err}
	}
	return answer, usage, newFailure(ctx, sent.Load(), err)
}

var errEmit = errors.New("receiver failed")

func readEvents(body io.Reader, emit func(string) error) (Usage, error) {
	var usage Usage
	finished := false
	length := 0
	limited := &io.LimitedReader{R: body, N: maxStreamBytes}
	scanner := bufio.NewScanner(limited)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneEvent {
			if !finished {
				return usage, mperror.Wrap(mperror.ErrBadResponse, "stream closed without a finish reason")
			}
			return usage, nil
		}
		var c completionChunk
		if err := json.Unmarshal(data, &c); err != nil {
			return usage, mperror.Wrap(mperror.ErrBadResponse, "event: %v", err)
		}
		if c.Usage != nil {
			usage = *c.Usage
		}
		for _, choice := range c.Choices {
			length += len(choice.Text)
			if length > maxTextBytes {
				return usage, mperror.Wrap(mperror.ErrBadResponse, "longer than %d bytes", maxTextBytes)
			}
			if choice.Text != "" {
				if err := emit(choice.Text); err != nil {
					return usage, errors.Join(errEmit, err)
				}
			}
			finished = finished || choice.Finish != nil
		}
	}
	switch err := scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return usage, mperror.Wrap(mperror.ErrBadResponse, "event longer than %d bytes", maxEventBytes)
	case err != nil:
		return usage, err
	case limited.N == 0:
		return usage, mperror.Wrap(mperror.ErrBadResponse, "stream longer than %d bytes", maxStreamBytes)
	}
	return usage, io.ErrUnexpectedEOF
}
