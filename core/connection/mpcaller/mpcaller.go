// Package mpcaller serves callers: it names addresses to use, checks and
// admits requests, runs them, and writes their answers with their outcomes.
package mpcaller

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/common/mpname"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpadmit"
	"mustardpost.org/core/request/mppipeline"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"
)

const (
	// OutcomeHeader states how a request ended.
	OutcomeHeader = "Mustardpost-Outcome"
	// CauseHeader gives one word for the reason.
	CauseHeader = "Mustardpost-Cause"
	// RequestHeader carries the system's id of the request.
	RequestHeader = "Mustardpost-Request"
	// RevisionHeader carries the revision that the request was pinned to.
	RevisionHeader = "Mustardpost-Revision"
	// RepeatedHeader is "1" on the recorded answer of an earlier submission.
	RepeatedHeader = "Mustardpost-Repeated"
	// RetryHeader tells in ms when coming back may help.
	RetryHeader = "Mustardpost-Retry"
	// AddressHeader names other addresses on a refusal.
	AddressHeader = "Mustardpost-Address"
	// DeadlineHeader lets a caller ask for less time than the class allows, in ms.
	DeadlineHeader = "Mustardpost-Deadline"
	// KeyHeader carries the caller's key of a non-idempotent request.
	KeyHeader = "Idempotency-Key"

	// Keep is how long a caller may keep the answer of /v1/address.
	Keep = 3 * time.Second

	maxAddresses = 4
	maxKey       = 200
	leaseRetry   = 500 * time.Millisecond
)

// Config holds what a Caller needs from outside.
type Config struct {
	VM         string
	DC         string
	Membership mppipeline.Membership
	Runner     *mppipeline.Runner
	Door       *mpadmit.Controller
	Metrics    *mpmetric.Set
	Logger     log.Logger
	// OnOverload is told a text for the audit trail when overload lasts.
	OnOverload func(text string)
}

// Caller is the HTTP side towards callers.
type Caller struct {
	cfg      Config
	overload mpadmit.OverloadDetector

	mu       sync.Mutex
	outSince time.Time
}

// New returns a Caller.
func New(cfg Config) *Caller { return &Caller{cfg: cfg} }

// Handler returns the routes for callers.
func (c *Caller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/address", c.address)
	mux.HandleFunc("POST /v1/entries/{name}", c.entry)
	return mux
}

// Refusal returns the headers of an answer to a request that cannot be parsed.
func Refusal() http.Header {
	h := http.Header{}
	h.Set(OutcomeHeader, string(mppipeline.NotRun))
	h.Set(CauseHeader, "body")
	return h
}

// OnView notes when this VM's data centre or the VM itself is taken out.
func (c *Caller) OnView(now time.Time, _, next *mpview.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := next.IsOut(mpview.TargetDC, c.cfg.DC) || next.IsOut(mpview.TargetVM, c.cfg.VM)
	switch {
	case !out:
		c.outSince = time.Time{}
	case c.outSince.IsZero():
		c.outSince = now
	}
}

// isOut reports whether callers had their time to go elsewhere.
func (c *Caller) isOut(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.outSince.IsZero() && now.Sub(c.outSince) > Keep
}

type addressReply struct {
	Addresses []string `json:"addresses"`
	// Keep is how long the answer may be kept, in ms.
	Keep int64 `json:"keep"`
}

