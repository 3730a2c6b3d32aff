package mpfake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/connection/mpupstream"
)

const (
	crashMarker      = "crash-the-engine"
	slowFactor       = 10
	blockBytes       = 64
	tokenBytes       = 4
	listenRetryDelay = 20 * time.Millisecond
	topicCount       = 8
)

// Upstream is a fake upstream server.
type Upstream struct {
	cfg    Config
	ledger *Ledger

	mu         sync.Mutex
	server     *http.Server
	instance   string
	inFlight   int
	answered   int
	cache      map[uint64]int
	useCounter int
	stopped    bool
}

// NewUpstream returns an upstream that is not listening yet.
func NewUpstream(cfg Config, ledger *Ledger) *Upstream {
	return &Upstream{cfg: cfg, ledger: ledger}
}

// Start starts listening, in the cold state and under a new instance ID.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.cfg.Address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instance = fmt.Sprintf("%016x", rand.Uint64())
	u.answered = 0
	u.cache = map[uint64]int{}
	u.server = &http.Server{Handler: u.handler()}
	server := u.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// Stop closes the upstream and prevents any restart.
func (u *Upstream) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	_ = u.server.Close()
}

// Crash closes all connections and restarts the upstream, cold, after the
// configured delay.
func (u *Upstream) Crash() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.ledger.recordCrash(u.cfg.Name)
	_ = server.Close()
	time.AfterFunc(time.Duration(u.cfg.RestartDelayMS)*time.Millisecond, u.restart)
}

func (u *Upstream) restart() {
	u.mu.Lock()
	stopped := u.stopped
	u.mu.Unlock()
	if stopped {
		return
	}
	if err := u.Start(); err != nil {
		time.AfterFunc(listenRetryDelay, u.restart)
	}
}

// ResetWarmup makes the upstream cold and clears its cache without changing its
// instance ID or closing connections.
func (u *Upstream) ResetWarmup() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answered = 0
	u.cache = map[uint64]int{}
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/embeddings", u.serve(u.embed))
	mux.HandleFunc("POST /v1/search", u.serve(u.search))
	mux.HandleFunc("POST /v1/rerank", u.serve(u.rerank))
	mux.HandleFunc("POST /v1/completions", u.serve(u.complete))
	mux.HandleFunc("POST /v1/orders", u.handleOrder)
	mux.HandleFunc("/", u.serve(u.handlePlain))
	return mux
}

func (u *Upstream) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sleep(r.Context(), u.cfg.ServiceMS)
	if !u.ledger.acceptOrder(u.cfg.Name, o.Fence, u.cfg.CheckFence) {
		w.WriteHeader(http.StatusConflict)
	}
}

// request is a request being run by the upstream.
type request struct {
	ctx      context.Context
	writer   http.ResponseWriter
	body     []byte
	slowdown float64
}

var errClientGone = errors.New("client disconnected")

func (u *Upstream) serve(run func(request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		slowdown, ok := u.admit()
		defer u.release()
		if !ok {
			u.ledger.recordColdOverrun()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		u.ledger.recordRun(time.Now(), u.cfg.Name, string(u.cfg.Kind), findTag(body))
		if strings.Contains(string(body), crashMarker) {
			u.Crash()
			return
		}
		w.Header().Set(mpupstream.AttemptHeader, r.Header.Get(mpupstream.AttemptHeader))
		w.Header().Set(mpupstream.InstanceHeader, u.instanceID())
		if u.isCold() && !u.cfg.HideCold {
			w.Header().Set(mpupstream.ColdHeader, "1")
		}
		if rand.Float64() < u.cfg.ErrorRatio {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		sleep(r.Context(), 2*u.cfg.LinkDelayMS)
		if run(request{r.Context(), w, body, slowdown}) == nil {
			u.recordAnswer()
		}
	}
}

func (u *Upstream) instanceID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance
}

func (u *Upstream) isCold() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answered < u.cfg.WarmupAnswers
}

// admit counts a request as in flight. It returns the factor by which the current
// load slows answers down, or false if the upstream is cold and over its limit.
func (u *Upstream) admit() (float64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	if u.answered < u.cfg.WarmupAnswers && u.inFlight > u.cfg.ColdLimit {
		return 0, false
	}
	return max(float64(u.inFlight)/float64(u.cfg.Limit), 1), true
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

func (u *Upstream) recordAnswer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answered++
}

