package mpreplica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mpquorum"
)

const (
	testElection = 400 * time.Millisecond
	testDelay    = 2 * time.Millisecond
	// testReopen is the pause of a voter whose disk failed.
	testReopen = 500 * time.Millisecond
)

var errNoSpace = errors.New("no space left on device")

// disk is a Store that can run full.
type disk struct {
	*mpdisk.Store
	full *atomic.Bool
}

func (d disk) Save(hard *mpquorum.HardState, entries []mpquorum.Entry) error {
	if d.full.Load() && (hard != nil || len(entries) > 0) {
		return errNoSpace
	}
	return d.Store.Save(hard, entries)
}

func (d disk) WriteSnapshot(snap mpquorum.Snapshot) error {
	if d.full.Load() {
		return errNoSpace
	}
	return d.Store.WriteSnapshot(snap)
}

func (d disk) Rotate(index uint64, hard mpquorum.HardState, entries []mpquorum.Entry) error {
	if d.full.Load() {
		return errNoSpace
	}
	return d.Store.Rotate(index, hard, entries)
}

// register is a state machine that keeps the last command.
type register struct {
	mu    sync.Mutex
	value string
	// applyTime is how long it takes to apply a command.
	applyTime time.Duration
}

func (g *register) Apply(_ uint64, command []byte) []byte {
	<-time.After(g.applyTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.value = string(command)
	return command
}

func (g *register) Snapshot() func() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	value := g.value
	return func() ([]byte, error) { return json.Marshal(value) }
}

func (g *register) Restore(data []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return json.Unmarshal(data, &g.value)
}

// host is one VM with a voter, which reopens its disk after a failure.
type host struct {
	c      *cluster
	vm     string
	id     mpquorum.MemberID
	dir    string
	full   atomic.Bool
	cancel context.CancelFunc
	done   chan struct{}
	err    error // The error of the last opening of the disk.

	mu      sync.Mutex
	replica *Replica
	machine *register
}

// cluster is a deployment in virtual time. Its voters call each other in memory.
type cluster struct {
	t      *testing.T
	ctx    context.Context
	logger log.Logger
	mu     sync.Mutex
	hosts  map[string]*host
	nextID mpquorum.MemberID
	// threshold is the size of the log that is compacted.
	threshold int64
	// applyTime is how long a voter that starts from now on takes to apply a command.
	applyTime time.Duration
}

// runCluster calls test with a deployment of n voters, in virtual time.
func runCluster(t *testing.T, n int, threshold int64, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, logger: log.NewNopLogger(), hosts: map[string]*host{}, threshold: threshold}
		if os.Getenv("LOG") != "" {
			c.logger = log.With(log.NewLogfmtLogger(os.Stderr), "at", log.Valuer(func() any { return time.Now().Format("05.000") }))
		}
		var first mpquorum.MemberInfo
		for i := range n {
			h := c.newHost(fmt.Sprintf("vm%d", i+1))
			if i == 0 {
				first = mpquorum.MemberInfo{Member: h.id, VM: h.vm, Address: h.vm}
				c.bootstrap(h, first)
			}
			h.start()
		}
		c.await("all VMs vote", 20*time.Second, func() bool { return len(c.voters()) == n })
		test(c)
		cancel()
		for _, h := range c.hosts {
			<-h.done
		}
		<-time.After(2 * testDelay) // Messages that are on their way.
	})
}

// newHost adds a VM with an empty disk.
func (c *cluster) newHost(vm string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	h := &host{c: c, vm: vm, id: c.nextID, dir: c.t.TempDir()}
	c.hosts[vm] = h
	return h
}

func (c *cluster) bootstrap(h *host, self mpquorum.MemberInfo) {
	store, _, err := mpdisk.Open(h.dir)
	if err != nil {
		c.t.Fatal(err)
	}
	err = errors.Join(store.WriteSnapshot(mpquorum.BootstrapSnapshot(self, nil)), store.Save(&mpquorum.HardState{Term: 1}, nil), store.Close())
	if err != nil {
		c.t.Fatal(err)
	}
}

// start runs the voter of h until stop is called or the test ends.
func (h *host) start() {
	ctx, cancel := context.WithCancel(h.c.ctx)
	h.cancel, h.done = cancel, make(chan struct{})
	go func() {
		defer close(h.done)
		for ctx.Err() == nil {
			h.err = h.runOne(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(testReopen):
			}
		}
	}()
}

func (h *host) stop() {
	h.cancel()
	<-h.done
}