func (c *Caller) address(w http.ResponseWriter, r *http.Request) {
	reply := addressReply{Addresses: c.addresses(r.URL.Query().Get("dc")), Keep: Keep.Milliseconds()}
	if len(reply.Addresses) == 0 {
		c.refuse(w, refusal{status: http.StatusServiceUnavailable, cause: "lease", text: "no VM is known to serve", retry: leaseRetry})
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// addresses returns VMs that serve, those of dc first, each part in random
// order so that callers spread.
func (c *Caller) addresses(dc string) []string {
	var near, far []string
	for _, vm := range c.cfg.Membership.Current().Serving() {
		if vm.DC == dc {
			near = append(near, vm.Address)
		} else {
			far = append(far, vm.Address)
		}
	}
	for _, list := range [][]string{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	list := append(near, far...)
	return list[:min(len(list), maxAddresses)]
}

type refusal struct {
	status int
	cause  string
	text   string
	retry  time.Duration
	// doubt tells that an earlier submission with the same key may have run.
	doubt bool
}

func bad(status int, cause, text string) *refusal {
	return &refusal{status: status, cause: cause, text: text}
}

func (c *Caller) entry(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := rand.Uint64()
	w.Header().Set(RequestHeader, mpid.Hex(id))
	req, no := c.parse(now, r)
	if no != nil {
		c.refuse(w, *no)
		return
	}
	req.ID = id
	w.Header().Set(RevisionHeader, strconv.FormatUint(req.View.Revision(), 10))
	leave, no := c.admit(now, req)
	if no != nil {
		c.note(now, req, no.cause)
		c.refuse(w, *no)
		return
	}
	defer leave()
	c.run(w, r, req)
}

// parse checks the request against the view in force.
func (c *Caller) parse(now time.Time, r *http.Request) (mppipeline.Request, *refusal) {
	view := c.cfg.Membership.Current()
	req := mppipeline.Request{View: view, ContentType: r.Header.Get("Content-Type")}
	if !c.cfg.Membership.HasLease(now) {
		return req, &refusal{
			status: http.StatusServiceUnavailable, cause: "lease", text: "this VM has no lease",
			retry: leaseRetry, doubt: r.Header.Get(KeyHeader) != "",
		}
	}
	account, ok := authenticate(view.Catalogue(), r)
	if !ok {
		return req, bad(http.StatusUnauthorized, "key", "missing or wrong account key")
	}
	entry, ok := view.Catalogue().Entry(r.PathValue("name"))
	if !ok {
		return req, bad(http.StatusNotFound, "entry", "unknown entry "+strconv.Quote(r.PathValue("name")))
	}
	if !allows(entry, account.Name) {
		return req, bad(http.StatusForbidden, "account", "account "+account.Name+" may not use this entry")
	}
	class, _ := view.Catalogue().Class(entry.Class)
	req.Account, req.Entry, req.Class = account, entry, class
	return c.parseRest(now, r, req)
}

func authenticate(cat *mpcatalogue.Catalogue, r *http.Request) (mpcatalogue.Account, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return mpcatalogue.Account{}, false
	}
	return cat.AccountByKeyHash(mpname.Hash(key))
}

func allows(e mpcatalogue.Entry, account string) bool {
	if len(e.Accounts) == 0 {
		return true
	}
	for _, a := range e.Accounts {
		if a == account {
			return true
		}
	}
	return false
}

func (c *Caller) parseRest(now time.Time, r *http.Request, req mppipeline.Request) (mppipeline.Request, *refusal) {
	total, no := deadline(r, req.Class)
	if no != nil {
		return req, no
	}
	req.Deadline = now.Add(total)
	req.Class.Deadline = int(total.Milliseconds())
	if req.Key, no = key(r, req.Entry); no != nil {
		return req, no
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return req, bad(http.StatusBadRequest, "body", "body cannot be read: "+err.Error())
	}
	req.Body = body
	if no := c.parseInput(&req); no != nil {
		return req, no
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(req.Entry.Name + "\n")
	_, _ = hash.Write(body)
	req.Fingerprint = hash.Sum64()
	return req, nil
}

func deadline(r *http.Request, class mpcatalogue.Class) (time.Duration, *refusal) {
	total := time.Duration(class.Deadline) * time.Millisecond
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return total, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, bad(http.StatusBadRequest, "deadline", DeadlineHeader+" must be a positive number of ms")
	}
	// Compared in ms, as a huge number would overflow a duration.
	return time.Duration(min(ms, int64(class.Deadline))) * time.Millisecond, nil
}

// key returns the idempotency key, which a non-idempotent entry requires. Its
// first part is the time of its making, so that an old one can be told.
func key(r *http.Request, e mpcatalogue.Entry) (*mppipeline.Key, *refusal) {
	if !e.HasOnceStage() {
		return nil, nil
	}
	text := r.Header.Get(KeyHeader)
	issued, rest, ok := strings.Cut(text, "-")
	at, err := strconv.ParseInt(issued, 10, 64)
	if !ok || err != nil || rest == "" || len(text) > maxKey {
		return nil, bad(http.StatusBadRequest, "idempotency",
			"this entry needs "+KeyHeader+": <ms since 1970>-<text of your own>, at most 200 characters")
	}
	return &mppipeline.Key{Text: text, IssuedMs: at}, nil
}

// parseInput reads the body of a request to a model entry; a plain entry's
// body passes through as it is.
func (c *Caller) parseInput(req *mppipeline.Request) *refusal {
	first, _ := req.View.Catalogue().Pool(req.Entry.Stages[0].Pool)
	if first.Kind == mpcatalogue.Plain {
		return nil
	}
	if err := json.Unmarshal(req.Body, &req.Input); err != nil {
		return bad(http.StatusBadRequest, "body", "body is not JSON with an input: "+err.Error())
	}
	if req.Input.Input == "" || req.Input.MaxTokens < 0 {
		return bad(http.StatusBadRequest, "body", "input is missing, or max is negative")
	}
	return nil
}

func (c *Caller) admit(now time.Time, req mppipeline.Request) (func(), *refusal) {
	if c.isOut(now) {
		return nil, &refusal{
			status: http.StatusServiceUnavailable, cause: "out", text: "this VM is out of service; use another address",
			retry: time.Millisecond, doubt: req.Key != nil,
		}
	}
	leave, err := c.cfg.Door.Admit(mpadmit.Request{
		Account:      req.Account.Name,
		Weight:       req.Account.Weight,
		AccountLimit: req.Account.Limit,
		Entry:        req.Entry.Name,
		EntryLimit:   req.Entry.Limit,
	})
	if err != nil {
		return nil, &refusal{
			status: http.StatusTooManyRequests, cause: "full", text: err.Error(),
			retry: leaseRetry, doubt: req.Key != nil,
		}
	}
	return leave, nil
}

// note counts a refusal by cause, account and class, and tells of overload
// that lasts.
func (c *Caller) note(now time.Time, req mppipeline.Request, cause string) {
	c.cfg.Metrics.Add("refused.cause."+cause, 1)
	c.cfg.Metrics.Add("refused.account."+req.Account.Name, 1)
	c.cfg.Metrics.Add("refused.class."+req.Class.Name, 1)
	if cause != "full" && cause != "late" {
		return
	}
	if text, ok := c.overload.RecordRefusal(now, cause); ok && c.cfg.OnOverload != nil {
		c.cfg.OnOverload(text)
	}
}

func (c *Caller) refuse(w http.ResponseWriter, no refusal) {
	out := mppipeline.Outcome{Kind: mppipeline.NotRun, Status: no.status, Cause: no.cause, Text: no.text, RetryAfter: no.retry}
	if no.doubt {
		out.Kind = mppipeline.Unknown
		out.Text += "; this submission was not run, but an earlier one with its key may have been"
	}
	c.cfg.Metrics.Add("outcome."+string(out.Kind), 1)
	c.writeProblem(w, out)
}

// Problem is the body of every answer that is not the entry's own.
type Problem struct {
	Outcome mppipeline.Kind `json:"outcome"`
	Cause   string          `json:"cause"`
	Text    string          `json:"text"`
	// Retry is when coming back may help, in ms; absent when it does not.
	Retry int64 `json:"retry,omitempty"`
}

func (c *Caller) writeProblem(w http.ResponseWriter, out mppipeline.Outcome) {
	h := w.Header()
	h.Set(OutcomeHeader, string(out.Kind))
	h.Set(CauseHeader, out.Cause)
	if out.RetryAfter > 0 {
		h.Set(RetryHeader, strconv.FormatInt(out.RetryAfter.Milliseconds(), 10))
		h.Set("Retry-After", strconv.Itoa(int((out.RetryAfter+time.Second-1)/time.Second)))
	}
	if out.Cause == "lease" || out.Cause == "out" {
		h.Set(AddressHeader, strings.Join(c.addresses(""), ","))
	}
	writeJSON(w, out.Status, Problem{out.Kind, out.Cause, out.Text, out.RetryAfter.Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Replies hold only plain values.
	}
	writeBody(w, status, "application/json", data)
}

func writeBody(w http.ResponseWriter, status int, kind string, data []byte) {
	if kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (c *Caller) run(w http.ResponseWriter, r *http.Request, req mppipeline.Request) {
	started := time.Now()
	stream := newStream(w, req)
	if stream != nil {
		req.Emit = stream.emit
	}
	out := c.cfg.Runner.Run(r.Context(), req)
	ended := time.Now()
	c.count(ended, started, req, out)
	switch {
	case stream != nil && stream.started:
		stream.end(out)
	case out.Kind != mppipeline.Answered:
		c.writeProblem(w, out)
	case stream != nil && out.Status < http.StatusBadRequest:
		stream.end(out)
	default:
		w.Header().Set(OutcomeHeader, string(out.Kind))
		if out.Repeated {
			w.Header().Set(RepeatedHeader, "1")
		}
		writeBody(w, out.Status, out.Answer.Type, out.Answer.Body)
	}
}

func (c *Caller) count(now, started time.Time, req mppipeline.Request, out mppipeline.Outcome) {
	c.cfg.Metrics.Add("outcome."+string(out.Kind), 1)
	c.cfg.Metrics.ObserveDuration("request", now.Sub(started))
	if out.Kind == mppipeline.Answered && now.After(req.Deadline) {
		c.cfg.Metrics.Add("outcome.late", 1)
	}
	if out.Kind == mppipeline.Answered {
		return
	}
	c.note(now, req, out.Cause)
	level.Info(c.cfg.Logger).Log("msg", "request", "request", mpid.Hex(req.ID), "entry", req.Entry.Name,
		"account", req.Account.Name, "revision", req.View.Revision(), "outcome", out.Kind, "cause", out.Cause, "text", out.Text)
}