func sleep(ctx context.Context, ms float64) {
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// serviceTime returns a random service time in ms for the given slowdown factor.
func (u *Upstream) serviceTime(slowdown float64) float64 {
	ms := u.cfg.ServiceMS * slowdown * (0.8 + 0.4*rand.Float64())
	if rand.Float64() < u.cfg.SlowRatio {
		ms *= slowFactor
	}
	return ms
}

func (u *Upstream) reply(r request, v any) error {
	sleep(r.ctx, u.serviceTime(r.slowdown))
	if r.ctx.Err() != nil {
		return errClientGone
	}
	r.writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(r.writer).Encode(v)
}

func (u *Upstream) embed(r request) error {
	h := xxhash.Sum64(r.body)
	vector := []float64{float64(h % 97), float64(h % 89), float64(h % 83)}
	return u.reply(r, map[string]any{"data": []any{map[string]any{"embedding": vector}}})
}

func (u *Upstream) search(r request) error {
	// Answers come from a small set of texts, so that prompts to the engines share
	// prefixes.
	topic := xxhash.Sum64(r.body) % topicCount
	var docs []map[string]string
	for i := range 4 {
		text := strings.Repeat(fmt.Sprintf("topic %d passage %d. ", topic, i), 8)
		docs = append(docs, map[string]string{"id": fmt.Sprint(i), "text": text})
	}
	return u.reply(r, map[string]any{"documents": docs})
}

func (u *Upstream) rerank(r request) error {
	var req struct {
		Documents []string `json:"documents"`
		Top       int      `json:"top_n"`
	}
	if err := json.Unmarshal(r.body, &req); err != nil {
		return err
	}
	var results []map[string]any
	for i := range min(len(req.Documents), req.Top) {
		results = append(results, map[string]any{"index": i, "relevance_score": 1 / float64(i+1)})
	}
	return u.reply(r, map[string]any{"results": results})
}

func (u *Upstream) handlePlain(r request) error {
	return u.reply(r, map[string]any{"done": findTag(r.body)})
}

// complete streams a generated text that starts with the tag of the request and
// otherwise depends only on the prompt.
func (u *Upstream) complete(r request) error {
	var req struct {
		Prompt string `json:"prompt"`
		Max    int    `json:"max_tokens"`
	}
	if err := json.Unmarshal(r.body, &req); err != nil {
		return err
	}
	tokens, cached := u.prefill(req.Prompt)
	sleep(r.ctx, float64(tokens-cached)*u.cfg.PrefillMS)
	r.writer.Header().Set("Content-Type", "text/event-stream")
	seed := xxhash.Sum64String(req.Prompt)
	text := findTag(r.body)
	for i := range req.Max {
		sleep(r.ctx, u.serviceTime(r.slowdown))
		if r.ctx.Err() != nil {
			return errClientGone
		}
		if err := writeEvent(r.writer, text, i == req.Max-1, tokens, cached, i+1); err != nil {
			return err
		}
		text = fmt.Sprintf(" w%d", (seed>>(i%32))%100)
	}
	_, err := io.WriteString(r.writer, "data: [DONE]\n\n")
	return err
}

func writeEvent(w http.ResponseWriter, text string, last bool, tokens, cached, generated int) error {
	choice := map[string]any{"text": text, "index": 0, "finish_reason": nil}
	out := map[string]any{"choices": []any{choice}}
	if last {
		choice["finish_reason"] = "length"
		out["usage"] = map[string]int{"prompt_tokens": tokens, "cached_tokens": cached, "completion_tokens": generated}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	w.(http.Flusher).Flush()
	return nil
}

// prefill returns the length of the prompt and of its cached prefix, in tokens,
// and adds the blocks of the prompt to the cache.
func (u *Upstream) prefill(prompt string) (tokens, cached int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	hash := xxhash.New()
	hit := true
	for at := 0; at < len(prompt); at += blockBytes {
		block := prompt[at:min(at+blockBytes, len(prompt))]
		_, _ = hash.WriteString(block)
		key := hash.Sum64()
		_, found := u.cache[key]
		hit = hit && found
		if hit {
			cached += len(block) / tokenBytes
		}
		u.useCounter++
		u.cache[key] = u.useCounter
	}
	for len(u.cache) > max(u.cfg.CacheBlocks, 1) {
		u.evict()
	}
	return len(prompt) / tokenBytes, cached
}

// evict removes the least recently used block from the cache.
func (u *Upstream) evict() {
	var oldestKey uint64
	oldestUse := u.useCounter + 1
	for key, used := range u.cache {
		if used < oldestUse {
			oldestKey, oldestUse = key, used
		}
	}
	delete(u.cache, oldestKey)
}
