package mpproxy

import (
	"testing"

	"mustardpost.org/core/version/mproute"
)

// Guards against a plan whose accounts lost their last key: requests with a key that was taken away,
// with any other and with none ran, without an account.
func TestRequestNeedsKeyWhenNoAccountHasOne(t *testing.T) {
	share := []mproute.Share{{Pool: "app", Weight: 1}}
	for name, accounts := range map[string][]mproute.AccountSpec{
		"account without a key":     {{Name: "ana"}},
		"account with an empty key": {{Name: "ana", Keys: []string{""}}},
		"no account in the list":    {},
	} {
		t.Run(name, func(t *testing.T) {
			table, err := mproute.New(mproute.Spec{
				Version: 3,
				Pools:   []mproute.PoolSpec{{Name: "app"}},
				Routes: []mproute.RouteSpec{
					{Name: "read", Host: "h", Prefix: "/read/", Kind: mproute.Idempotent, Timeout: 1e9, MaxAttempts: 1, Shares: share},
					{Name: "open", Host: "h", Prefix: "/open/", Kind: mproute.Idempotent, Timeout: 1e9, MaxAttempts: 1, Shares: share, Public: true},
				},
				Accounts: accounts,
			})
			if err != nil {
				t.Fatal(err)
			}
			r := newHarness(t, good)
			state := r.p.cfg.State.(staticState)
			state.table = table
			r.p.cfg.State = state
			for _, key := range []string{"key", "none", ""} {
				q := request("/read/")
				q.APIKey = key
				checkAnswer(t, answer{Status: 401}, r.serve(t.Context(), q))
			}
			checkAnswer(t, answer{Status: 200, Body: "whole", Sent: 1}, r.serve(t.Context(), request("/open/")))
		})
	}
}
