package mpfake

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Fleet runs many fakes in one process, and takes orders to disturb them.
type Fleet struct {
	ledger    *Ledger
	upstreams map[string]*Upstream
}

// NewFleet returns a farm that is not started yet.
func NewFleet(configs []Config) *Fleet {
	f := &Fleet{ledger: NewLedger(), upstreams: map[string]*Upstream{}}
	for _, c := range configs {
		f.upstreams[c.Name] = NewUpstream(c, f.ledger)
	}
	return f
}

// Start starts all fakes.
func (f *Fleet) Start() error {
	var errs []error
	for _, u := range f.upstreams {
		errs = append(errs, u.Start())
	}
	return errors.Join(errs...)
}

// Ledger returns what the fakes ran.
func (f *Fleet) Ledger() *Ledger { return f.ledger }

// Handler returns the control address: GET /ledger, and POST /crash/NAME and
// /chill/NAME.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.ledger.Report())
	})
	disturb := func(act func(*Upstream)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			u, ok := f.upstreams[r.PathValue("name")]
			if !ok {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			act(u)
		}
	}
	mux.HandleFunc("POST /crash/{name}", disturb((*Upstream).Crash))
	mux.HandleFunc("POST /chill/{name}", disturb((*Upstream).ResetWarmup))
	return mux
}
