package mppipeline

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
)

const (
	defaultTopN      = 4
	defaultMaxTokens = 128
	maxPrefixBytes   = 512
	jsonContentType  = "application/json"
)

// Document is a document returned by a retriever.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// flow is the data passed from stage to stage.
type flow struct {
	query       string
	maxTokens   int
	embedding   []float64
	documents   []Document
	text        string
	generated   bool
	body        []byte
	contentType string
	answer      mpupstream.Response
}

func newFlow(req Request) flow {
	return flow{query: req.Input.Input, maxTokens: req.Input.MaxTokens, body: req.Body, contentType: req.ContentType}
}

type embeddingRequest struct {
	Model string `json:"model"`
	Input string `json:"input"`
}

type embeddingReply struct {
	Data []struct {
		Embedding []float64 `json:"embedding"`
	} `json:"data"`
}

type searchRequest struct {
	Model     string    `json:"model"`
	Query     string    `json:"query"`
	Embedding []float64 `json:"embedding,omitempty"`
	TopN      int       `json:"top"`
}

type searchReply struct {
	Documents []Document `json:"documents"`
}

type rerankRequest struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n"` //nolint:tagliatelle // Name used by common rerank APIs.
}

type rerankReply struct {
	Results []struct {
		Index int `json:"index"`
	} `json:"results"`
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"` //nolint:tagliatelle // Name used by common completion APIs.
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
}

// call returns the HTTP call for a stage.
func (f *flow) call(p mpcatalogue.Pool, s mpcatalogue.Stage, priority int) mpupstream.Call {
	c := mpupstream.Call{Method: http.MethodPost, ContentType: jsonContentType, RequireEcho: p.Echo, NoRetry: s.Once}
	switch p.Kind {
	case mpcatalogue.Encode:
		c.Path = "/v1/embeddings"
		c.Body = encode(embeddingRequest{p.Model, f.query})
	case mpcatalogue.Retrieve:
		c.Path = "/v1/search"
		c.Body = encode(searchRequest{p.Model, f.query, f.embedding, topN(s)})
	case mpcatalogue.Rerank:
		c.Path = "/v1/rerank"
		c.Body = encode(rerankRequest{p.Model, f.query, texts(f.documents), topN(s)})
	case mpcatalogue.Generate:
		c.Path = "/v1/completions"
		c.Body = encode(completionRequest{p.Model, f.prompt(), f.maxOutputTokens(s), true, priority})
	case mpcatalogue.Plain:
		c.Path = s.Path
		c.ContentType = f.contentType
		c.Body = f.body
		if s.Method != "" {
			c.Method = s.Method
		}
	}
	return c
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Cannot happen: the request types hold only plain values.
	}
	return data
}

func topN(s mpcatalogue.Stage) int {
	if s.Top > 0 {
		return s.Top
	}
	return defaultTopN
}

func texts(docs []Document) []string {
	out := make([]string, len(docs))
	for i, d := range docs {
		out[i] = d.Text
	}
	return out
}

func (f *flow) maxOutputTokens(s mpcatalogue.Stage) int {
	limit := s.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if f.maxTokens > 0 {
		return min(f.maxTokens, limit)
	}
	return limit
}

// prompt returns the prompt for a generation. The documents come first, so that
// requests with the same documents share a prefix in the engine's cache.
func (f *flow) prompt() string {
	if len(f.documents) == 0 {
		return f.query
	}
	return strings.Join(texts(f.documents), "\n") + "\n" + f.query
}

// prefixHash returns a hash of the first maxPrefixBytes of the prompt. It is used to
// route requests with a common prefix to the same upstream.
func (f *flow) prefixHash(p mpcatalogue.Pool) uint64 {
	if p.Kind != mpcatalogue.Generate {
		return 0
	}
	text := f.prompt()
	return xxhash.Sum64String(text[:min(len(text), maxPrefixBytes)])
}

