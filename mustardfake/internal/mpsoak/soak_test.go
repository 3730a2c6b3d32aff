// Package mpsoak runs a deployment of real processes under random faults and
// compares what callers got with what the fakes ran.
package mpsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/mustardfake/internal/mpfake"
	"mustardpost.org/mustardfake/internal/mpload"
	"mustardpost.org/mustardfake/internal/mpsample"
)

const (
	binFolder  = "../../../bin"
	readyIn    = 30 * time.Second
	settleIn   = 45 * time.Second
	pollEvery  = 50 * time.Millisecond
	leaseBound = 3500 * time.Millisecond
	sampleName = "prairies"
	// lastPort is the last port of a deployment that starts at the port 0, and
	// outgoing the first that the system gives to outgoing connections: one that has
	// it makes a process fail to listen.
	lastPort = 200
	outgoing = 32768
)

// process is one VM's process.
type process struct {
	vm     string
	file   string
	data   string
	ip     string
	cmd    *exec.Cmd
	done   chan struct{}
	wanted bool
	voter  bool
	frozen bool
}

// world is the deployment under test.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	layout  mpsample.Layout
	dir     string
	cuts    *cuts
	vms     []*process
	http    *http.Client
	faults  map[string]int
	changes map[string]uint64
	outs    int
	poisons int
	orders  int
	losses  int

	mu       sync.Mutex
	breaches []string
}

func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

func env(key, otherwise string) string {
	if v := os.Getenv(key); v != "" {
		return v
	}
	return otherwise
}

func newWorld(t *testing.T, seed uint64, port int) *world {
	t.Helper()
	if port+lastPort >= outgoing {
		t.Fatalf("ports from %d on may be taken by outgoing connections", port)
	}
	dir := t.TempDir()
	layout, err := mpsample.Write(dir, sampleName, mpsample.Options{Port: port, Strict: true, Relay: true})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 2)), layout: layout, dir: dir, cuts: newCuts(),
		http: &http.Client{Timeout: 15 * time.Second}, faults: map[string]int{}, changes: map[string]uint64{},
	}
	for i, s := range layout.VMs {
		ip, _, _ := strings.Cut(s.PeerBindAddress, ":")
		w.vms = append(w.vms, &process{vm: s.VM, file: layout.Files[i], data: s.DataDir, voter: s.IsVoter(), ip: ip})
		closer, err := relay(s.PeerAddress, s.PeerBindAddress, w.cuts)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = closer.Close() })
	}
	w.run("mustardfake", "upstreams", "--file", layout.Fakes, "--control", layout.Control)
	for _, p := range w.vms {
		w.start(p)
	}
	t.Cleanup(w.stopAll)
	w.await(readyIn, "all VMs are up", func() bool { return w.up() == len(w.vms) && w.votersUp() == w.voters() })
	w.apply()
	return w
}

