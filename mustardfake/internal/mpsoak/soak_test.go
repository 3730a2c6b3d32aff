// Package mpsoak runs a deployment of real processes under random faults. It
// compares the outcomes at the callers with the ledgers of the fake upstreams.
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

	"mustardpost.org/core/connection/mplink"
	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/mustardfake/internal/mpfake"
	"mustardpost.org/mustardfake/internal/mpload"
	"mustardpost.org/mustardfake/internal/mpsample"
)

const (
	binDir        = "../../../bin"
	readyTimeout  = 30 * time.Second
	settleTimeout = 45 * time.Second
	pollInterval  = 50 * time.Millisecond
	leaseBound    = 3500 * time.Millisecond
	sampleName    = "prairies"
	// portSpan is the number of ports, from the first one of a deployment, that must lie
	// below firstEphemeralPort. The VMs and the control address use these; the fake
	// upstreams use ports above them.
	portSpan = 200
	// firstEphemeralPort is the first port that the system assigns to outgoing
	// connections. A process fails to listen on a port that such a connection uses.
	firstEphemeralPort = 32768
)

// process is a VM's mustardpostd process, which faults stop and restart.
type process struct {
	vm           string
	settingsFile string
	dataDir      string
	ip           string
	cmd          *exec.Cmd
	done         chan struct{}
	shouldRun    bool
	voter        bool
	suspended    bool
}

// deployment runs the sample under test, and counts its faults and records breaches.
type deployment struct {
	t           *testing.T
	rand        *rand.Rand
	layout      mpsample.Layout
	dir         string
	network     *mplink.Network
	vms         []*process
	http        *http.Client
	faults      map[string]int
	changes     map[string]uint64
	dcsTakenOut int
	poisons     int
	orders      int
	dcsLost     int

	mu       sync.Mutex
	breaches []string
}

func (d *deployment) addBreach(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.breaches = append(d.breaches, fmt.Sprintf(format, args...))
}

func env(key, fallback string) string {
	if v := os.Getenv(key); v != "" {
		return v
	}
	return fallback
}

func newDeployment(t *testing.T, seed uint64, port int) *deployment {
	t.Helper()
	if port+portSpan >= firstEphemeralPort {
		t.Fatalf("ports from %d on may be in use by outgoing connections", port)
	}
	dir := t.TempDir()
	layout, err := mpsample.Write(dir, sampleName, mpsample.Options{Port: port, Strict: true, Relay: true})
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{
		t: t, rand: rand.New(rand.NewPCG(seed, 2)), layout: layout, dir: dir, network: mplink.New(),
		http: &http.Client{Timeout: 15 * time.Second}, faults: map[string]int{}, changes: map[string]uint64{},
	}
	for i, s := range layout.VMs {
		ip, _, _ := strings.Cut(s.PeerBindAddress, ":")
		d.vms = append(d.vms, &process{vm: s.VM, settingsFile: layout.SettingsFiles[i], dataDir: s.DataDir, voter: s.IsVoter(), ip: ip})
		closer, err := d.network.Relay(s.PeerAddress, s.PeerBindAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = closer.Close() })
	}
	d.startHelper("mustardfake", "upstreams", "--file", layout.FakesFile, "--control", layout.ControlAddress)
	for _, p := range d.vms {
		d.start(p)
	}
	t.Cleanup(d.stopAll)
	d.waitFor(readyTimeout, "all VMs are up", func() bool { return d.vmsUp() == len(d.vms) && d.votersUp() == d.voters() })
	d.applyCatalogue()
	return d
}

