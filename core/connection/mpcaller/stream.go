package mpcaller

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/request/mppipeline"
	"mustardpost.org/core/version/mpcatalogue"
)

var errCallerStream = errors.New("stream to caller broken")

// stream writes generated text to the caller as server-sent events.
type stream struct {
	w       http.ResponseWriter
	started bool
	hash    *xxhash.Digest
	length  int
}

// newStream returns nil if the caller did not request a stream or the entry's last
// stage does not generate text.
func newStream(w http.ResponseWriter, req mppipeline.Request) *stream {
	lastPool, _ := req.View.Catalogue().Pool(req.Entry.Stages[len(req.Entry.Stages)-1].Pool)
	if !req.Input.Stream || lastPool.Kind != mpcatalogue.Generate {
		return nil
	}
	return &stream{w: w, hash: xxhash.New()}
}

type textEvent struct {
	Text string `json:"text"`
}

// EndEvent is the last event of a stream; a stream without it is incomplete.
type EndEvent struct {
	Outcome mppipeline.Kind `json:"outcome"`
	Cause   string          `json:"cause,omitempty"`
	Text    string          `json:"text,omitempty"`
	Length  int             `json:"length"`
	Hash    string          `json:"hash"`
}

func (s *stream) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Transfer-Encoding", "chunked")
	s.w.WriteHeader(http.StatusOK)
}

func (s *stream) writeText(text string) error {
	s.start()
	_, _ = s.hash.WriteString(text)
	s.length += len(text)
	return s.writeEvent("", textEvent{text})
}

func (s *stream) writeEvent(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return mperror.Wrap(errCallerStream, "%v", err)
	}
	var b []byte
	if name != "" {
		b = append(b, "event: "+name+"\n"...)
	}
	b = append(b, "data: "...)
	b = append(b, data...)
	b = append(b, "\n\n"...)
	if _, err := s.w.Write(b); err != nil {
		return mperror.Wrap(errCallerStream, "%v", err)
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

func (s *stream) finish(out mppipeline.Outcome) {
	s.start()
	end := EndEvent{Outcome: out.Kind, Cause: out.Cause, Text: out.Text, Length: s.length, Hash: mpid.Hex(s.hash.Sum64())}
	_ = s.writeEvent("end", end)
}
