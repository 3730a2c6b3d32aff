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

// pipelineData is the data passed from stage to stage.
type pipelineData struct {
	query       string
	maxTokens   int
	embedding   []float64
	documents   []Document
	text        string
	generated   bool
	body        []byte
	contentType string
	response    mpupstream.Response
}

func newPipelineData(req Request) pipelineData {
	return pipelineData{query: req.Input.Input, maxTokens: req.Input.MaxTokens, body: req.Body, contentType: req.ContentType}
}

type embeddingRequest struct {
	Model string `json:"model"`
	Input string `json:"input"`
}

type embeddingResponse struct {
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

type searchResponse struct {
	Documents []Document `json:"documents"`
}

type rerankRequest struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n"` //nolint:tagliatelle // Name used by common rerank APIs.
}

type rerankResponse struct {
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
func (d *pipelineData) call(p mpcatalogue.Pool, s mpcatalogue.Stage, priority int) mpupstream.Call {
	c := mpupstream.Call{Method: http.MethodPost, ContentType: jsonContentType, RequireEcho: p.Echo, NoRetry: s.Once}
	switch p.Kind {
	case mpcatalogue.Encode:
		c.Path = "/v1/embeddings"
		c.Body = encode(embeddingRequest{p.Model, d.query})
	case mpcatalogue.Retrieve:
		c.Path = "/v1/search"
		c.Body = encode(searchRequest{p.Model, d.query, d.embedding, topN(s)})
	case mpcatalogue.Rerank:
		c.Path = "/v1/rerank"
		c.Body = encode(rerankRequest{p.Model, d.query, texts(d.documents), topN(s)})
	case mpcatalogue.Generate:
		c.Path = "/v1/completions"
		c.Body = encode(completionRequest{p.Model, d.prompt(), d.maxOutputTokens(s), true, priority})
	case mpcatalogue.Plain:
		c.Path = s.Path
		c.ContentType = d.contentType
		c.Body = d.body
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

func (d *pipelineData) maxOutputTokens(s mpcatalogue.Stage) int {
	limit := s.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if d.maxTokens > 0 {
		return min(d.maxTokens, limit)
	}
	return limit
}

// prompt returns the prompt for a generation. The documents come first, so that
// requests with the same documents share a prefix in the engine's cache.
func (d *pipelineData) prompt() string {
	if len(d.documents) == 0 {
		return d.query
	}
	return strings.Join(texts(d.documents), "\n") + "\n" + d.query
}

// prefixHash returns a hash of the first maxPrefixBytes of the prompt. It is used to
// route requests with a common prefix to the same upstream.
func (d *pipelineData) prefixHash(p mpcatalogue.Pool) uint64 {
	if p.Kind != mpcatalogue.Generate {
		return 0
	}
	text := d.prompt()
	return xxhash.Sum64String(text[:min(len(text), maxPrefixBytes)])
}

// applyResponse updates d with the response of a stage. The error wraps
// ErrBadResponse if the response is invalid.
func (d *pipelineData) applyResponse(p mpcatalogue.Pool, resp mpupstream.Response) error {
	d.response = resp
	d.generated = false
	switch p.Kind {
	case mpcatalogue.Encode:
		return d.applyEmbedding(resp)
	case mpcatalogue.Retrieve:
		return d.applyDocuments(resp)
	case mpcatalogue.Rerank:
		return d.applyRanking(resp)
	case mpcatalogue.Plain:
		d.body = resp.Body
		d.contentType = resp.ContentType
	case mpcatalogue.Generate:
	}
	return nil
}

func decode(resp mpupstream.Response, v any) error {
	if err := json.Unmarshal(resp.Body, v); err != nil {
		return mperror.Wrap(mperror.ErrBadResponse, "%v", err)
	}
	return nil
}

func (d *pipelineData) applyEmbedding(resp mpupstream.Response) error {
	var r embeddingResponse
	if err := decode(resp, &r); err != nil {
		return err
	}
	if len(r.Data) != 1 || len(r.Data[0].Embedding) == 0 {
		return mperror.Wrap(mperror.ErrBadResponse, "%d embeddings for one input", len(r.Data))
	}
	d.embedding = r.Data[0].Embedding
	return nil
}

func (d *pipelineData) applyDocuments(resp mpupstream.Response) error {
	var r searchResponse
	if err := decode(resp, &r); err != nil {
		return err
	}
	d.documents = r.Documents
	return nil
}

func (d *pipelineData) applyRanking(resp mpupstream.Response) error {
	var r rerankResponse
	if err := decode(resp, &r); err != nil {
		return err
	}
	ranked := make([]Document, 0, len(r.Results))
	for _, result := range r.Results {
		if result.Index < 0 || result.Index >= len(d.documents) {
			return mperror.Wrap(mperror.ErrBadResponse, "rank of document %d of %d", result.Index, len(d.documents))
		}
		ranked = append(ranked, d.documents[result.Index])
	}
	d.documents = ranked
	return nil
}

// Generated is the complete response of an entry whose last stage is a generation.
type Generated struct {
	Text string `json:"text"`
	// Length is the length of Text in bytes, and Hash its xxhash64 in hexadecimal.
	Length int    `json:"length"`
	Hash   string `json:"hash"`
}

// NewGenerated returns the response for text, with its length and hash.
func NewGenerated(text string) Generated {
	return Generated{Text: text, Length: len(text), Hash: hexHash([]byte(text))}
}

func hexHash(data []byte) string {
	return mpid.Hex(xxhash.Sum64(data))
}

func (d *pipelineData) outcome() Outcome {
	out := Outcome{Kind: Answered, Status: d.response.Status, Response: d.response}
	if d.generated {
		out.Response.Body = encode(NewGenerated(d.text))
		out.Response.ContentType = jsonContentType
	}
	return out
}

func newStoredAnswer(resp mpupstream.Response) mpstate.Answer {
	return mpstate.Answer{Status: resp.Status, Type: resp.ContentType, Body: resp.Body, Length: len(resp.Body), Hash: hexHash(resp.Body)}
}

// storedOutcome returns the outcome of an earlier submission from its stored answer.
// If the body was too long to be stored, the outcome still states that the request
// has run.
func storedOutcome(a mpstate.Answer) Outcome {
	out := Outcome{Kind: Answered, Status: a.Status, Repeated: true}
	out.Response = mpupstream.Response{Status: a.Status, ContentType: a.Type, Body: a.Body}
	if a.Length > 0 && len(a.Body) == 0 {
		out.Status = http.StatusConflict
		out.Kind = Unknown
		out.Cause = "unkept"
		out.Text = "an earlier submission with this key has run; its answer of " +
			fmt.Sprint(a.Length) + " bytes, hash " + a.Hash + ", was too long to keep"
	}
	return out
}
