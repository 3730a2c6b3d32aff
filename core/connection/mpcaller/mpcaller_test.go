package mpcaller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mphttp"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpadmit"
	"mustardpost.org/core/request/mpattempt"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/request/mppipeline"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"

	"mustardpost.org/core/common/mperror"
)

const maxBodyBytes = 1000

// testServer serves callers on a real port; its upstreams never respond.
type testServer struct {
	t         *testing.T
	address   string
	view      *mpview.View
	leased    bool
	server    *Server
	admission *mpadmit.Controller
	// waiting receives a value when a request starts to wait for a permit, and ended
	// when it stops waiting.
	waiting chan struct{}
	ended   chan struct{}
}

func (s *testServer) Current() *mpview.View { return s.view }

func (s *testServer) HasLease(time.Time) bool { return s.leased }

func (s *testServer) AwaitLease(context.Context, func() time.Time) error { return nil }

func (s *testServer) Acquire(ctx context.Context, _ string, _ mppermit.Request) (mpattempt.Permit, *mpattempt.Refusal) {
	s.waiting <- struct{}{}
	<-ctx.Done()
	s.ended <- struct{}{}
	return mpattempt.Permit{}, &mpattempt.Refusal{Err: mperror.ErrFull}
}

func (s *testServer) Settle(mpattempt.Permit, mppermit.Settlement) {}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	sum := sha256.Sum256([]byte("secret"))
	doc := mpcatalogue.Document{
		Classes:   []mpcatalogue.Class{{Name: "live", Deadline: 60_000}},
		DCs:       []mpcatalogue.DC{{Name: "north"}},
		Pools:     []mpcatalogue.Pool{{Name: "engine", Kind: mpcatalogue.Generate, Limit: 1}, {Name: "ladder", Kind: mpcatalogue.Plain, Limit: 1}},
		Upstreams: []mpcatalogue.Upstream{{Name: "up", Pool: "engine", DC: "north", Address: "127.0.0.1:9"}},
		Accounts:  []mpcatalogue.Account{{Name: "club", KeyHash: hex.EncodeToString(sum[:])}},
		Entries: []mpcatalogue.Entry{
			{Name: "rules", Owner: "p", Class: "live", Stages: []mpcatalogue.Stage{{Pool: "engine"}}},
			{Name: "result", Owner: "p", Class: "live", Stages: []mpcatalogue.Stage{{Pool: "ladder", Path: "/", Once: true}}},
			{Name: "other", Owner: "p", Class: "live", Accounts: []string{"club"}, Stages: []mpcatalogue.Stage{{Pool: "engine"}}},
		},
	}
	view, err := mpview.Empty().Apply(mpview.Edit{Edit: mpcatalogue.Edit{Put: doc}})
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, view: view, leased: true, waiting: make(chan struct{}, 8), ended: make(chan struct{}, 8)}
	s.admission = mpadmit.New(mpadmit.Config{MaxRequests: 10})
	s.server = New(Config{
		VM: "vm1", DC: "north", Membership: s, Admission: s.admission, Metrics: mpmetric.New(), Logger: log.NewNopLogger(),
		Runner: mppipeline.New(mppipeline.Config{
			VM: "vm1", DC: "north", Permits: s, Membership: s, Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
		}),
	})
	h := mphttp.New(mphttp.Config{Name: "caller", Address: "127.0.0.1:0", Handler: s.server.Handler(), MaxBodyBytes: maxBodyBytes, RefusalHeader: RefusalHeader, Logger: log.NewNopLogger()})
	mphttp.UseLogger(log.NewNopLogger())
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Stop)
	s.address = h.Address()
	return s
}

func (s *testServer) post(entry, body string, header map[string]string) (*http.Response, Problem) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/v1/entries/"+entry, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var p Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		s.t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	return resp, p
}

func TestBadInput(t *testing.T) {
	s := newTestServer(t)
	good := `{"input":"q"}`
	cases := []struct {
		name   string
		entry  string
		body   string
		header map[string]string
		status int
		cause  string
	}{
		{"wrong key", "rules", good, map[string]string{"Authorization": "Bearer wrong"}, 401, "key"},
		{"no key", "rules", good, map[string]string{"Authorization": ""}, 401, "key"},
		{"unknown entry", "nothing", good, nil, 404, "entry"},
		{"malformed body", "rules", `{"input":`, nil, 400, "body"},
		{"no input", "rules", `{}`, nil, 400, "body"},
		{"negative max", "rules", `{"input":"q","max":-1}`, nil, 400, "body"},
		{"negative deadline", "rules", good, map[string]string{DeadlineHeader: "-5"}, 400, "deadline"},
		{"deadline that is not a number", "rules", good, map[string]string{DeadlineHeader: "tomorrow"}, 400, "deadline"},
		{"no idempotency key", "result", "x", nil, 400, "idempotency"},
		{"idempotency key without a time", "result", "x", map[string]string{IdempotencyKeyHeader: "abc"}, 400, "idempotency"},
		{"long idempotency key", "result", "x", map[string]string{IdempotencyKeyHeader: "1-" + strings.Repeat("x", 300)}, 400, "idempotency"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, p := s.post(c.entry, c.body, c.header)
			if resp.StatusCode != c.status || p.Cause != c.cause || p.Outcome != mppipeline.NotRun {
				t.Errorf("status %d, %s (%s: %s), want %d, not-run (%s)", resp.StatusCode, p.Outcome, p.Cause, p.Text, c.status, c.cause)
			}
			if got := resp.Header.Get(OutcomeHeader); got != string(p.Outcome) {
				t.Errorf("outcome %q in header, %q in body", got, p.Outcome)
			}
		})
	}
	if s.admission.InFlight() != 0 {
		t.Errorf("%d requests still in flight", s.admission.InFlight())
	}
}

