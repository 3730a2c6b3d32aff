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
	poison      = "crash-the-engine"
	slowTimes   = 10
	blockBytes  = 64
	tokenBytes  = 4
	listenRetry = 20 * time.Millisecond
	documents   = 8
)

// Upstream is one running fake.
type Upstream struct {
	cfg    Config
	ledger *Ledger

	mu       sync.Mutex
	server   *http.Server
	instance string
	running  int
	served   int
	cache    map[uint64]int
	clock    int
	stopped  bool
}

// NewUpstream returns a fake that is not listening yet.
func NewUpstream(cfg Config, ledger *Ledger) *Upstream {
	return &Upstream{cfg: cfg, ledger: ledger}
}

// Start listens, cold.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.cfg.Address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instance = fmt.Sprintf("%016x", rand.Uint64())
	u.served = 0
	u.cache = map[uint64]int{}
	u.server = &http.Server{Handler: u.handler()}
	server := u.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// Stop closes the fake for good.
func (u *Upstream) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	_ = u.server.Close()
}

// Crash drops all connections and comes back cold after the configured time.
func (u *Upstream) Crash() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.ledger.crashed(u.cfg.Name)
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
		time.AfterFunc(listenRetry, u.restart)
	}
}

// ResetWarmup makes the fake cold without a sign.
func (u *Upstream) ResetWarmup() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served = 0
	u.cache = map[uint64]int{}
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/embeddings", u.serve(u.embed))
	mux.HandleFunc("POST /v1/search", u.serve(u.search))
	mux.HandleFunc("POST /v1/rerank", u.serve(u.rerank))
	mux.HandleFunc("POST /v1/completions", u.serve(u.complete))
	mux.HandleFunc("POST /v1/orders", u.order)
	mux.HandleFunc("/", u.serve(u.plain))
	return mux
}

func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sleep(r.Context(), u.cfg.ServiceMS)
	if !u.ledger.ordered(u.cfg.Name, o.Fence, u.cfg.CheckFence) {
		w.WriteHeader(http.StatusConflict)
	}
}

// work is one request that the fake runs.
type work struct {
	ctx  context.Context
	w    http.ResponseWriter
	body []byte
	load float64
}

var errGone = errors.New("caller gone")

func (u *Upstream) serve(run func(work) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		load, ok := u.enter()
		defer u.exit()
		if !ok {
			u.ledger.overran()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		u.ledger.ran(time.Now(), u.cfg.Name, string(u.cfg.Kind), tagOf(body))
		if strings.Contains(string(body), poison) {
			u.Crash()
			return
		}
		w.Header().Set(mpupstream.AttemptHeader, r.Header.Get(mpupstream.AttemptHeader))
		w.Header().Set(mpupstream.InstanceHeader, u.name())
		if u.isCold() && !u.cfg.HideCold {
			w.Header().Set(mpupstream.ColdHeader, "1")
		}
		if rand.Float64() < u.cfg.ErrorRatio {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		sleep(r.Context(), 2*u.cfg.LinkDelayMS)
		if run(work{r.Context(), w, body, load}) == nil {
			u.count()
		}
	}
}

func (u *Upstream) name() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance
}

func (u *Upstream) isCold() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.served < u.cfg.WarmupAnswers
}

// enter returns by how much the load slows answers down, and false when the
// fake is cold and falls over.
func (u *Upstream) enter() (float64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	if u.served < u.cfg.WarmupAnswers && u.running > u.cfg.ColdLimit {
		return 0, false
	}
	return max(float64(u.running)/float64(u.cfg.Limit), 1), true
}

func (u *Upstream) exit() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *Upstream) count() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
}

func sleep(ctx context.Context, ms float64) {
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// serviceTime returns the time of an answer in ms.
func (u *Upstream) serviceTime(load float64) float64 {
	ms := u.cfg.ServiceMS * load * (0.8 + 0.4*rand.Float64())
	if rand.Float64() < u.cfg.SlowRatio {
		ms *= slowTimes
	}
	return ms
}

func (u *Upstream) reply(w work, v any) error {
	sleep(w.ctx, u.serviceTime(w.load))
	if w.ctx.Err() != nil {
		return errGone
	}
	w.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w.w).Encode(v)
}