func (h *host) runOne(ctx context.Context) error {
	store, recovered, err := mpdisk.Open(h.dir)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	machine := &register{applyTime: h.c.applyTime}
	logger := log.With(h.c.logger, "vm", h.vm)
	r, err := New(Config{
		Self: h.id, Address: h.vm, Store: disk{store, &h.full}, Recovered: recovered, StateMachine: machine, Sender: newSender(ctx, h.c),
		Logger: logger, SnapshotThreshold: h.c.threshold,
		Quorum: mpquorum.Config{
			ElectionTimeout: testElection, HeartbeatInterval: testElection / 4, Now: time.Now(),
			Rand: rand.New(rand.NewPCG(uint64(h.id), uint64(time.Now().UnixNano()))),
		},
	})
	if err != nil {
		_ = logger.Log("msg", "cannot start", "err", err)
		return err
	}
	h.set(r, machine)
	defer h.set(nil, nil)
	ended := make(chan error, 1)
	go func() { ended <- r.Run() }()
	go h.enroll(ctx, r)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		r.Stop()
		return <-ended
	}
}

func (h *host) set(r *Replica, m *register) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replica, h.machine = r, m
}

func (h *host) running() *Replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica
}

// enroll asks the leader to make the member a voter until the replica stops.
func (h *host) enroll(ctx context.Context, r *Replica) {
	self := mpquorum.MemberInfo{Member: h.id, VM: h.vm, Address: h.vm}
	for {
		if leader := h.c.leader(); leader != nil {
			_, _ = leader.Enroll(self)
		}
		select {
		case <-r.stopped:
			return
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// sender delivers messages after testDelay, with those to the same address that follow.
type sender struct {
	c   *cluster
	ctx context.Context

	mu     sync.Mutex
	queues map[string]chan mpquorum.Envelope
}

func newSender(ctx context.Context, c *cluster) *sender {
	return &sender{c: c, ctx: ctx, queues: map[string]chan mpquorum.Envelope{}}
}

func (s *sender) Send(address string, e mpquorum.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[address]
	if !ok {
		queue = make(chan mpquorum.Envelope, inboxSize)
		s.queues[address] = queue
		go s.run(address, queue)
	}
	select {
	case queue <- e:
	default:
	}
}

func (s *sender) run(address string, queue chan mpquorum.Envelope) {
	for {
		select {
		case e := <-queue:
			<-time.After(testDelay)
			batch := []mpquorum.Envelope{e}
			for range len(queue) {
				batch = append(batch, <-queue)
			}
			if r := s.c.replica(address); r != nil {
				r.Deliver(batch)
			}
		case <-s.ctx.Done():
			return
		}
	}
}

func (c *cluster) host(vm string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[vm]
}

// replica returns the running voter of vm, or nil.
func (c *cluster) replica(vm string) *Replica {
	if h := c.host(vm); h != nil {
		return h.running()
	}
	return nil
}

func (c *cluster) all() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*host
	for _, h := range c.hosts {
		out = append(out, h)
	}
	return out
}

// leader returns the voter that leads with a lease, or nil.
func (c *cluster) leader() *Replica {
	for _, h := range c.all() {
		if r := h.running(); r != nil && r.Status().Leading && r.HasLease() {
			return r
		}
	}
	return nil
}

// read returns the last command that the leader has applied, or "" if there is no leader.
func (c *cluster) read() string {
	leader := c.leader()
	for _, h := range c.all() {
		h.mu.Lock()
		r, machine := h.replica, h.machine
		h.mu.Unlock()
		if r != nil && r == leader {
			machine.mu.Lock()
			defer machine.mu.Unlock()
			return machine.value
		}
	}
	return ""
}

// voters returns the names of the VMs that vote, as the leader knows them.
func (c *cluster) voters() []string {
	r := c.leader()
	if r == nil {
		return nil
	}
	var out []string
	for _, s := range r.Status().Members.Seats {
		if s.Voter {
			out = append(out, s.VM)
		}
	}
	return out
}

// propose commits a command within limit, at whichever voter leads.
func (c *cluster) propose(command string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	for ctx.Err() == nil {
		if r := c.leader(); r != nil {
			if _, err := r.Propose(ctx, []byte(command)); err == nil {
				return true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
	return false
}

// await fails the test if ok does not become true within limit.
func (c *cluster) await(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if ok() {
			return
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
	c.t.Errorf("not within %s: %s", limit, what)
}