// run starts a helper process that ends with the test.
func (w *world) run(name string, args ...string) {
	cmd := exec.Command(filepath.Join(binFolder, name), args...)
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func (w *world) start(p *process) {
	log, err := os.OpenFile(filepath.Join(w.dir, p.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binFolder, "mustardpostd"), "serve", "--settings", p.file)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.wanted = cmd, done, true
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

// end signals p and waits for its end.
func (w *world) end(p *process, sig syscall.Signal) {
	p.wanted = false
	_ = p.cmd.Process.Signal(sig)
	if p.frozen {
		p.frozen = false
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
	select {
	case <-p.done:
	case <-time.After(settleIn):
		w.breach("%s did not end within %s of signal %v", p.vm, settleIn, sig)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

func (w *world) stopAll() {
	w.cuts.heal()
	for _, p := range w.vms {
		if p.cmd != nil {
			w.end(p, syscall.SIGKILL)
		}
	}
	if w.t.Failed() {
		w.printLogs()
	}
}

func (w *world) printLogs() {
	for _, p := range w.vms {
		data, _ := os.ReadFile(filepath.Join(w.dir, p.vm+".log"))
		lines := strings.Split(string(data), "\n")
		w.t.Logf("%s:\n%s", p.vm, strings.Join(lines[max(len(lines)-15, 0):], "\n"))
	}
}

// watch notes processes that ended by themselves, as they do on a breach of an
// invariant inside the program.
func (w *world) watch() {
	for _, p := range w.vms {
		select {
		case <-p.done:
			if p.wanted {
				w.breach("%s ended by itself", p.vm)
				w.start(p)
			}
		default:
		}
	}
}

func (w *world) await(within time.Duration, what string, ok func() bool) {
	w.t.Helper()
	end := time.Now().Add(within)
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for !ok() {
		if time.Now().After(end) {
			w.printLogs()
			w.t.Fatalf("not within %s: %s", within, what)
		}
		<-tick.C
	}
}

// ask calls a VM's operator address.
func (w *world) ask(i int, method, path string, body, out any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+w.layout.VMs[i].OperatorAddress+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+mpsample.Token)
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(answer, out)
}

func (w *world) status() (mpoperator.Status, bool) {
	for i := range w.vms {
		if w.vms[i].frozen || !w.vms[i].wanted {
			continue
		}
		var s mpoperator.Status
		if code, err := w.ask(i, http.MethodGet, "/v1/status", nil, &s); err == nil && code == http.StatusOK && s.Lease {
			return s, true
		}
	}
	return mpoperator.Status{}, false
}

func (w *world) up() int {
	s, _ := w.status()
	return len(s.VMs)
}

func (w *world) voters() int {
	n := 0
	for _, p := range w.vms {
		if p.voter {
			n++
		}
	}
	return n
}

// votersUp returns how many members vote, as their leader sees it.
func (w *world) votersUp() int {
	s, _ := w.status()
	most := 0
	for _, raw := range s.Voters {
		var v mpoperator.Voter
		if json.Unmarshal(raw, &v) == nil && v.Status.Leading {
			most = max(most, len(v.Status.Members.Voters()))
		}
	}
	if len(s.Voters) < w.voters() {
		return 0
	}
	return most
}

// change proposes a change and notes it when it is accepted.
func (w *world) change(c mpoperator.ChangeRequest) (mpoperator.ChangeResponse, int) {
	var out mpoperator.ChangeResponse
	i := w.rand.IntN(len(w.vms))
	for w.vms[i].frozen || !w.vms[i].wanted {
		i = (i + 1) % len(w.vms)
	}
	code, err := w.ask(i, http.MethodPost, "/v1/changes", c, &out)
	if err == nil && code == http.StatusOK {
		w.mu.Lock()
		w.changes[c.ID] = out.Revision
		w.mu.Unlock()
	}
	return out, code
}

func (w *world) apply() {
	data, err := os.ReadFile(w.layout.Catalogue)
	if err != nil {
		w.t.Fatal(err)
	}
	var doc mpcatalogue.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		w.t.Fatal(err)
	}
	out, code := w.change(mpoperator.ChangeRequest{ID: "catalogue", Wait: 10_000, Edit: &mpcatalogue.Edit{Put: doc}})
	if code != http.StatusOK || !out.InForce {
		w.t.Fatalf("catalogue: status %d, %+v", code, out)
	}
}

// TestSoak runs the faults of a seed and checks what must hold throughout.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("needs built programs")
	}
	duration, err := time.ParseDuration(env("DURATION", "20s"))
	if err != nil {
		t.Fatal(err)
	}
	for i, text := range strings.Split(env("SEED", "1"), ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run("seed "+text, func(t *testing.T) { soak(t, seed, duration, 23000+1000*(i%8)) })
	}
}

func soak(t *testing.T, seed uint64, duration time.Duration, port int) {
	w := newWorld(t, seed, port)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := w.layout.Profile
	p.Seed, p.Rate, p.Duration = seed, 60, duration+time.Hour
	result := make(chan mpload.Summary, 1)
	go func() { result <- mpload.Run(ctx, p) }()
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		w.fault()
		w.watch()
	}
	w.recover()
	cancel()
	s := <-result
	w.checkChanges()
	w.checkOrders()
	var table bytes.Buffer
	_ = s.Print(&table)
	t.Logf("seed %d: faults %v; %d changes checked, %d data centres out, %d data centres lost, %d poison requests, %d orders\n%s",
		seed, w.faults, len(w.changes), w.outs, w.losses, w.poisons, w.orders, &table)
	for _, b := range append(w.breaches, s.Breaches...) {
		t.Errorf("breach: %s", b)
	}
	if s.Total.InTime == 0 {
		t.Error("nothing was answered")
	}
}

