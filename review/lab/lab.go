package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/mustardpost-platform"
	// operatorPatience is how long the operator waits before it moves on to another machine.
	operatorPatience = time.Second
	peerPort         = 7740
	frontPort        = 8625
	readyPort        = 8621
	controlPort      = 8628
	directoryPort    = 8630
	listPort         = 8624
	serverPort       = 8080
)

const settingsFormat = `nodeName: %q
role: %q
machineClass: %q
serves: [%s]
ip: %q
zone: %q
region: "r"
zones: {a: "r", b: "r", c: "r"}
listen: {%s}
portRange: [7740, 7755]
seeds: [%s]
bootstrap: %v
lossCounts: %v
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 128}
dataDir: %s
discovery: "cloud"
entry: "directory"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "stages"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, applyMs: 2000, revertSlackMs: 250, outerMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, coldOver: 1.5, coldSlack: 5, evacMs: 5000, recoverS: 12, passMs: 120, reuseWindowS: 10, ttl_max_s: 5}
configMode: "highest"
cloudApi: {addr: %q, ratePerS: 44.0, duties: [], listLagMs: 0}
`

// machine is one machine of the system with its process.
type machine struct {
	name, ip, zone string
	isCore         bool
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
}

// lab is a small deployment.
type lab struct {
	// hasTrouble is unset if the case is played without its disruption.
	hasTrouble bool
	// pauses is set if servers pause in the middle of streams while there is trouble.
	pauses  bool
	dir     string
	network string
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	list     []instance
	// foreignEntry is what another writer left in the list, as it is served.
	foreignEntry string
	listener     net.Listener
	servers      []*server
	isOver       bool
}

func newLab(record string, hasTrouble bool) (*lab, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	l := &lab{hasTrouble: hasTrouble, dir: dir, start: time.Now(), record: f}
	for range 50 {
		l.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if l.listener, err = net.Listen("tcp", l.address(200, listPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l.listener, http.HandlerFunc(l.serveList)) }()
	l.note("trouble: %v", hasTrouble)
	return l, nil
}

func (l *lab) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", l.network, host, port) }

// note writes a line into the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record != nil {
		fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (l *lab) elapsed() time.Duration { return time.Since(l.start) }

// addMachines adds the given numbers of cores and fronts, whose zones are a, b and c in turn, and starts
// them.
func (l *lab) addMachines(cores, fronts int) error {
	for i := range cores {
		l.machines = append(l.machines, &machine{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.%d", l.network, 10+i), zone: "abc"[i%3 : i%3+1], isCore: true})
	}
	for i := range fronts {
		l.machines = append(l.machines, &machine{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", l.network, 30+i), zone: "abc"[i%3 : i%3+1]})
	}
	for _, m := range l.machines {
		if err := l.startMachine(m, true); err != nil {
			return err
		}
	}
	return nil
}

// startMachine writes the settings of a machine and starts its process as the deploy file says.
func (l *lab) startMachine(m *machine, bootstrap bool) error {
	role, class, serves, dataDir := "entry", "front", `"front", "directory"`, "null"
	listen := fmt.Sprintf("front: %q, readyAddr: %q, directory: %q", hostPort(m.ip, frontPort), hostPort(m.ip, readyPort), hostPort(m.ip, directoryPort))
	if m.isCore {
		role, class, serves = "voter", "core", `"control", "directory"`
		listen = fmt.Sprintf("control: %q, directory: %q", hostPort(m.ip, controlPort), hostPort(m.ip, directoryPort))
		dir := filepath.Join(l.dir, m.name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		dataDir = fmt.Sprintf("%q", dir)
	}
	var seeds []string
	for _, c := range l.cores() {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", hostPort(c.ip, controlPort)))
		}
	}
	text := fmt.Sprintf(settingsFormat, m.name, role, class, serves, m.ip, m.zone, listen, strings.Join(seeds, ", "), bootstrap, m.isCore, dataDir, l.listener.Addr().String())
	m.settings = filepath.Join(l.dir, m.name+".yaml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(l.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "serve", "--metrics", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MUSTARDPOST_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	l.note("%s starts (process %d)", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		l.note("%s has ended: %v", m.name, err)
		close(done)
	}()
	return nil
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (l *lab) cores() []*machine  { return l.of(true) }
func (l *lab) fronts() []*machine { return l.of(false) }

func (l *lab) of(isCore bool) []*machine {
	var out []*machine
	for _, m := range l.machines {
		if m.isCore == isCore {
			out = append(out, m)
		}
	}
	return out
}

func (l *lab) signal(m *machine, s syscall.Signal) {
	l.note("%s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// killAll ends all processes that the lab started.
func (l *lab) killAll() {
	for _, m := range l.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.done
		}
	}
}

// close ends what the lab started and removes its files.
func (l *lab) close() {
	l.killAll()
	for _, s := range l.servers {
		s.close()
	}
	_ = l.listener.Close()
	l.mu.Lock()
	_ = l.record.Close()
	l.record = nil
	l.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
}

// client returns an HTTP client that makes a new connection for each request. It has an address of its own, so
// that other programs leave it enough ports.
func (l *lab) client(timeout time.Duration) *http.Client {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(l.network + ".250")}, Timeout: time.Second}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil, DialContext: dialer.DialContext}, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

// order sends an order of the operator to one machine and returns the status, or an error if there is none
// within operatorPatience.
func (l *lab) order(m *machine, method, path, body string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+hostPort(m.ip, controlPort)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	} else {
		req.Body, req.ContentLength = nil, 0
	}
	resp, err := l.client(operatorPatience).Do(req)
	if err != nil {
		l.note("operator: %s %s at %s: no answer (%v)", method, path, m.name, unwrap(err))
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	l.note("operator: %s %s at %s: %d %.60q", method, path, m.name, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode, string(text), err
}

func unwrap(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}

// orderUntilAcknowledged sends an order to the given machines in turn until one acknowledges it.
func (l *lab) orderUntilAcknowledged(machines []*machine, method, path, body string, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		status, text, err := l.order(machines[i%len(machines)], method, path, body)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
			return fmt.Errorf("%s %s: %d %s", method, path, status, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s was not acknowledged within %v", method, path, timeout)
}

// isReady asks a front whether it is ready.
func (l *lab) isReady(m *machine) bool {
	resp, err := l.client(time.Second).Get("http://" + hostPort(m.ip, readyPort) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all fronts are ready.
func (l *lab) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for {
		ready := 0
		for _, m := range l.fronts() {
			if l.isReady(m) {
				ready++
			}
		}
		if ready == len(l.fronts()) {
			l.note("all fronts are ready")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d fronts are ready after %v", ready, len(l.fronts()), timeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
