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
	defaultTop    = 4
	defaultTokens = 128
	prefixBytes   = 512
	jsonType      = "application/json"
)

// Document is a retrieved text.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// flow is what passes from stage to stage.
type flow struct {
	query     string
	max       int
	embedding []float64
	documents []Document
	text      string
	generated bool
	body      []byte
	bodyType  string
	answer    mpupstream.Response
}

func firstFlow(req Request) flow {
	return flow{query: req.Input.Input, max: req.Input.Max, body: req.Body, bodyType: req.Type}
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
	Top       int       `json:"top"`
}

type searchReply struct {
	Documents []Document `json:"documents"`
}

type rerankRequest struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	Top       int      `json:"top_n"` //nolint:tagliatelle // The customary rerank protocol.
}

type rerankReply struct {
	Results []struct {
		Index int `json:"index"`
	} `json:"results"`
}

type completionRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Max      int    `json:"max_tokens"` //nolint:tagliatelle // The customary completion protocol.
	Stream   bool   `json:"stream"`
	Priority int    `json:"priority"`
}

// call returns the HTTP request of a stage.
func (f *flow) call(p mpcatalogue.Pool, s mpcatalogue.Stage, priority int) mpupstream.Call {
	c := mpupstream.Call{Method: http.MethodPost, ContentType: jsonType, RequireEcho: p.Echo, NoRetry: s.Once}
	switch p.Kind {
	case mpcatalogue.Encode:
		c.Path = "/v1/embeddings"
		c.Body = encode(embeddingRequest{p.Model, f.query})
	case mpcatalogue.Retrieve:
		c.Path = "/v1/search"
		c.Body = encode(searchRequest{p.Model, f.query, f.embedding, top(s)})
	case mpcatalogue.Rerank:
		c.Path = "/v1/rerank"
		c.Body = encode(rerankRequest{p.Model, f.query, texts(f.documents), top(s)})
	case mpcatalogue.Generate:
		c.Path = "/v1/completions"
		c.Body = encode(completionRequest{p.Model, f.prompt(), f.tokens(s), true, priority})
	case mpcatalogue.Plain:
		c.Path = s.Path
		c.ContentType = f.bodyType
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
		panic(err) // The request types hold only plain values.
	}
	return data
}

func top(s mpcatalogue.Stage) int {
	if s.Top > 0 {
		return s.Top
	}
	return defaultTop
}

func texts(docs []Document) []string {
	out := make([]string, len(docs))
	for i, d := range docs {
		out[i] = d.Text
	}
	return out
}

func (f *flow) tokens(s mpcatalogue.Stage) int {
	limit := s.Tokens
	if limit == 0 {
		limit = defaultTokens
	}
	if f.max > 0 {
		return min(f.max, limit)
	}
	return limit
}

// prompt puts the documents first, so that requests on the same documents
// share a prefix in the engine's cache.
func (f *flow) prompt() string {
	if len(f.documents) == 0 {
		return f.query
	}
	return strings.Join(texts(f.documents), "\n") + "\n" + f.query
}

// prefix returns the hash by which requests with a common prefix meet.
func (f *flow) prefix(p mpcatalogue.Pool) uint64 {
	if p.Kind != mpcatalogue.Generate {
		return 0
	}
	text := f.prompt()
	return xxhash.Sum64String(text[:min(len(text), prefixBytes)])
}

// take adds a stage's answer. It returns ErrAnswer when that does not fit.
func (f *flow) take(p mpcatalogue.Pool, a mpupstream.Response) error {
	f.answer = a
	f.generated = false
	switch p.Kind {
	case mpcatalogue.Encode:
		return f.takeEmbedding(a)
	case mpcatalogue.Retrieve:
		return f.takeDocuments(a)
	case mpcatalogue.Rerank:
		return f.takeRanking(a)
	case mpcatalogue.Plain:
		f.body = a.Body
		f.bodyType = a.ContentType
	case mpcatalogue.Generate:
	}
	return nil
}

func decode(a mpupstream.Response, v any) error {
	if err := json.Unmarshal(a.Body, v); err != nil {
		return mperror.Wrap(mperror.ErrAnswer, "%v", err)
	}
	return nil
}

func (f *flow) takeEmbedding(a mpupstream.Response) error {
	var r embeddingReply
	if err := decode(a, &r); err != nil {
		return err
	}
	if len(r.Data) != 1 || len(r.Data[0].Embedding) == 0 {
		return mperror.Wrap(mperror.ErrAnswer, "%d embeddings for one input", len(r.Data))
	}
	f.embedding = r.Data[0].Embedding
	return nil
}

func (f *flow) takeDocuments(a mpupstream.Response) error {
	var r searchReply
	if err := decode(a, &r); err != nil {
		return err
	}
	f.documents = r.Documents
	return nil
}

func (f *flow) takeRanking(a mpupstream.Response) error {
	var r rerankReply
	if err := decode(a, &r); err != nil {
		return err
	}
	ranked := make([]Document, 0, len(r.Results))
	for _, one := range r.Results {
		if one.Index < 0 || one.Index >= len(f.documents) {
			return mperror.Wrap(mperror.ErrAnswer, "rank of document %d of %d", one.Index, len(f.documents))
		}
		ranked = append(ranked, f.documents[one.Index])
	}
	f.documents = ranked
	return nil
}

// Generated is the whole answer of an entry that ends with a generation.
type Generated struct {
	Text string `json:"text"`
	// Length is that of Text in bytes; Hash its xxhash64 in hex.
	Length int    `json:"length"`
	Hash   string `json:"hash"`
}

// Seal returns the whole answer with its length and hash.
func Seal(text string) Generated {
	return Generated{Text: text, Length: len(text), Hash: hashOf([]byte(text))}
}

func hashOf(data []byte) string {
	return mpid.Hex(xxhash.Sum64(data))
}

func (f *flow) outcome() Outcome {
	out := Outcome{Kind: Answered, Status: f.answer.Status, Answer: f.answer}
	if f.generated {
		out.Answer.Body = encode(Seal(f.text))
		out.Answer.ContentType = jsonType
	}
	return out
}

func record(a mpupstream.Response) mpstate.Answer {
	return mpstate.Answer{Status: a.Status, Type: a.ContentType, Body: a.Body, Length: len(a.Body), Hash: hashOf(a.Body)}
}

// recorded returns the answer of an earlier submission. When the body was too
// long to be kept, the request is known to have run all the same.
func recorded(a mpstate.Answer) Outcome {
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
