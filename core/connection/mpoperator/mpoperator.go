// Package mpoperator serves operators: changes, the catalogue, status, the
// audit trail and metrics, as JSON over HTTP on an address of its own.
package mpoperator

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpname"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpproposer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpreplica"
	"mustardpost.org/core/process/mpsettings"
	"mustardpost.org/core/request/mppipeline"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	maxWait      = time.Minute
	commitWithin = 10 * time.Second
	queryWithin  = time.Second
	auditDefault = 100
	auditMost    = 5000
)

// Config holds what an Operator needs from outside.
type Config struct {
	VM         string
	Tokens     []mpsettings.Token
	Voters     []string
	Membership mppipeline.Membership
	Proposer   *mpproposer.Proposer
	Client     *mppeer.Client
	Logger     log.Logger
}

// Operator is the HTTP side towards operators.
type Operator struct {
	cfg    Config
	byHash map[string]string
}

// New returns an Operator.
func New(cfg Config) *Operator {
	o := &Operator{cfg: cfg, byHash: map[string]string{}}
	for _, t := range cfg.Tokens {
		o.byHash[t.Hash] = t.Who
	}
	return o
}

// Handler returns the routes for operators.
func (o *Operator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/catalogue", o.catalogue)
	mux.HandleFunc("POST /v1/changes", o.change)
	mux.HandleFunc("GET /v1/audit", o.audit)
	mux.HandleFunc("POST /v1/orders", o.order)
	mux.HandleFunc("GET /v1/orders", o.orders)
	mux.HandleFunc("GET /v1/status", o.status)
	mux.HandleFunc("GET /v1/upstreams", o.upstreams)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	mux.Handle("GET /debug/pprof/goroutine", pprof.Handler("goroutine"))
	return o.authorize(mux)
}

type whoKey struct{}

func (o *Operator) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		who, ok := o.byHash[mpname.Hash(token)]
		if !ok {
			write(w, http.StatusUnauthorized, Failure{"denied", "missing or wrong operator token"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), whoKey{}, who)))
	})
}

// Failure is the body of an answer that is not what was asked for.
type Failure struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

func write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"code":"error","text":"encoding"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Catalogue is the catalogue of a revision.
type Catalogue struct {
	Revision  uint64               `json:"revision"`
	Catalogue mpcatalogue.Document `json:"catalogue"`
}

func (o *Operator) catalogue(w http.ResponseWriter, _ *http.Request) {
	v := o.cfg.Membership.Current()
	write(w, http.StatusOK, Catalogue{v.Revision(), v.Catalogue().Document()})
}

// Change is a request for one change. Exactly one of Edit and Mark is set.
type Change struct {
	// ID is the operator's own; a resend with the same ID gets the first answer.
	ID string `json:"id"`
	// Base is the revision that the operator saw; 0 skips the check.
	Base uint64 `json:"base,omitempty"`
	// Wait is how long to wait until the change is in force, in ms.
	Wait int               `json:"wait,omitempty"`
	Edit *mpcatalogue.Edit `json:"edit,omitempty"`
	Mark *mpview.Mark      `json:"mark,omitempty"`
}

// Accepted is the answer to an accepted Change.
type Accepted struct {
	Revision uint64 `json:"revision"`
	// Force tells that every VM acts on it.
	Force bool `json:"force"`
	// Took is the time from the proposal to that moment, in ms.
	Took int64 `json:"took"`
}

func (o *Operator) change(w http.ResponseWriter, r *http.Request) {
	var c Change
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		write(w, http.StatusBadRequest, Failure{"invalid", err.Error()})
		return
	}
	op, err := c.op()
	if err != nil {
		write(w, http.StatusBadRequest, Failure{"invalid", err.Error()})
		return
	}
	wait := min(time.Duration(max(c.Wait, 0))*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), commitWithin+wait)
	defer cancel()
	who, _ := r.Context().Value(whoKey{}).(string)
	cmd := mpstate.Change{ID: c.ID, Who: who, Base: c.Base, Change: mpview.Change{Op: op}}
	reply, err := o.cfg.Proposer.Propose(ctx, cmd, wait)
	if err == nil {
		err = reply.Result.Err()
	}
	if err != nil {
		status, code := statusOf(err)
		write(w, status, Failure{code, err.Error()})
		return
	}
	_ = level.Info(o.cfg.Logger).Log("msg", "change", "who", who, "id", c.ID, "revision", reply.Result.Revision)
	write(w, http.StatusOK, Accepted{reply.Result.Revision, reply.InForce, reply.Took.Milliseconds()})
}

func (c Change) op() (mpview.Op, error) {
	switch {
	case c.ID == "":
		return nil, mperror.Wrap(mperror.ErrInvalid, "id is missing")
	case c.Edit != nil && c.Mark == nil:
		return mpview.Edit{Edit: *c.Edit}, nil
	case c.Mark != nil && c.Edit == nil:
		return *c.Mark, nil
	}
	return nil, mperror.Wrap(mperror.ErrInvalid, "exactly one of edit and mark")
}

