package main

import (
	"encoding/json"
	"errors"
	"fmt"
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
	program     = "target/mustardpost-platform"
	metricsPort = 9464
	startLimit  = 20 * time.Second
)

// settingsText is the settings file of a machine. The bounds are those of the site prairie-ladder.
const settingsText = `nodeName: %[1]q
role: %[2]q
machineClass: %[3]q
serves: [%[4]s]
ip: %[5]q
zone: %[6]q
region: "r"
zones: {a: "r", b: "r", c: "r"}
listen: {%[7]s}
portRange: [%[8]d, %[9]d]
seeds: [%[10]s]
bootstrap: true
lossCounts: %[11]t
limits: {cpuShare: 1.0, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 128}
dataDir: %[12]s
discovery: "cloud"
entry: "directory"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "stages"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, applyMs: 2000, revertSlackMs: 250, outerMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, coldOver: 1.5, coldSlack: 5, evacMs: 5000, recoverS: 12, passMs: 120, reuseWindowS: 10, ttl_max_s: 5}
configMode: "highest"
cloudApi: {addr: %[13]q, ratePerS: 44.0, duties: [], listLagMs: 800}
`

// ports are the same on all machines.
type ports struct{ front, ready, control, directory, first int }

// machine is one machine of the system and its process.
type machine struct {
	name, ip, zone string
	isCore         bool
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
}

// deployment is a small deployment: machines, the platform's list of servers, and servers.
type deployment struct {
	dir      string
	network  string
	ports    ports
	machines []*machine
	record   *record
	listen   []net.Listener

	mu      sync.Mutex
	servers []*server
	// stageServers are those of the servers that make pieces.
	stageServers []*stageServer
	// foreign are entries of the platform's list that come from another writer.
	foreign []map[string]any
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newDeployment picks a free loopback network and free ports. The system is not started yet.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "mustardpost-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		d.ports = ports{base, base + 1, base + 2, base + 3, base + 4}
		if d.isFree() {
			return d, nil
		}
	}
	return nil, errors.New("no free addresses")
}

func (d *deployment) isFree() bool {
	for host := 1; host <= 10; host++ {
		for _, port := range []int{d.ports.front, d.ports.ready, d.ports.control, d.ports.directory, d.ports.first, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts the platform's list, three machines of the core and the given number of front
// machines, and waits until all fronts have a configuration.
func (d *deployment) start(fronts int) error {
	list, err := d.serveList()
	if err != nil {
		return err
	}
	for i := range 3 + fronts {
		m := &machine{ip: fmt.Sprintf("%s.%d", d.network, i+1), zone: string("abc"[i%3]), isCore: i < 3}
		m.name = fmt.Sprintf("core-%s-1", m.zone)
		if !m.isCore {
			m.name = fmt.Sprintf("front-%s-%d", m.zone, i-2)
		}
		d.machines = append(d.machines, m)
	}
	var seeds []string
	for _, m := range d.core() {
		seeds = append(seeds, fmt.Sprintf("%q", d.address(m, d.ports.control)))
	}
	for _, m := range d.machines {
		if err := d.writeSettings(m, strings.Join(seeds, ", "), list); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := d.run(m); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) writeSettings(m *machine, seeds, list string) error {
	role, class, dataDir := "entry", "front", "null"
	serves := `"front", "directory"`
	listen := fmt.Sprintf("front: %q, readyAddr: %q, directory: %q", d.address(m, d.ports.front), d.address(m, d.ports.ready), d.address(m, d.ports.directory))
	if m.isCore {
		role, class = "voter", "core"
		serves = `"control", "directory"`
		listen = fmt.Sprintf("control: %q, directory: %q", d.address(m, d.ports.control), d.address(m, d.ports.directory))
		path := filepath.Join(d.dir, m.name)
		if err := os.Mkdir(path, 0o700); err != nil {
			return err
		}
		dataDir = fmt.Sprintf("%q", path)
	}
	m.settings = filepath.Join(d.dir, m.name+".yaml")
	text := fmt.Sprintf(settingsText, m.name, role, class, serves, m.ip, m.zone, listen, d.ports.first, d.ports.first+15, seeds, m.isCore, dataDir, list)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// run starts the process of m with the command of the deploy file.
func (d *deployment) run(m *machine) error {
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "serve", "--metrics", fmt.Sprint(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "MUSTARDPOST_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) stop() {
	for _, m := range d.machines {
		if m.cmd != nil {
			m.signal(syscall.SIGKILL)
			<-m.done
		}
	}
	for _, l := range d.listen {
		_ = l.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) core() []*machine { return d.machines[:3] }

func (d *deployment) fronts() []*machine { return d.machines[3:] }

// serveList serves the platform's list of servers.
func (d *deployment) serveList() (string, error) {
	l, err := net.Listen("tcp", d.network+".10:0")
	if err != nil {
		return "", err
	}
	d.listen = append(d.listen, l)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		rows := []map[string]any{}
		for _, s := range d.servers {
			rows = append(rows, map[string]any{
				"id": s.id, "service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
			})
		}
		rows = append(rows, d.foreign...)
		d.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": rows, "next": nil})
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return l.Addr().String(), nil
}

// waitReady waits until all fronts say that they are ready.
func (d *deployment) waitReady() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.fronts() {
			resp, err := shortClient.Get("http://" + d.address(m, d.ports.ready) + "/api/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.fronts()) {
			return nil
		}
	}
	return errors.New("the front machines did not become ready")
}
