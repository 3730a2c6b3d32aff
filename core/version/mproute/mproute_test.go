package mproute

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

func route(name, host, prefix string) RouteSpec {
	return RouteSpec{
		Name: name, Host: host, Prefix: prefix, Kind: Idempotent, Timeout: time.Second, MaxAttempts: 1,
		Shares: []Share{{Pool: "p", Weight: 1}},
	}
}

func spec(routes ...RouteSpec) Spec {
	return Spec{Version: 3, Routes: routes, Pools: []PoolSpec{{Name: "p"}, {Name: "q"}}}
}

func with(r RouteSpec, f func(*RouteSpec)) RouteSpec {
	f(&r)
	return r
}

func mustNew(t *testing.T, s Spec) *Table {
	t.Helper()
	table, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestInvalid(t *testing.T) {
	plain := route("r", "h", "/a/")
	priority := 1
	for name, s := range map[string]Spec{
		"version 0":             {Pools: []PoolSpec{{Name: "p"}}},
		"unknown pool":          spec(with(plain, func(r *RouteSpec) { r.Shares = []Share{{Pool: "x", Weight: 1}} })),
		"no pool":               spec(with(plain, func(r *RouteSpec) { r.Shares = nil })),
		"weights of 0":          spec(with(plain, func(r *RouteSpec) { r.Shares = []Share{{Pool: "p"}, {Pool: "q"}} })),
		"negative weight":       spec(with(plain, func(r *RouteSpec) { r.Shares = []Share{{Pool: "p", Weight: 2}, {Pool: "q", Weight: -1}} })),
		"timeout of 0":          spec(with(plain, func(r *RouteSpec) { r.Timeout = 0 })),
		"unknown kind":          spec(with(plain, func(r *RouteSpec) { r.Kind = "" })),
		"prefix without slash":  spec(route("r", "h", "/a")),
		"same host and prefix":  spec(plain, route("s", "h", "/a/")),
		"stage of unknown pool": spec(with(plain, func(r *RouteSpec) { r.Stages = []StageSpec{{Pool: "x"}} })),
		"reads a later stage":   spec(with(plain, func(r *RouteSpec) { r.Stages = []StageSpec{{Pool: "q", After: []int{1}}, {Pool: "q"}} })),
		"accounts share a key": {
			Version: 1, Accounts: []AccountSpec{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}, Priority: &priority}},
		},
		"pool twice": {Version: 1, Pools: []PoolSpec{{Name: "p"}, {Name: "p"}}},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := New(s); !errors.Is(err, mperror.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
		})
	}
}

func TestFind(t *testing.T) {
	table := mustNew(t, spec(route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/")))
	for name, c := range map[string]struct{ host, path, want string }{
		"the longest prefix":        {"h", "/a/b/c", "long"},
		"a shorter prefix":          {"h", "/a/c", "short"},
		"part of a segment":         {"h", "/a/bc", "short"},
		"the root of another host":  {"i", "/x", "other"},
		"a path outside any prefix": {"h", "/b/", ""},
		"an unknown host":           {"j", "/a/", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table.Find(c.host, c.path); r != nil {
				got = r.Spec().Name
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("route (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPickPool(t *testing.T) {
	r := route("r", "h", "/a/")
	r.Shares = []Share{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}, {Pool: "p", Weight: 0}}
	table := mustNew(t, spec(r))
	rng := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 1000 {
		counts[table.Find("h", "/a/").PickPool(rng.Float64())]++
	}
	if counts["q"] < 70 || counts["q"] > 130 || counts["p"]+counts["q"] != 1000 {
		t.Errorf("picked %v, want about 900 of p and 100 of q", counts)
	}
}

func TestStages(t *testing.T) {
	r := route("r", "h", "/a/")
	r.Stages = []StageSpec{{Pool: "p"}, {Pool: "p"}, {Pool: "q", After: []int{1}}, {Pool: "q", After: []int{2}}}
	found := mustNew(t, spec(r)).Find("h", "/a/")
	check := func(t *testing.T, want, got []int) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("stages (-want +got):\n%s", diff)
		}
	}
	t.Run("request reads the last stage of each branch", func(t *testing.T) {
		check(t, []int{0, 3}, found.Leaves([]int{2, 1, 8, 16}))
	})
	t.Run("omitted branch is not read", func(t *testing.T) {
		check(t, []int{3}, found.Leaves([]int{0, 1, 8, 16}))
	})
	t.Run("omitted stage is replaced by its inputs", func(t *testing.T) {
		check(t, []int{1}, found.Inputs(3, []int{0, 1, 0, 16}))
	})
	t.Run("nothing is read if all stages are omitted", func(t *testing.T) {
		check(t, nil, found.Leaves([]int{0, 0, 0, 0}))
	})
}

func TestPriority(t *testing.T) {
	priority := 3
	s := spec(with(route("r", "h", "/a/"), func(r *RouteSpec) { r.Priority = 1 }))
	s.Accounts = []AccountSpec{{Name: "a", Keys: []string{"k"}, Priority: &priority}, {Name: "b", Keys: []string{"l"}}}
	table := mustNew(t, s)
	r := table.Find("h", "/a/")
	for key, want := range map[string]int{"k": 3, "l": 1, "none": 1} {
		if got := table.Account(key).Priority(r); got != want {
			t.Errorf("priority with key %s is %d, want %d", key, got, want)
		}
	}
}