func (u *Upstream) embed(w work) error {
	h := xxhash.Sum64(w.body)
	vector := []float64{float64(h % 97), float64(h % 89), float64(h % 83)}
	return u.reply(w, map[string]any{"data": []any{map[string]any{"embedding": vector}}})
}

func (u *Upstream) search(w work) error {
	// A few shared texts give the engines prefixes in common.
	topic := xxhash.Sum64(w.body) % documents
	var docs []map[string]string
	for i := range 4 {
		text := strings.Repeat(fmt.Sprintf("topic %d passage %d. ", topic, i), 8)
		docs = append(docs, map[string]string{"id": fmt.Sprint(i), "text": text})
	}
	return u.reply(w, map[string]any{"documents": docs})
}

func (u *Upstream) rerank(w work) error {
	var req struct {
		Documents []string `json:"documents"`
		Top       int      `json:"top_n"`
	}
	if err := json.Unmarshal(w.body, &req); err != nil {
		return err
	}
	var results []map[string]any
	for i := range min(len(req.Documents), req.Top) {
		results = append(results, map[string]any{"index": i, "relevance_score": 1 / float64(i+1)})
	}
	return u.reply(w, map[string]any{"results": results})
}

func (u *Upstream) plain(w work) error {
	return u.reply(w, map[string]any{"done": tagOf(w.body)})
}

// complete streams a text that depends on the prompt alone and begins with the
// tag of the request.
func (u *Upstream) complete(w work) error {
	var req struct {
		Prompt string `json:"prompt"`
		Max    int    `json:"max_tokens"`
	}
	if err := json.Unmarshal(w.body, &req); err != nil {
		return err
	}
	tokens, cached := u.prefill(req.Prompt)
	sleep(w.ctx, float64(tokens-cached)*u.cfg.PrefillMS)
	w.w.Header().Set("Content-Type", "text/event-stream")
	seed := xxhash.Sum64String(req.Prompt)
	text := tagOf(w.body)
	for i := range req.Max {
		sleep(w.ctx, u.serviceTime(w.load))
		if w.ctx.Err() != nil {
			return errGone
		}
		if err := event(w.w, text, i == req.Max-1, tokens, cached, i+1); err != nil {
			return err
		}
		text = fmt.Sprintf(" w%d", (seed>>(i%32))%100)
	}
	_, err := io.WriteString(w.w, "data: [DONE]\n\n")
	return err
}

func event(w http.ResponseWriter, text string, last bool, tokens, cached, made int) error {
	choice := map[string]any{"text": text, "index": 0, "finish_reason": nil}
	out := map[string]any{"choices": []any{choice}}
	if last {
		choice["finish_reason"] = "length"
		out["usage"] = map[string]int{"prompt_tokens": tokens, "cached_tokens": cached, "completion_tokens": made}
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

// prefill returns the prompt's length and how much of it the cache holds, in
// tokens, and puts the prompt's blocks into the cache.
func (u *Upstream) prefill(prompt string) (tokens, cached int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	hash := xxhash.New()
	hit := true
	for at := 0; at < len(prompt); at += blockBytes {
		block := prompt[at:min(at+blockBytes, len(prompt))]
		_, _ = hash.WriteString(block)
		key := hash.Sum64()
		_, have := u.cache[key]
		hit = hit && have
		if hit {
			cached += len(block) / tokenBytes
		}
		u.clock++
		u.cache[key] = u.clock
	}
	for len(u.cache) > max(u.cfg.CacheBlocks, 1) {
		u.evict()
	}
	return len(prompt) / tokenBytes, cached
}

func (u *Upstream) evict() {
	var oldest uint64
	at := u.clock + 1
	for key, used := range u.cache {
		if used < at {
			oldest, at = key, used
		}
	}
	delete(u.cache, oldest)
}
