// Package mpcaller is the HTTP API for callers. It lists the addresses of serving VMs,
// validates, admits and runs requests, and writes responses with their outcomes.
package mpcaller

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/common/mpname"
	"mustardpost.org/core/process/mpmemory"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpadmit"
	"mustardpost.org/core/request/mppipeline"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"
)

const (
	// OutcomeHeader carries the outcome of the request.
	OutcomeHeader = "Mustardpost-Outcome"
	// CauseHeader carries the cause of the outcome in one word.
	CauseHeader = "Mustardpost-Cause"
	// RequestHeader carries the ID that the system gave the request.
	RequestHeader = "Mustardpost-Request"
	// RevisionHeader carries the revision to which the request was pinned.
	RevisionHeader = "Mustardpost-Revision"
	// RepeatedHeader is "1" on the stored response of an earlier submission.
	RepeatedHeader = "Mustardpost-Repeated"
	// RetryHeader carries the time in ms after which a retry may succeed.
	RetryHeader = "Mustardpost-Retry"
	// AddressHeader lists other addresses to use after a refusal.
	AddressHeader = "Mustardpost-Address"
	// DeadlineHeader lets a caller set a shorter deadline than its class has, in ms.
	DeadlineHeader = "Mustardpost-Deadline"
	// IdempotencyKeyHeader carries the caller's key of a non-idempotent request.
	IdempotencyKeyHeader = "Idempotency-Key"

	// AddressTTL is how long a caller may cache the response of /v1/address.
	AddressTTL = 3 * time.Second

	maxAddresses            = 4
	maxIdempotencyKeyLength = 200
	retryDelay              = 500 * time.Millisecond
)

// Config holds the dependencies of a Server.
type Config struct {
	VM         string
	DC         string
	Membership mppipeline.Membership
	Runner     *mppipeline.Runner
	Admission  *mpadmit.Controller
	// Memory limits what buffered responses hold; nil sets no limit.
	Memory  *mpmemory.Budget
	Metrics *mpmetric.Set
	Logger  log.Logger
	// OnOverload receives a text for the audit trail when overload persists.
	OnOverload func(text string)
}

// Server handles the HTTP requests of callers.
type Server struct {
	cfg              Config
	overloadDetector mpadmit.OverloadDetector

	mu                sync.Mutex
	outOfServiceSince time.Time
}

// New returns a Server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/address", s.serveAddress)
	mux.HandleFunc("POST /v1/entries/{name}", s.serveEntry)
	return mux
}