func TestNoLease(t *testing.T) {
	s := newTestServer(t)
	s.leased = false
	resp, p := s.post("rules", `{"input":"q"}`, nil)
	if resp.StatusCode != http.StatusServiceUnavailable || p.Outcome != mppipeline.NotRun || p.Cause != "lease" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, %+v, Retry-After %q", resp.StatusCode, p, resp.Header.Get("Retry-After"))
	}
	_, p = s.post("result", "x", map[string]string{IdempotencyKeyHeader: "1-a"})
	if p.Outcome != mppipeline.Unknown {
		t.Errorf("outcome %s for a key whose earlier submission may have run, want unknown", p.Outcome)
	}
}

func TestOversizedBody(t *testing.T) {
	s := newTestServer(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/v1/entries/rules", strings.NewReader(strings.Repeat("x", 3*maxBodyBytes)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("no response to an oversized body: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(OutcomeHeader) != "not-run" {
		t.Errorf("status %d, outcome %q, want 413, not-run", resp.StatusCode, resp.Header.Get(OutcomeHeader))
	}
}

// TestCallerDisconnect checks that a request's resources are released when the caller
// closes its connection, long before the deadline of 60 s.
func TestCallerDisconnect(t *testing.T) {
	s := newTestServer(t)
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	body := `{"input":"q"}`
	fmt.Fprintf(conn, "POST /v1/entries/rules HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	<-s.waiting
	_ = conn.Close()
	select {
	case <-s.ended:
	case <-time.After(20 * time.Second):
		t.Error("request still waits for a permit after the caller closed its connection")
	}
}

func TestIncompleteRequest(t *testing.T) {
	s := newTestServer(t)
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(conn, "POST /v1/entries/rules HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{")
	_ = conn.Close()
	if s.admission.InFlight() != 0 {
		t.Error("incomplete request is counted as running")
	}
}

func TestAddress(t *testing.T) {
	s := newTestServer(t)
	get := func() []string {
		resp, err := http.Get("http://" + s.address + "/v1/address?dc=south")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(bufio.NewReader(resp.Body))
		var response addressResponse
		_ = json.Unmarshal(data, &response)
		return response.Addresses
	}
	apply := func(op mpview.Op) {
		next, err := s.view.Apply(op)
		if err != nil {
			t.Fatal(err)
		}
		s.view = next
	}
	apply(mpview.Join{VM: mpview.VM{Name: "vm1", DC: "north", Address: "127.0.0.1:1"}})
	apply(mpview.Join{VM: mpview.VM{Name: "vm2", DC: "south", Address: "127.0.0.1:2"}})
	if diff := cmp.Diff([]string{"127.0.0.1:2", "127.0.0.1:1"}, get()); diff != "" {
		t.Errorf("addresses, the caller's data centre first (-want +got):\n%s", diff)
	}
	apply(mpview.Join{VM: mpview.VM{Name: "vm2", DC: "south", Address: "127.0.0.1:2", Leaving: true}})
	if diff := cmp.Diff([]string{"127.0.0.1:1"}, get()); diff != "" {
		t.Errorf("addresses without the leaving VM (-want +got):\n%s", diff)
	}
	apply(mpview.Mark{Target: mpview.TargetDC, Name: "north", Out: true})
	if got := get(); len(got) != 0 {
		t.Errorf("addresses %v of a data centre out of service", got)
	}
}

func TestOutOfService(t *testing.T) {
	s := newTestServer(t)
	out, err := s.view.Apply(mpview.Mark{Target: mpview.TargetDC, Name: "north", Out: true})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(100, 0)
	s.server.OnView(now, s.view, out)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {AddressTTL, false}, {AddressTTL + time.Millisecond, true}} {
		if got := s.server.isOutOfService(now.Add(c.after)); got != c.want {
			t.Errorf("%s after the mark: refuses %t, want %t", c.after, got, c.want)
		}
	}
	s.server.OnView(now.Add(time.Minute), out, s.view)
	if s.server.isOutOfService(now.Add(time.Hour)) {
		t.Error("still refuses requests after the mark was removed")
	}
}

// Guards against an entry whose last account was taken from its list: every account could call it.
func TestEntryWithoutAccountsAllowsNone(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"no list":        {`{"name":"rules"}`, true},
		"empty list":     {`{"name":"rules","accounts":[]}`, false},
		"another's list": {`{"name":"rules","accounts":["club"]}`, false},
		"own list":       {`{"name":"rules","accounts":["ana"]}`, true},
	} {
		t.Run(name, func(t *testing.T) {
			var sent, restored mpcatalogue.Entry
			if err := json.Unmarshal([]byte(c.text), &sent); err != nil {
				t.Fatal(err)
			}
			snapshot, err := json.Marshal(sent)
			if err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(snapshot, &restored); err != nil {
				t.Fatal(err)
			}
			if got := [2]bool{isAllowed(sent, "ana"), isAllowed(restored, "ana")}; got != [2]bool{c.want, c.want} {
				t.Errorf("allowed as sent and from a snapshot: %v, want %v", got, c.want)
			}
		})
	}
}