// startHelper starts a helper process that is killed at the end of the test.
func (d *deployment) startHelper(name string, args ...string) {
	cmd := exec.Command(filepath.Join(binDir, name), args...)
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func (d *deployment) start(p *process) {
	log, err := os.OpenFile(filepath.Join(d.dir, p.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, "mustardpostd"), "serve", "--settings", p.settingsFile)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.shouldRun = cmd, done, true
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

// stop sends sig to p and waits until it exits, killing it after settleTimeout.
func (d *deployment) stop(p *process, sig syscall.Signal) {
	p.shouldRun = false
	_ = p.cmd.Process.Signal(sig)
	if p.suspended {
		p.suspended = false
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
	select {
	case <-p.done:
	case <-time.After(settleTimeout):
		d.addBreach("%s did not exit within %s of signal %v", p.vm, settleTimeout, sig)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

func (d *deployment) stopAll() {
	d.network.Heal()
	for _, p := range d.vms {
		if p.cmd != nil {
			d.stop(p, syscall.SIGKILL)
		}
	}
	if d.t.Failed() {
		d.printLogs()
	}
}

func (d *deployment) printLogs() {
	for _, p := range d.vms {
		data, _ := os.ReadFile(filepath.Join(d.dir, p.vm+".log"))
		lines := strings.Split(string(data), "\n")
		d.t.Logf("%s:\n%s", p.vm, strings.Join(lines[max(len(lines)-15, 0):], "\n"))
	}
}

// restartExited reports and restarts processes that exited unexpectedly, as they
// do on a breach of an invariant inside the program.
func (d *deployment) restartExited() {
	for _, p := range d.vms {
		select {
		case <-p.done:
			if p.shouldRun {
				d.addBreach("%s exited unexpectedly", p.vm)
				d.start(p)
			}
		default:
		}
	}
}

func (d *deployment) waitFor(within time.Duration, what string, ok func() bool) {
	d.t.Helper()
	end := time.Now().Add(within)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !ok() {
		if time.Now().After(end) {
			d.printLogs()
			d.t.Fatalf("timed out after %s waiting until %s", within, what)
		}
		<-tick.C
	}
}

// callOperator sends a request to the operator address of the i-th VM.
func (d *deployment) callOperator(i int, method, path string, body, out any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+d.layout.VMs[i].OperatorAddress+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+mpsample.OperatorToken)
	resp, err := d.http.Do(req)
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

func (d *deployment) status() (mpoperator.Status, bool) {
	for i := range d.vms {
		if d.vms[i].suspended || !d.vms[i].shouldRun {
			continue
		}
		var s mpoperator.Status
		if code, err := d.callOperator(i, http.MethodGet, "/v1/status", nil, &s); err == nil && code == http.StatusOK && s.Lease {
			return s, true
		}
	}
	return mpoperator.Status{}, false
}

func (d *deployment) vmsUp() int {
	s, _ := d.status()
	return len(s.VMs)
}

func (d *deployment) voters() int {
	n := 0
	for _, p := range d.vms {
		if p.voter {
			n++
		}
	}
	return n
}

// votersUp returns the number of voters according to the leader, or 0 if some
// voters do not report their status.
func (d *deployment) votersUp() int {
	s, _ := d.status()
	most := 0
	for _, raw := range s.Voters {
		var v mpoperator.Voter
		if json.Unmarshal(raw, &v) == nil && v.Status.Leading {
			most = max(most, len(v.Status.Members.Voters()))
		}
	}
	if len(s.Voters) < d.voters() {
		return 0
	}
	return most
}

// proposeChange proposes a change through a random running VM and records its
// revision if it is accepted.
func (d *deployment) proposeChange(c mpoperator.ChangeRequest) (mpoperator.ChangeResponse, int) {
	var out mpoperator.ChangeResponse
	i := d.rand.IntN(len(d.vms))
	for d.vms[i].suspended || !d.vms[i].shouldRun {
		i = (i + 1) % len(d.vms)
	}
	code, err := d.callOperator(i, http.MethodPost, "/v1/changes", c, &out)
	if err == nil && code == http.StatusOK {
		d.mu.Lock()
		d.changes[c.ID] = out.Revision
		d.mu.Unlock()
	}
	return out, code
}

func (d *deployment) applyCatalogue() {
	data, err := os.ReadFile(d.layout.CatalogueFile)
	if err != nil {
		d.t.Fatal(err)
	}
	var doc mpcatalogue.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		d.t.Fatal(err)
	}
	out, code := d.proposeChange(mpoperator.ChangeRequest{ID: "catalogue", Wait: 10_000, Edit: &mpcatalogue.Edit{Put: doc}})
	if code != http.StatusOK || !out.InForce {
		d.t.Fatalf("apply catalogue: status %d, %+v", code, out)
	}
}

// TestSoak injects a random sequence of faults per seed, under load, and checks
// that no invariant is breached.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("needs the programs built by make build")
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
	d := newDeployment(t, seed, port)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := d.layout.Profile
	p.Seed, p.Rate, p.Duration = seed, 60, duration+time.Hour
	result := make(chan mpload.Summary, 1)
	go func() { result <- mpload.Run(ctx, p) }()
	end := time.Now().Add(duration)
	stop, severed := make(chan struct{}), make(chan int)
	go func() { severed <- d.severConnections(rand.New(rand.NewPCG(seed, 7)), stop) }()
	for time.Now().Before(end) {
		d.injectFault()
		d.restartExited()
	}
	close(stop)
	d.faults["severed connections"] = <-severed
	d.recover()
	cancel()
	s := <-result
	d.checkChanges()
	d.checkOrders()
	var table bytes.Buffer
	_ = s.Print(&table)
	t.Logf("seed %d: faults %v; %d changes checked, %d data centres out, %d data centres lost, %d poison requests, %d orders\n%s",
		seed, d.faults, len(d.changes), d.dcsTakenOut, d.dcsLost, d.poisons, d.orders, &table)
	for _, b := range append(d.breaches, s.Breaches...) {
		t.Errorf("breach: %s", b)
	}
	if s.Total.InTime == 0 {
		t.Error("no request was answered in time")
	}
}

// TestLoseDC kills all VMs and upstreams of a data centre at once under load,
// restarts them cold, and checks that no invariant is breached.
func TestLoseDC(t *testing.T) {
	if testing.Short() {
		t.Skip("needs the programs built by make build")
	}
	d := newDeployment(t, 2, 32000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := d.layout.Profile
	p.Seed, p.Rate, p.Duration = 4, 80, time.Hour
	result := make(chan mpload.Summary, 1)
	go func() { result <- mpload.Run(ctx, p) }()
	d.sleepRandom(2000, 3000)
	back := d.loseDC()
	d.sleepRandom(5000, 6000)
	back()
	d.recover()
	d.sleepRandom(2000, 3000)
	cancel()
	s := <-result
	var table bytes.Buffer
	_ = s.Print(&table)
	t.Logf("%d data centre lost and back\n%s", d.dcsLost, &table)
	if d.dcsLost != 1 {
		t.Errorf("%d data centres lost, want 1", d.dcsLost)
	}
	for _, b := range append(d.breaches, s.Breaches...) {
		t.Errorf("breach: %s", b)
	}
}

// TestRollingLeave shuts down and restarts every VM in turn under load. No request
// may be cut off or lost because of it. A VM should exit within the longest deadline
// of any class after the addresses that callers cached have expired; the test allows
// settleTimeout.
func TestRollingLeave(t *testing.T) {
	if testing.Short() {
		t.Skip("needs the programs built by make build")
	}
	d := newDeployment(t, 1, 31000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := d.layout.Profile
	p.Seed, p.Rate, p.Duration, p.MaxResends = 3, 80, time.Hour, 0
	result := make(chan mpload.Summary, 1)
	go func() { result <- mpload.Run(ctx, p) }()
	for _, one := range d.vms {
		d.stop(one, syscall.SIGTERM)
		d.start(one)
		d.waitFor(settleTimeout, one.vm+" is back", func() bool {
			return d.vmsUp() == len(d.vms) && d.votersUp() == d.voters()
		})
	}
	cancel()
	s := <-result
	var table bytes.Buffer
	_ = s.Print(&table)
	t.Logf("all of %d VMs restarted\n%s", len(d.vms), &table)
	for _, kind := range []string{"lost", "failed", "unknown"} {
		if n := s.Total.Outcomes[kind]; n > 0 {
			t.Errorf("%d requests ended as %s while VMs left", n, kind)
		}
	}
	for _, b := range append(d.breaches, s.Breaches...) {
		t.Errorf("breach: %s", b)
	}
}

// recover undoes all faults and waits until all VMs are up and all voters vote.
func (d *deployment) recover() {
	d.network.Heal()
	for _, p := range d.vms {
		d.resume(p)
		if !p.shouldRun {
			d.start(p)
		}
	}
	d.waitFor(settleTimeout, "all VMs are up and all voters vote after the faults", func() bool {
		return d.vmsUp() == len(d.vms) && d.votersUp() == d.voters()
	})
	d.restartExited()
}

// checkChanges compares the accepted changes with the audit trail. Each must have
// taken effect once, at the revision that was reported, without gaps between
// revisions.
func (d *deployment) checkChanges() {
	var records []mpstate.AuditRecord
	for i := range d.vms {
		if code, err := d.callOperator(i, http.MethodGet, "/v1/audit?limit=5000", nil, &records); err == nil && code == http.StatusOK {
			break
		}
	}
	byID := map[string]uint64{}
	last := uint64(0)
	for _, r := range records {
		if _, ok := byID[r.ID]; ok && r.ID != "" {
			d.addBreach("change %s took effect twice", r.ID)
		}
		if r.Revision != last+1 && last != 0 {
			d.addBreach("audit trail not consecutive: revision %d follows %d", r.Revision, last)
		}
		byID[r.ID], last = r.Revision, r.Revision
	}
	for id, revision := range d.changes {
		if byID[id] != revision {
			d.addBreach("change %s was accepted as revision %d but the audit trail has revision %d", id, revision, byID[id])
		}
	}
}

func (d *deployment) fetchLedger() (mpfake.Report, bool) {
	var r mpfake.Report
	resp, err := d.http.Get("http://" + d.layout.ControlAddress + "/ledger")
	if err != nil {
		return r, false
	}
	defer func() { _ = resp.Body.Close() }()
	return r, json.NewDecoder(resp.Body).Decode(&r) == nil
}