// RefusalHeader returns the header of the response to a request that did not arrive whole, with the
// given status. An earlier submission of a request that may succeed later may have run.
func RefusalHeader(status int, retryAfter time.Duration) http.Header {
	h := http.Header{}
	h.Set(OutcomeHeader, string(mppipeline.NotRun))
	h.Set(CauseHeader, "body")
	switch status {
	case http.StatusRequestTimeout:
		h.Set(OutcomeHeader, string(mppipeline.Unknown))
	case http.StatusServiceUnavailable:
		h.Set(OutcomeHeader, string(mppipeline.Unknown))
		h.Set(CauseHeader, "memory")
		h.Set(RetryHeader, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	return h
}

// OnView records when this VM or its data centre is taken out of service.
func (s *Server) OnView(now time.Time, _, next *mpview.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := next.IsOut(mpview.TargetDC, s.cfg.DC) || next.IsOut(mpview.TargetVM, s.cfg.VM)
	switch {
	case !out:
		s.outOfServiceSince = time.Time{}
	case s.outOfServiceSince.IsZero():
		s.outOfServiceSince = now
	}
}

// isOutOfService reports whether this VM has been out of service for longer than
// callers may cache its address.
func (s *Server) isOutOfService(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.outOfServiceSince.IsZero() && now.Sub(s.outOfServiceSince) > AddressTTL
}

type addressResponse struct {
	Addresses []string `json:"addresses"`
	// TTL is how long the response may be cached, in ms.
	TTL int64 `json:"keep"`
}

func (s *Server) serveAddress(w http.ResponseWriter, r *http.Request) {
	response := addressResponse{Addresses: s.servingAddresses(r.URL.Query().Get("dc")), TTL: AddressTTL.Milliseconds()}
	if len(response.Addresses) == 0 {
		s.refuse(w, refusal{status: http.StatusServiceUnavailable, cause: "lease", text: "no VM is known to serve", retry: retryDelay})
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// servingAddresses returns addresses of serving VMs, those in dc first. Within dc and
// outside it the order is random, to spread callers over the VMs.
func (s *Server) servingAddresses(dc string) []string {
	var local, remote []string
	for _, vm := range s.cfg.Membership.Current().Serving() {
		if vm.DC == dc {
			local = append(local, vm.Address)
		} else {
			remote = append(remote, vm.Address)
		}
	}
	for _, list := range [][]string{local, remote} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	list := append(local, remote...)
	return list[:min(len(list), maxAddresses)]
}

type refusal struct {
	status int
	cause  string
	text   string
	retry  time.Duration
	// inDoubt reports whether an earlier submission with the same key may have run.
	inDoubt bool
}

func newRefusal(status int, cause, text string) *refusal {
	return &refusal{status: status, cause: cause, text: text}
}

func (s *Server) serveEntry(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := rand.Uint64()
	w.Header().Set(RequestHeader, mpid.Hex(id))
	req, refused := s.parse(now, r)
	if refused != nil {
		s.refuse(w, *refused)
		return
	}
	req.ID = id
	w.Header().Set(RevisionHeader, strconv.FormatUint(req.View.Revision(), 10))
	release, refused := s.admit(now, req)
	if refused != nil {
		s.recordRefusal(now, req, refused.cause)
		s.refuse(w, *refused)
		return
	}
	defer release()
	s.run(w, r, req)
}

// parse validates the request against the current view.
func (s *Server) parse(now time.Time, r *http.Request) (mppipeline.Request, *refusal) {
	view := s.cfg.Membership.Current()
	req := mppipeline.Request{View: view, ContentType: r.Header.Get("Content-Type")}
	if !s.cfg.Membership.HasLease(now) {
		return req, &refusal{
			status: http.StatusServiceUnavailable, cause: "lease", text: "this VM has no lease",
			retry: retryDelay, inDoubt: r.Header.Get(IdempotencyKeyHeader) != "",
		}
	}
	account, ok := authenticate(view.Catalogue(), r)
	if !ok {
		return req, newRefusal(http.StatusUnauthorized, "key", "missing or wrong account key")
	}
	entry, ok := view.Catalogue().Entry(r.PathValue("name"))
	if !ok {
		return req, newRefusal(http.StatusNotFound, "entry", "unknown entry "+strconv.Quote(r.PathValue("name")))
	}
	if !isAllowed(entry, account.Name) {
		return req, newRefusal(http.StatusForbidden, "account", "account "+account.Name+" may not use this entry")
	}
	class, _ := view.Catalogue().Class(entry.Class)
	req.Account, req.Entry, req.Class = account, entry, class
	return s.parsePayload(now, r, req)
}

func authenticate(cat *mpcatalogue.Catalogue, r *http.Request) (mpcatalogue.Account, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return mpcatalogue.Account{}, false
	}
	return cat.AccountByKeyHash(mpname.Hash(key))
}

func isAllowed(e mpcatalogue.Entry, account string) bool {
	return e.Accounts == nil || slices.Contains(e.Accounts, account)
}

func (s *Server) parsePayload(now time.Time, r *http.Request, req mppipeline.Request) (mppipeline.Request, *refusal) {
	timeout, refused := parseDeadline(r, req.Class)
	if refused != nil {
		return req, refused
	}
	req.Deadline = now.Add(timeout)
	req.Class.Deadline = int(timeout.Milliseconds())
	if req.Key, refused = parseIdempotencyKey(r, req.Entry); refused != nil {
		return req, refused
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return req, newRefusal(http.StatusBadRequest, "body", "body cannot be read: "+err.Error())
	}
	req.Body = body
	if refused := s.parseInput(&req); refused != nil {
		return req, refused
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(req.Entry.Name + "\n")
	_, _ = hash.Write(body)
	req.Fingerprint = hash.Sum64()
	return req, nil
}

func parseDeadline(r *http.Request, class mpcatalogue.Class) (time.Duration, *refusal) {
	timeout := time.Duration(class.Deadline) * time.Millisecond
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, newRefusal(http.StatusBadRequest, "deadline", DeadlineHeader+" must be a positive number of ms")
	}
	// Compare in ms: a huge value would overflow time.Duration.
	return time.Duration(min(ms, int64(class.Deadline))) * time.Millisecond, nil
}

// parseIdempotencyKey returns the idempotency key, which non-idempotent entries
// require. The key starts with its creation time, so that an old one can be recognised.
func parseIdempotencyKey(r *http.Request, e mpcatalogue.Entry) (*mppipeline.Key, *refusal) {
	if !e.HasOnceStage() {
		return nil, nil
	}
	text := r.Header.Get(IdempotencyKeyHeader)
	issuedText, suffix, ok := strings.Cut(text, "-")
	issuedMs, err := strconv.ParseInt(issuedText, 10, 64)
	if !ok || err != nil || suffix == "" || len(text) > maxIdempotencyKeyLength {
		return nil, newRefusal(http.StatusBadRequest, "idempotency",
			"this entry needs "+IdempotencyKeyHeader+": <ms since 1970>-<text of your own>, at most 200 characters")
	}
	return &mppipeline.Key{Text: text, IssuedMs: issuedMs}, nil
}

// parseInput decodes the body of a request to a model entry. The body of a plain
// entry is passed through unchanged.
func (s *Server) parseInput(req *mppipeline.Request) *refusal {
	firstPool, _ := req.View.Catalogue().Pool(req.Entry.Stages[0].Pool)
	if firstPool.Kind == mpcatalogue.Plain {
		return nil
	}
	if err := json.Unmarshal(req.Body, &req.Input); err != nil {
		return newRefusal(http.StatusBadRequest, "body", "body is not JSON with an input: "+err.Error())
	}
	if req.Input.Input == "" || req.Input.MaxTokens < 0 {
		return newRefusal(http.StatusBadRequest, "body", "input is missing, or max is negative")
	}
	return nil
}

func (s *Server) admit(now time.Time, req mppipeline.Request) (func(), *refusal) {
	if s.isOutOfService(now) {
		return nil, &refusal{
			status: http.StatusServiceUnavailable, cause: "out", text: "this VM is out of service; use another address",
			retry: time.Millisecond, inDoubt: req.Key != nil,
		}
	}
	release, err := s.cfg.Admission.Admit(mpadmit.Request{
		Account:      req.Account.Name,
		Weight:       req.Account.Weight,
		AccountLimit: req.Account.Limit,
		Entry:        req.Entry.Name,
		EntryLimit:   req.Entry.Limit,
	})
	if err != nil {
		return nil, &refusal{
			status: http.StatusTooManyRequests, cause: "full", text: err.Error(),
			retry: retryDelay, inDoubt: req.Key != nil,
		}
	}
	return release, nil
}

// recordRefusal counts a refusal by cause, account and class, and calls OnOverload if
// overload persists.
func (s *Server) recordRefusal(now time.Time, req mppipeline.Request, cause string) {
	s.cfg.Metrics.Add("refused.cause."+cause, 1)
	s.cfg.Metrics.Add("refused.account."+req.Account.Name, 1)
	s.cfg.Metrics.Add("refused.class."+req.Class.Name, 1)
	if cause != "full" && cause != "late" {
		return
	}
	if text, ok := s.overloadDetector.RecordRefusal(now, cause); ok && s.cfg.OnOverload != nil {
		s.cfg.OnOverload(text)
	}
}

func (s *Server) refuse(w http.ResponseWriter, refused refusal) {
	out := mppipeline.Outcome{Kind: mppipeline.NotRun, Status: refused.status, Cause: refused.cause, Text: refused.text, RetryAfter: refused.retry}
	if refused.inDoubt {
		out.Kind = mppipeline.Unknown
		out.Text += "; this submission was not run, but an earlier one with its key may have been"
	}
	s.cfg.Metrics.Add("outcome."+string(out.Kind), 1)
	s.writeProblem(w, out)
}

// Problem is the body of every response that is not the entry's own.
type Problem struct {
	Outcome mppipeline.Kind `json:"outcome"`
	Cause   string          `json:"cause"`
	Text    string          `json:"text"`
	// Retry is the time in ms after which a retry may succeed; absent if none would.
	Retry int64 `json:"retry,omitempty"`
}

func (s *Server) writeProblem(w http.ResponseWriter, out mppipeline.Outcome) {
	h := w.Header()
	h.Set(OutcomeHeader, string(out.Kind))
	h.Set(CauseHeader, out.Cause)
	if out.RetryAfter > 0 {
		h.Set(RetryHeader, strconv.FormatInt(out.RetryAfter.Milliseconds(), 10))
		h.Set("Retry-After", strconv.Itoa(int((out.RetryAfter+time.Second-1)/time.Second)))
	}
	if out.Cause == "lease" || out.Cause == "out" {
		h.Set(AddressHeader, strings.Join(s.servingAddresses(""), ","))
	}
	writeJSON(w, out.Status, Problem{out.Kind, out.Cause, out.Text, out.RetryAfter.Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot fail: responses have only encodable fields.
	}
	writeBody(w, status, "application/json", data)
}

func writeBody(w http.ResponseWriter, status int, contentType string, data []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, req mppipeline.Request) {
	started := time.Now()
	stream := newStream(w, req)
	if stream != nil {
		req.Emit = stream.writeText
	}
	// What is buffered of responses is held until this one is written.
	tally := mpmemory.NewTally(s.cfg.Memory)
	defer tally.Close()
	out := s.cfg.Runner.Run(mpmemory.WithTally(r.Context(), tally), req)
	ended := time.Now()
	s.recordOutcome(ended, started, req, out)
	switch {
	case stream != nil && stream.started:
		stream.finish(out)
	case out.Kind != mppipeline.Answered:
		s.writeProblem(w, out)
	case stream != nil && out.Status < http.StatusBadRequest:
		stream.finish(out)
	default:
		w.Header().Set(OutcomeHeader, string(out.Kind))
		if out.Repeated {
			w.Header().Set(RepeatedHeader, "1")
		}
		writeBody(w, out.Status, out.Response.ContentType, out.Response.Body)
	}
}

func (s *Server) recordOutcome(now, started time.Time, req mppipeline.Request, out mppipeline.Outcome) {
	s.cfg.Metrics.Add("outcome."+string(out.Kind), 1)
	s.cfg.Metrics.ObserveDuration("request", now.Sub(started))
	if out.Kind == mppipeline.Answered && now.After(req.Deadline) {
		s.cfg.Metrics.Add("outcome.late", 1)
	}
	if out.Kind == mppipeline.Answered {
		return
	}
	s.recordRefusal(now, req, out.Cause)
	level.Info(s.cfg.Logger).Log("msg", "request", "request", mpid.Hex(req.ID), "entry", req.Entry.Name,
		"account", req.Account.Name, "revision", req.View.Revision(), "outcome", out.Kind, "cause", out.Cause, "text", out.Text)
}