// applyAnswer updates f with the answer of a stage. The error wraps ErrBadResponse
// if the answer is invalid.
func (f *flow) applyAnswer(p mpcatalogue.Pool, a mpupstream.Response) error {
	f.answer = a
	f.generated = false
	switch p.Kind {
	case mpcatalogue.Encode:
		return f.applyEmbedding(a)
	case mpcatalogue.Retrieve:
		return f.applyDocuments(a)
	case mpcatalogue.Rerank:
		return f.applyRanking(a)
	case mpcatalogue.Plain:
		f.body = a.Body
		f.contentType = a.ContentType
	case mpcatalogue.Generate:
	}
	return nil
}

func decode(a mpupstream.Response, v any) error {
	if err := json.Unmarshal(a.Body, v); err != nil {
		return mperror.Wrap(mperror.ErrBadResponse, "%v", err)
	}
	return nil
}

func (f *flow) applyEmbedding(a mpupstream.Response) error {
	var r embeddingReply
	if err := decode(a, &r); err != nil {
		return err
	}
	if len(r.Data) != 1 || len(r.Data[0].Embedding) == 0 {
		return mperror.Wrap(mperror.ErrBadResponse, "%d embeddings for one input", len(r.Data))
	}
	f.embedding = r.Data[0].Embedding
	return nil
}

func (f *flow) applyDocuments(a mpupstream.Response) error {
	var r searchReply
	if err := decode(a, &r); err != nil {
		return err
	}
	f.documents = r.Documents
	return nil
}

func (f *flow) applyRanking(a mpupstream.Response) error {
	var r rerankReply
	if err := decode(a, &r); err != nil {
		return err
	}
	ranked := make([]Document, 0, len(r.Results))
	for _, result := range r.Results {
		if result.Index < 0 || result.Index >= len(f.documents) {
			return mperror.Wrap(mperror.ErrBadResponse, "rank of document %d of %d", result.Index, len(f.documents))
		}
		ranked = append(ranked, f.documents[result.Index])
	}
	f.documents = ranked
	return nil
}

// Generated is the complete answer of an entry whose last stage is a generation.
type Generated struct {
	Text string `json:"text"`
	// Length is the length of Text in bytes, and Hash its xxhash64 in hexadecimal.
	Length int    `json:"length"`
	Hash   string `json:"hash"`
}

// NewGenerated returns the answer for text, with its length and hash.
func NewGenerated(text string) Generated {
	return Generated{Text: text, Length: len(text), Hash: hexHash([]byte(text))}
}

func hexHash(data []byte) string {
	return mpid.Hex(xxhash.Sum64(data))
}

func (f *flow) outcome() Outcome {
	out := Outcome{Kind: Answered, Status: f.answer.Status, Answer: f.answer}
	if f.generated {
		out.Answer.Body = encode(NewGenerated(f.text))
		out.Answer.ContentType = jsonContentType
	}
	return out
}

func newStoredAnswer(a mpupstream.Response) mpstate.Answer {
	return mpstate.Answer{Status: a.Status, Type: a.ContentType, Body: a.Body, Length: len(a.Body), Hash: hexHash(a.Body)}
}

// storedOutcome returns the outcome of an earlier submission from its stored answer.
// If the body was too long to be stored, the outcome still states that the request
// has run.
func storedOutcome(a mpstate.Answer) Outcome {
	out := Outcome{Kind: Answered, Status: a.Status, Repeated: true}
	out.Answer = mpupstream.Response{Status: a.Status, ContentType: a.Type, Body: a.Body}
	if a.Length > 0 && len(a.Body) == 0 {
		out.Status = http.StatusConflict
		out.Kind = Unknown
		out.Cause = "unkept"
		out.Text = "an earlier submission with this key has run; its answer of " +
			fmt.Sprint(a.Length) + " bytes, hash " + a.Hash + ", was too long to keep"
	}
	return out
}