// TestLoseDC loses a data centre without notice under load, brings it back cold,
// and checks that all that must hold does.
func TestLoseDC(t *testing.T) {
	if testing.Short() {
		t.Skip("needs built programs")
	}
	w := newWorld(t, 2, 32000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := w.layout.Profile
	p.Seed, p.Rate, p.Duration = 4, 80, time.Hour
	result := make(chan mpload.Summary, 1)
	go func() { result <- mpload.Run(ctx, p) }()
	w.pause(2000, 3000)
	back := w.loseDC()
	w.pause(5000, 6000)
	back()
	w.recover()
	w.pause(2000, 3000)
	cancel()
	s := <-result
	var table bytes.Buffer
	_ = s.Print(&table)
	t.Logf("%d data centre lost and back\n%s", w.losses, &table)
	if w.losses != 1 {
		t.Errorf("%d data centres lost, want 1", w.losses)
	}
	for _, b := range append(w.breaches, s.Breaches...) {
		t.Errorf("breach: %s", b)
	}
}

// TestRollingLeave lets every VM in turn leave and come back under load. No
// request may be cut or lost for it, and each VM must be gone within the longest
// deadline of any class after the addresses that named it were forgotten.
func TestRollingLeave(t *testing.T) {
	if testing.Short() {
		t.Skip("needs built programs")
	}
	w := newWorld(t, 1, 31000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := w.layout.Profile
	p.Seed, p.Rate, p.Duration, p.Resend = 3, 80, time.Hour, 0
	result := make(chan mpload.Summary, 1)
	go func() { result <- mpload.Run(ctx, p) }()
	for _, one := range w.vms {
		w.end(one, syscall.SIGTERM)
		w.start(one)
		w.await(settleIn, one.vm+" is back", func() bool {
			return w.up() == len(w.vms) && w.votersUp() == w.voters()
		})
	}
	cancel()
	s := <-result
	var table bytes.Buffer
	_ = s.Print(&table)
	t.Logf("all of %d VMs restarted\n%s", len(w.vms), &table)
	for _, kind := range []string{"lost", "failed", "unknown"} {
		if n := s.Total.Outcomes[kind]; n > 0 {
			t.Errorf("%d requests ended as %s while VMs left", n, kind)
		}
	}
	for _, b := range append(w.breaches, s.Breaches...) {
		t.Errorf("breach: %s", b)
	}
}

// recover ends all faults and waits until the deployment is whole again.
func (w *world) recover() {
	w.cuts.heal()
	for _, p := range w.vms {
		w.thaw(p)
		if !p.wanted {
			w.start(p)
		}
	}
	w.await(settleIn, "all VMs are up and vote after the faults", func() bool {
		return w.up() == len(w.vms) && w.votersUp() == w.voters()
	})
	w.watch()
}

// checkChanges compares the accepted changes with the audit trail.
func (w *world) checkChanges() {
	var records []mpstate.Record
	for i := range w.vms {
		if code, err := w.ask(i, http.MethodGet, "/v1/audit?limit=5000", nil, &records); err == nil && code == http.StatusOK {
			break
		}
	}
	byID := map[string]uint64{}
	last := uint64(0)
	for _, r := range records {
		if _, ok := byID[r.ID]; ok && r.ID != "" {
			w.breach("change %s took effect twice", r.ID)
		}
		if r.Revision != last+1 && last != 0 {
			w.breach("revision %d follows %d", r.Revision, last)
		}
		byID[r.ID], last = r.Revision, r.Revision
	}
	for id, revision := range w.changes {
		if byID[id] != revision {
			w.breach("change %s was accepted as revision %d and is now %d", id, revision, byID[id])
		}
	}
}

func (w *world) ledger() (mpfake.Report, bool) {
	var r mpfake.Report
	resp, err := w.http.Get("http://" + w.layout.Control + "/ledger")
	if err != nil {
		return r, false
	}
	defer func() { _ = resp.Body.Close() }()
	return r, json.NewDecoder(resp.Body).Decode(&r) == nil
}
