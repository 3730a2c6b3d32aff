package mpfake

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Fleet runs many fake upstreams in one process and injects faults on request.
type Fleet struct {
	ledger    *Ledger
	upstreams map[string]*Upstream
}

// NewFleet returns a fleet of upstreams that are not started yet.
func NewFleet(configs []Config) *Fleet {
	f := &Fleet{ledger: NewLedger(), upstreams: map[string]*Upstream{}}
	for _, c := range configs {
		f.upstreams[c.Name] = NewUpstream(c, f.ledger)
	}
	return f
}

// Start starts all upstreams.
func (f *Fleet) Start() error {
	var errs []error
	for _, u := range f.upstreams {
		errs = append(errs, u.Start())
	}
	return errors.Join(errs...)
}

// Ledger returns the record of the requests that the upstreams ran.
func (f *Fleet) Ledger() *Ledger { return f.ledger }

// Handler returns the handler of the control address. It serves GET /ledger,
// POST /crash/NAME and POST /chill/NAME.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.ledger.Report())
	})
	withUpstream := func(act func(*Upstream)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			u, ok := f.upstreams[r.PathValue("name")]
			if !ok {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			act(u)
		}
	}
	mux.HandleFunc("POST /crash/{name}", withUpstream((*Upstream).Crash))
	mux.HandleFunc("POST /chill/{name}", withUpstream((*Upstream).ResetWarmup))
	return mux
}
