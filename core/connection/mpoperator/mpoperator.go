// Package mpoperator is the HTTP API for operators: changes, the catalogue, orders,
// status, the audit trail and metrics, as JSON on a separate address.
package mpoperator

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
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
	maxWait           = time.Minute
	commitTimeout     = 10 * time.Second
	queryTimeout      = time.Second
	defaultAuditLimit = 100
	maxAuditLimit     = 5000
)

// Config holds the dependencies of a Server.
type Config struct {
	VM         string
	Tokens     []mpsettings.Token
	Voters     []string
	Membership mppipeline.Membership
	Proposer   *mpproposer.Proposer
	Client     *mppeer.Client
	Logger     log.Logger
}

// Server handles the HTTP requests of operators.
type Server struct {
	cfg                 Config
	operatorByTokenHash map[string]string
}

// New returns a Server.
func New(cfg Config) *Server {
	o := &Server{cfg: cfg, operatorByTokenHash: map[string]string{}}
	for _, t := range cfg.Tokens {
		o.operatorByTokenHash[t.Hash] = t.Who
	}
	return o
}

// Handler returns the routes for operators.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/catalogue", s.catalogue)
	mux.HandleFunc("POST /v1/changes", s.change)
	mux.HandleFunc("GET /v1/audit", s.audit)
	mux.HandleFunc("POST /v1/orders", s.order)
	mux.HandleFunc("GET /v1/orders", s.orders)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/upstreams", s.upstreams)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	mux.Handle("GET /debug/pprof/goroutine", pprof.Handler("goroutine"))
	return s.authorize(mux)
}

type operatorKey struct{}

func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		who, ok := s.operatorByTokenHash[mpname.Hash(token)]
		if !ok {
			writeJSON(w, http.StatusUnauthorized, ErrorResponse{"denied", "missing or wrong operator token"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, who)))
	})
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"code":"error","text":"encoding"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Catalogue is the catalogue at a revision.
type Catalogue struct {
	Revision  uint64               `json:"revision"`
	Catalogue mpcatalogue.Document `json:"catalogue"`
}

func (s *Server) catalogue(w http.ResponseWriter, _ *http.Request) {
	v := s.cfg.Membership.Current()
	writeJSON(w, http.StatusOK, Catalogue{v.Revision(), v.Catalogue().Document()})
}

// ChangeRequest asks for one change. Exactly one of Edit and Mark is set.
type ChangeRequest struct {
	// ID is chosen by the operator; a retry with the same ID gets the first result.
	ID string `json:"id"`
	// BaseRevision is the revision on which the change is based; 0 skips the check.
	BaseRevision uint64 `json:"base,omitempty"`
	// Wait is how long to wait for the change to be in force, in ms.
	Wait int               `json:"wait,omitempty"`
	Edit *mpcatalogue.Edit `json:"edit,omitempty"`
	Mark *mpview.Mark      `json:"mark,omitempty"`
}

// ChangeResponse is the response to an accepted ChangeRequest.
type ChangeResponse struct {
	Revision uint64 `json:"revision"`
	// InForce reports whether every VM acts on the change.
	InForce bool `json:"force"`
	// Took is the time from the proposal until the change was in force, in ms.
	Took int64 `json:"took"`
}

// decodeBody decodes a body that is one JSON document with known fields only.
func decodeBody(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return mperror.Wrap(mperror.ErrInvalid, "body has more than one document or is broken off")
	}
	return nil
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	var c ChangeRequest
	if err := decodeBody(r, &c); err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{"invalid", err.Error()})
		return
	}
	op, err := c.op()
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{"invalid", err.Error()})
		return
	}
	wait := min(time.Duration(max(c.Wait, 0))*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout+wait)
	defer cancel()
	who, _ := r.Context().Value(operatorKey{}).(string)
	cmd := mpstate.Change{ID: c.ID, Who: who, Base: c.BaseRevision, Change: mpview.Change{Op: op}}
	reply, err := s.cfg.Proposer.Propose(ctx, cmd, wait)
	if err == nil {
		err = reply.Result.Err()
	}
	if err != nil {
		status, code := httpError(err)
		writeJSON(w, status, ErrorResponse{code, err.Error()})
		return
	}
	_ = level.Info(s.cfg.Logger).Log("msg", "change", "who", who, "id", c.ID, "revision", reply.Result.Revision)
	writeJSON(w, http.StatusOK, ChangeResponse{reply.Result.Revision, reply.InForce, reply.Took.Milliseconds()})
}