func statusOf(err error) (int, string) {
	switch {
	case errors.Is(err, mperror.ErrInvalid):
		return http.StatusBadRequest, "invalid"
	case errors.Is(err, mperror.ErrNotFound):
		return http.StatusNotFound, "unfound"
	case errors.Is(err, mperror.ErrConflict):
		return http.StatusConflict, "conflict"
	case errors.Is(err, mperror.ErrOutcomeUnknown):
		return http.StatusGatewayTimeout, "unknown"
	}
	return http.StatusServiceUnavailable, "leader"
}

func number(r *http.Request, key string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func (o *Operator) audit(w http.ResponseWriter, r *http.Request) {
	req := &mpwire.QueryRequest{
		Kind:  mpwire.QueryRequest_AUDIT,
		After: number(r, "after", 0),
		Limit: uint32(min(number(r, "limit", auditDefault), auditMost)),
	}
	o.answerFromLeader(w, r, req)
}

func (o *Operator) orders(w http.ResponseWriter, r *http.Request) {
	o.answerFromLeader(w, r, &mpwire.QueryRequest{Kind: mpwire.QueryRequest_ORDERS})
}

func (o *Operator) answerFromLeader(w http.ResponseWriter, r *http.Request, req *mpwire.QueryRequest) {
	for _, address := range o.cfg.Voters {
		if out := o.query(r.Context(), address, req); len(out) > 0 {
			write(w, http.StatusOK, json.RawMessage(out))
			return
		}
	}
	write(w, http.StatusServiceUnavailable, Failure{"leader", "the leader did not answer"})
}

// Fenced is the answer to an accepted order.
type Fenced struct {
	Fence uint64 `json:"fence"`
}

func (o *Operator) order(w http.ResponseWriter, r *http.Request) {
	var c mpstate.Order
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil || c.ID == "" {
		write(w, http.StatusBadRequest, Failure{"invalid", "an order has id, upstream, action and name"})
		return
	}
	c.Who, _ = r.Context().Value(whoKey{}).(string)
	ctx, cancel := context.WithTimeout(r.Context(), commitWithin)
	defer cancel()
	reply, err := o.cfg.Proposer.Propose(ctx, c, 0)
	if err == nil {
		err = reply.Result.Err()
	}
	if err != nil {
		status, code := statusOf(err)
		write(w, status, Failure{code, err.Error()})
		return
	}
	write(w, http.StatusOK, Fenced{reply.Result.Revision})
}

func (o *Operator) query(ctx context.Context, address string, req *mpwire.QueryRequest) []byte {
	peer, err := o.cfg.Client.To(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryWithin)
	defer cancel()
	reply, err := peer.Query(ctx, req)
	if err != nil {
		return nil
	}
	return reply.GetResult()
}

// VM is one VM's row in a Status.
type VM struct {
	VM     mpview.VM `json:"vm"`
	Serves bool      `json:"serves"`
	Groups int       `json:"groups"`
}

// Status is an overview of the deployment as one VM sees it.
type Status struct {
	VM       string            `json:"vm"`
	Revision uint64            `json:"revision"`
	Lease    bool              `json:"lease"`
	VMs      []VM              `json:"vms"`
	DCs      []DC              `json:"dcs"`
	Voters   []json.RawMessage `json:"voters"`
}

// Voter is one voter's row in a Status.
type Voter struct {
	VM     string           `json:"vm"`
	Status mpreplica.Status `json:"status"`
}

// DC is one data centre's row in a Status.
type DC struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

func (o *Operator) status(w http.ResponseWriter, r *http.Request) {
	v := o.cfg.Membership.Current()
	s := Status{VM: o.cfg.VM, Revision: v.Revision(), Lease: o.cfg.Membership.HasLease(time.Now())}
	groups := map[string]int{}
	for _, own := range v.Owners() {
		groups[own.VM]++
	}
	for _, vm := range v.VMs() {
		s.VMs = append(s.VMs, VM{vm, v.Serves(vm), groups[vm.Name]})
	}
	for _, dc := range v.Catalogue().DCs() {
		s.DCs = append(s.DCs, DC{dc.Name, v.IsOut(mpview.TargetDC, dc.Name)})
	}
	s.Voters = o.queryAll(r.Context(), o.cfg.Voters, mpwire.QueryRequest_VOTER)
	write(w, http.StatusOK, s)
}

// queryAll asks all addresses at once and returns the answers that came.
func (o *Operator) queryAll(ctx context.Context, addresses []string, kind mpwire.QueryRequest_Kind) []json.RawMessage {
	answers := make([]json.RawMessage, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() { answers[i] = o.query(ctx, address, &mpwire.QueryRequest{Kind: kind}) })
	}
	wait.Wait()
	var out []json.RawMessage
	for _, a := range answers {
		if len(a) > 0 {
			out = append(out, a)
		}
	}
	return out
}

func (o *Operator) upstreams(w http.ResponseWriter, r *http.Request) {
	var peers []string
	for _, vm := range o.cfg.Membership.Current().VMs() {
		peers = append(peers, vm.Peer)
	}
	write(w, http.StatusOK, o.queryAll(r.Context(), peers, mpwire.QueryRequest_OWNER))
}
