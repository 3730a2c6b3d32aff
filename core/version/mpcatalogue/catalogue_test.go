package mpcatalogue

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

var testKey = strings.Repeat("ab", 32)

func testDocument() Document {
	return Document{
		Classes: []Class{{Name: "live", Deadline: 2000}},
		DCs: []DC{
			{Name: "east", Links: []Link{{To: "north", Cost: 3}, {To: "west", Cost: 1}}},
			{Name: "north"}, {Name: "west"},
		},
		Pools: []Pool{
			{Name: "engine", Kind: Generate, Limit: 8, ColdLimit: 2},
			{Name: "ladder", Kind: Plain, Limit: 4},
		},
		Upstreams: []Upstream{
			{Name: "e1", Pool: "engine", DC: "east", Address: "10.0.0.1:80"},
			{Name: "n1", Pool: "engine", DC: "north", Address: "10.0.0.2:80", Limit: 1},
			{Name: "w1", Pool: "engine", DC: "west", Address: "10.0.0.3:80"},
		},
		Accounts: []Account{{Name: "club", KeyHash: testKey}},
		Entries: []Entry{
			{Name: "rules", Owner: "p", Class: "live", Stages: []Stage{{Pool: "engine"}}},
			{Name: "result", Owner: "p", Class: "live", Stages: []Stage{{Pool: "ladder", Path: "/r", Once: true}}},
		},
	}
}

func testCatalogue(t *testing.T) *Catalogue {
	t.Helper()
	c, err := Empty().Apply(Edit{Put: testDocument()})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestInvalid(t *testing.T) {
	cases := []struct {
		want string
		put  Document
		drop Names
	}{
		{`class/Live: a name has`, Document{Classes: []Class{{Name: "Live", Deadline: 1}}}, Names{}},
		{`class/x: deadline 0 is not within 1 to 600000`, Document{Classes: []Class{{Name: "x"}}}, Names{}},
		{`dc/x: link to unknown data centre "y"`, Document{DCs: []DC{{Name: "x", Links: []Link{{To: "y"}}}}}, Names{}},
		{`pool/x: kind "chat" is not`, Document{Pools: []Pool{{Name: "x", Kind: "chat", Limit: 1}}}, Names{}},
		{`pool/x: cold 3 is not within 0 to 2`, Document{Pools: []Pool{{Name: "x", Kind: Plain, Limit: 2, ColdLimit: 3}}}, Names{}},
		{`upstream/x: unknown pool "y"`, Document{Upstreams: []Upstream{{Name: "x", Pool: "y"}}}, Names{}},
		{`upstream/x: address "host:80" is not an IP number`, Document{Upstreams: []Upstream{{Name: "x", Pool: "engine", DC: "east", Address: "host:80"}}}, Names{}},
		{`account/x: key is not a hex SHA-256`, Document{Accounts: []Account{{Name: "x", KeyHash: "12"}}}, Names{}},
		{`account/x: same key as account "club"`, Document{Accounts: []Account{{Name: "x", KeyHash: testKey}}}, Names{}},
		{`entry/x: owner is missing`, Document{Entries: []Entry{{Name: "x", Class: "live"}}}, Names{}},
		{`entry/x: number of stages 0`, Document{Entries: []Entry{{Name: "x", Owner: "p", Class: "live"}}}, Names{}},
		{`entry/x: stage 0: once and hedge exclude`, Document{Entries: []Entry{{Name: "x", Owner: "p", Class: "live",
			Stages: []Stage{{Pool: "ladder", Path: "/", Once: true, Hedge: true}}}}}, Names{}},
		{`entry/x: stage 0: path, method and once are for plain pools`, Document{Entries: []Entry{{Name: "x", Owner: "p", Class: "live",
			Stages: []Stage{{Pool: "engine", Once: true}}}}}, Names{}},
		{`entry/result: unknown class "live"`, Document{}, Names{Classes: []string{"live"}}},
		{`upstream/e1: unknown data centre "east"`, Document{}, Names{DCs: []string{"east"}}},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			_, err := testCatalogue(t).Apply(Edit{Put: c.put, Drop: c.drop})
			if !errors.Is(err, mperror.ErrInvalid) || !strings.HasPrefix(fmt.Sprint(err), c.want) {
				t.Errorf("error %v, want ErrInvalid with %q", err, c.want)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	want := testDocument()
	want.Classes[0].Deadline = 3000
	want.Upstreams = want.Upstreams[:2]
	e := Diff(testCatalogue(t).Document(), want)
	if diff := cmp.Diff([]string{"class/live", "upstream/w1"}, e.Keys()); diff != "" {
		t.Errorf("changed rows (-want +got):\n%s", diff)
	}
	c, err := testCatalogue(t).Apply(e)
	if err != nil {
		t.Fatal(err)
	}
	if again := Diff(c.Document(), want); len(again.Keys()) != 0 {
		t.Errorf("documents still differ after applying the diff: %v", again.Keys())
	}
}

func TestGroupsByCost(t *testing.T) {
	c := testCatalogue(t)
	want := []string{"engine@east", "engine@west", "engine@north"}
	if diff := cmp.Diff(want, c.GroupsByCost("engine", "east")); diff != "" {
		t.Errorf("groups of engine from east, local first, then by cost (-want +got):\n%s", diff)
	}
	u, _ := c.Upstream("n1")
	if u.Limit != 1 || u.ColdLimit != 1 {
		t.Errorf("limit %d and cold %d, want the upstream's 1 for both", u.Limit, u.ColdLimit)
	}
}
