package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports are the same on all machines, as on the platform.
const (
	frontPort = 8625
	readyPort = 8621
	coreBase  = 8628
	dirPort   = 8630
	peerPort  = 7740
	listPort  = 8624
	appPort   = 8080
)

// The bounds are those of the two small deployments.
const settings = `nodeName: %[1]q
role: %[2]q
machineClass: %[3]q
serves: [%[4]s]
ip: %[5]q
zone: %[6]q
region: "r"
zones: {a: "r", b: "r", c: "r", d: "r"}
listen: {%[7]s}
portRange: [7740, 7755]
seeds: [%[8]s]
bootstrap: %[9]v
lossCounts: %[10]v
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 128}
dataDir: %[11]s
discovery: "cloud"
entry: "directory"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "stages"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, applyMs: 2000, revertSlackMs: 250, outerMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, coldOver: 1.5, coldSlack: 5, evacMs: 5000, recoverS: 12, passMs: 120, reuseWindowS: 10, ttl_max_s: 5}
configMode: "highest"
cloudApi: {addr: %[12]q, ratePerS: 44.0, duties: [], listLagMs: 800}
`

// zoneNames are the zones of the only region.
var zoneNames = []string{"a", "b", "c", "d"}

// machine is one of the system's machines, with its process.
type machine struct {
	name, ip, zone, settingsFile string
	isCore                       bool
	cmd                          *exec.Cmd
	done                         chan struct{}
	log                          *os.File
}

// fleet holds the system's machines.
type fleet struct {
	rec      *recorder
	dir      string
	program  string
	prefix   string // the first two numbers of the loopback addresses
	machines []*machine
	seeds    []string
}

// reservation keeps other runs from the addresses of this one.
var reservation net.Listener

// freePrefix returns the first two numbers of loopback addresses that no other run uses.
func freePrefix() string {
	for i := range 230 {
		p := fmt.Sprintf("127.%d", 20+(os.Getpid()*7+i*13)%230)
		l, err := net.Listen("tcp", p+".9.1:7999")
		if err != nil {
			continue
		}
		reservation = l
		return p
	}
	panic("no free addresses")
}

func newFleet(rec *recorder, prefix string, cores, fronts int) *fleet {
	dir, err := os.MkdirTemp("", "rig3-")
	check(err)
	f := &fleet{rec: rec, dir: dir, prefix: prefix, program: "target/mustardpost-platform"}
	zones := zoneNames
	for i := range 3 {
		f.seeds = append(f.seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.2.%d:%d", prefix, i+1, coreBase)))
	}
	for i := range cores {
		f.machines = append(f.machines, &machine{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.2.%d", prefix, i+1), zone: zones[i%len(zones)], isCore: true})
	}
	for i := range fronts {
		f.machines = append(f.machines, &machine{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.3.%d", prefix, i+1), zone: zones[i%len(zones)]})
	}
	for _, m := range f.machines {
		f.writeSettings(m, true)
	}
	return f
}

func (f *fleet) writeSettings(m *machine, bootstrap bool) {
	m.settingsFile = filepath.Join(f.dir, m.name+".yaml")
	role, class, serves, data := "entry", "front", `"front", "directory"`, "null"
	listen := fmt.Sprintf("front: %q, readyAddr: %q, directory: %q", addr(m.ip, frontPort), addr(m.ip, readyPort), addr(m.ip, dirPort))
	if m.isCore {
		role, class, serves = "voter", "core", `"control", "directory"`
		listen = fmt.Sprintf("control: %q, directory: %q", addr(m.ip, coreBase), addr(m.ip, dirPort))
		d := filepath.Join(f.dir, m.name)
		check(os.MkdirAll(d, 0o700))
		data = fmt.Sprintf("%q", d)
	}
	text := fmt.Sprintf(settings, m.name, role, class, serves, m.ip, m.zone, listen, strings.Join(f.seeds, ", "), bootstrap, m.isCore, data, addr(f.prefix+".0.1", listPort))
	check(os.WriteFile(m.settingsFile, []byte(text), 0o600))
}

func (f *fleet) start(m *machine) {
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.log = log
	m.cmd = exec.Command(f.program, "serve", "--metrics", "9464")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "MUSTARDPOST_SETTINGS=" + m.settingsFile}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	// The process ends with this one, however this one ends.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(m.cmd.Start())
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		f.rec.printf("process of %s ended: %v", m.name, err)
		close(done)
	}(m.cmd, m.done)
}

func (f *fleet) startAll() {
	for _, m := range f.machines {
		f.start(m)
	}
}

func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.rec.printf("signal to %s: %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	<-m.done
}

func (f *fleet) stopAll() {
	for _, m := range f.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, m := range f.machines {
		if m.done != nil {
			select {
			case <-m.done:
			case <-time.After(2 * time.Second):
			}
		}
	}
	if keep := os.Getenv("RIG3_KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(f.dir, keep)
		return
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) cores() (out []*machine) {
	for _, m := range f.machines {
		if m.isCore {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) fronts() (out []*machine) {
	for _, m := range f.machines {
		if !m.isCore {
			out = append(out, m)
		}
	}
	return out
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