func (c ChangeRequest) op() (mpview.Op, error) {
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

func httpError(err error) (int, string) {
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

func uintParam(r *http.Request, key string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	req := &mpwire.QueryRequest{
		Kind:  mpwire.QueryRequest_AUDIT,
		After: uintParam(r, "after", 0),
		Limit: uint32(min(uintParam(r, "limit", defaultAuditLimit), maxAuditLimit)),
	}
	s.queryLeader(w, r, req)
}

func (s *Server) orders(w http.ResponseWriter, r *http.Request) {
	s.queryLeader(w, r, &mpwire.QueryRequest{Kind: mpwire.QueryRequest_ORDERS})
}

func (s *Server) queryLeader(w http.ResponseWriter, r *http.Request, req *mpwire.QueryRequest) {
	for _, address := range s.cfg.Voters {
		if out := s.query(r.Context(), address, req); len(out) > 0 {
			writeJSON(w, http.StatusOK, json.RawMessage(out))
			return
		}
	}
	writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{"leader", "the leader did not answer"})
}

// OrderResponse is the response to an accepted order.
type OrderResponse struct {
	Fence uint64 `json:"fence"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var c mpstate.Order
	if err := decodeBody(r, &c); err != nil || c.ID == "" {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{"invalid", "an order has id, upstream, action and name"})
		return
	}
	c.Who, _ = r.Context().Value(operatorKey{}).(string)
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	reply, err := s.cfg.Proposer.Propose(ctx, c, 0)
	if err == nil {
		err = reply.Result.Err()
	}
	if err != nil {
		status, code := httpError(err)
		writeJSON(w, status, ErrorResponse{code, err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, OrderResponse{reply.Result.Revision})
}

func (s *Server) query(ctx context.Context, address string, req *mpwire.QueryRequest) []byte {
	peer, err := s.cfg.Client.Stub(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := peer.Query(ctx, req)
	if err != nil {
		return nil
	}
	return reply.GetResult()
}

// VM is the row of a VM in a Status.
type VM struct {
	VM     mpview.VM `json:"vm"`
	Serves bool      `json:"serves"`
	Groups int       `json:"groups"`
}

// Status is the state of the deployment as one VM sees it.
type Status struct {
	VM       string            `json:"vm"`
	Revision uint64            `json:"revision"`
	Lease    bool              `json:"lease"`
	VMs      []VM              `json:"vms"`
	DCs      []DC              `json:"dcs"`
	Voters   []json.RawMessage `json:"voters"`
}

// Voter is the row of a voter in a Status.
type Voter struct {
	VM     string           `json:"vm"`
	Status mpreplica.Status `json:"status"`
}

// DC is the row of a data centre in a Status.
type DC struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	v := s.cfg.Membership.Current()
	st := Status{VM: s.cfg.VM, Revision: v.Revision(), Lease: s.cfg.Membership.HasLease(time.Now())}
	groups := map[string]int{}
	for _, own := range v.Owners() {
		groups[own.VM]++
	}
	for _, vm := range v.VMs() {
		st.VMs = append(st.VMs, VM{vm, v.Serves(vm), groups[vm.Name]})
	}
	for _, dc := range v.Catalogue().DCs() {
		st.DCs = append(st.DCs, DC{dc.Name, v.IsOut(mpview.TargetDC, dc.Name)})
	}
	st.Voters = s.queryAll(r.Context(), s.cfg.Voters, mpwire.QueryRequest_VOTER)
	writeJSON(w, http.StatusOK, st)
}

// queryAll queries all addresses in parallel and returns the results received.
func (s *Server) queryAll(ctx context.Context, addresses []string, kind mpwire.QueryRequest_Kind) []json.RawMessage {
	answers := make([]json.RawMessage, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() { answers[i] = s.query(ctx, address, &mpwire.QueryRequest{Kind: kind}) })
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

func (s *Server) upstreams(w http.ResponseWriter, r *http.Request) {
	var peers []string
	for _, vm := range s.cfg.Membership.Current().VMs() {
		peers = append(peers, vm.Peer)
	}
	writeJSON(w, http.StatusOK, s.queryAll(r.Context(), peers, mpwire.QueryRequest_OWNER))
}
