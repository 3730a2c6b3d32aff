package mprelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpdial"
	"mustardpost.org/core/process/mpmetric"
)

const (
	// relayDelay is how long the own path is waited for before other VMs are asked. It is far
	// above the time that a connection between data centres takes.
	relayDelay = 100 * time.Millisecond
	// askDelay is how long a VM is waited for before the next one is asked as well.
	askDelay = 60 * time.Millisecond
	// maxAsked limits the VMs that are asked for one connection.
	maxAsked = 6
	// maxTunnels limits the connections that this VM makes for others, for its memory and its
	// file descriptors.
	maxTunnels = 512
	// ownPathTimeout limits a try of the own path that no request waits for.
	ownPathTimeout = 500 * time.Millisecond
	// checkInterval is how often upstreams are looked for whose own path is to be tried.
	checkInterval = 250 * time.Millisecond
)

// Peer is another VM.
type Peer struct {
	Name string
	DC   string
	// IsSpare is set for VMs that serve no callers, which are asked last.
	IsSpare bool
	// Open connects to an upstream by way of the VM, as the function Open does.
	Open func(ctx context.Context, address string) (net.Conn, error)
}

// Config configures a Dialer.
type Config struct {
	DC string
	// Direct connects over the VM's own path.
	Direct  mpdial.Func
	Metrics *mpmetric.Set
	Logger  log.Logger
}

// Dialer connects to upstreams, by way of other VMs if the own path fails. It is safe for
// concurrent use.
type Dialer struct {
	cfg     Config
	paths   *Paths
	tunnels atomic.Int64

	mu        sync.Mutex
	peers     []Peer
	upstreams map[string]bool
	onHealed  func()
}

// New returns a Dialer that knows neither upstreams nor other VMs, and uses the own path only.
func New(cfg Config) *Dialer {
	return &Dialer{cfg: cfg, paths: NewPaths()}
}

// SetPeers sets the VMs that can be asked.
func (d *Dialer) SetPeers(peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = slices.Clone(peers)
}

// SetUpstreams sets the addresses of the upstreams. Connections to others use the own path.
func (d *Dialer) SetUpstreams(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = map[string]bool{}
	for _, a := range addresses {
		d.upstreams[a] = true
	}
	listed := d.upstreams
	d.paths.Prune(func(a string) bool { return listed[a] })
}

// OnHealed sets what is called when the own path to an upstream works again.
func (d *Dialer) OnHealed(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onHealed = f
}

// Tunnels returns the number of connections that this VM makes for others.
func (d *Dialer) Tunnels() int { return int(d.tunnels.Load()) }

func (d *Dialer) isUpstream(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[address]
}

func (d *Dialer) hasPeers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.peers) > 0
}

// candidates returns the peers to ask, in order: those of the own data centre, others, spare
// ones, each in the order of the address, so that the upstreams are spread over the VMs.
func (d *Dialer) candidates(now time.Time, address string) []Peer {
	d.mu.Lock()
	peers := d.peers
	d.mu.Unlock()
	byName := map[string]Peer{}
	names := make([]string, len(peers))
	for i, p := range peers {
		byName[p.Name], names[i] = p, p.Name
	}
	distance := func(name string) int {
		switch p := byName[name]; {
		case p.IsSpare:
			return 2
		case p.DC != d.cfg.DC:
			return 1
		default:
			return 0
		}
	}
	order := mprank.OfName(address, names)
	slices.SortStableFunc(order, func(a, b string) int { return distance(a) - distance(b) })
	order = d.paths.Order(now, order)
	// The last one is a spare VM, which faults of those that serve callers may leave alone.
	if i := slices.IndexFunc(order, func(name string) bool { return byName[name].IsSpare }); i >= maxAsked {
		order[maxAsked-1] = order[i]
	}
	out := make([]Peer, 0, maxAsked)
	for _, name := range order[:min(len(order), maxAsked)] {
		out = append(out, byName[name])
	}
	return out
}

// result is the end of one way to connect.
type result struct {
	conn net.Conn
	err  error
}

// DialContext connects to address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.isUpstream(address) || !d.hasPeers() {
		return d.cfg.Direct(ctx, network, address)
	}
	plan := d.paths.Plan(time.Now(), address)
	if !plan.RelayFirst {
		return d.race(ctx, network, address, plan)
	}
	if conn, err := d.relay(ctx, address); err == nil {
		return conn, nil
	}
	return d.direct(ctx, network, address)
}

func (d *Dialer) direct(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.cfg.Direct(ctx, network, address)
	if err == nil && d.paths.RecordDirect(time.Now(), address) {
		d.recordHealed(address)
	}
	return conn, err
}

// race tries the own path, and that of other VMs once it has failed or takes long.
func (d *Dialer) race(ctx context.Context, network, address string, plan Plan) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := start(func() (net.Conn, error) { return d.direct(ctx, network, address) })
	if !plan.MayRelay {
		r := <-own
		return r.conn, r.err
	}
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	var ownErr error
	select {
	case r := <-own:
		if r.err == nil || ctx.Err() != nil {
			return r.conn, r.err
		}
		if d.paths.IsSound(time.Now()) {
			go d.askForNext(context.WithoutCancel(ctx), address)
			return nil, r.err
		}
		ownErr, own = r.err, nil
	case <-timer.C:
	}
	others := start(func() (net.Conn, error) { return d.askOnce(ctx, address) })
	for own != nil || others != nil {
		select {
		case r := <-own:
			if own = nil; r.err == nil {
				discard(others)
				return r.conn, nil
			}
			ownErr = r.err
		case r := <-others:
			if others = nil; r.err == nil {
				discard(own)
				return r.conn, nil
			}
		}
	}
	return nil, ownErr
}

// askForNext finds out whether other VMs reach an upstream, for the connections after one that
// failed.
func (d *Dialer) askForNext(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, ownPathTimeout)
	defer cancel()
	if conn, err := d.askOnce(ctx, address); err == nil {
		_ = conn.Close()
	}
}

// askOnce connects by way of another VM. While it is unknown whether one reaches the upstream,
// the peers are asked for one connection only, and others wait for what they answer.
func (d *Dialer) askOnce(ctx context.Context, address string) (net.Conn, error) {
	for {
		switch plan := d.paths.Plan(time.Now(), address); {
		case !plan.MayRelay:
			return nil, mperror.Wrap(mperror.ErrNoUpstream, "no VM reaches %s", address)
		case plan.RelayFirst:
			return d.relay(ctx, address)
		}
		answered := d.paths.BeginAsk(address)
		if answered == nil {
			defer d.paths.EndAsk(address)
			return d.relay(ctx, address)
		}
		select {
		case <-answered:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// start runs f, whose result the channel receives.
func start(f func() (net.Conn, error)) chan result {
	out := make(chan result, 1)
	go func() {
		conn, err := f()
		out <- result{conn, err}
	}()
	return out
}

// discard closes the connection that is not used, once it is made.
func discard(c chan result) {
	if c == nil {
		return
	}
	go func() {
		if r := <-c; r.err == nil {
			_ = r.conn.Close()
		}
	}()
}

// relay connects by way of another VM, and records whether one reaches the upstream.
func (d *Dialer) relay(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.ask(ctx, address, d.candidates(time.Now(), address))
	switch {
	case err == nil:
		d.recordRelayed(address)
	case ctx.Err() == nil:
		d.paths.RecordDown(time.Now(), address)
	}
	return conn, err
}

// ask connects by way of the first of the peers that can. It asks the next one after an error,
// or if there is no answer within askDelay.
func (d *Dialer) ask(ctx context.Context, address string, peers []Peer) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		result
		peer string
	}
	replies := make(chan reply, len(peers))
	next, pending := 0, 0
	ask := func() {
		if next < len(peers) {
			p := peers[next]
			go func() {
				conn, err := p.Open(ctx, address)
				replies <- reply{result{conn, err}, p.Name}
			}()
			next++
			pending++
		}
	}
	ask()
	timer := time.NewTicker(askDelay)
	defer timer.Stop()
	var unhelpful []string
	err := mperror.Wrap(mperror.ErrNoUpstream, "no VM to ask")
	for pending > 0 {
		select {
		case r := <-replies:
			pending--
			if r.err != nil {
				unhelpful, err = append(unhelpful, r.peer), r.err
				ask()
				continue
			}
			for _, peer := range unhelpful {
				d.paths.RecordUnhelpful(time.Now(), peer)
			}
			late := pending
			go func() {
				for range late {
					if r := <-replies; r.err == nil {
						_ = r.conn.Close()
					}
				}
			}()
			d.cfg.Metrics.Add("relay.out", 1)
			return r.conn, nil
		case <-timer.C:
			ask()
		}
	}
	return nil, err
}

// DialFor connects to an upstream for another VM, over the own path only. The error wraps
// ErrNoUpstream if the upstream cannot be reached, and ErrFull if this VM does not try.
func (d *Dialer) DialFor(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case !d.isUpstream(address):
		return nil, mperror.Wrap(mperror.ErrFull, "%s is not an upstream", address)
	case !d.paths.CanRelay(time.Now(), address):
		return nil, mperror.Wrap(mperror.ErrFull, "no path to %s", address)
	case d.tunnels.Add(1) > maxTunnels:
		d.tunnels.Add(-1)
		return nil, mperror.Wrap(mperror.ErrFull, "%d tunnels", maxTunnels)
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := d.direct(ctx, "tcp", address)
	if err != nil {
		d.tunnels.Add(-1)
		return nil, mperror.Wrap(mperror.ErrNoUpstream, "%v", err)
	}
	d.cfg.Metrics.Add("relay.in", 1)
	return &countedTunnel{Conn: mpdial.WatchEnd(conn), tunnels: &d.tunnels}, nil
}

// countedTunnel is a connection that counts as a tunnel until it is closed.
type countedTunnel struct {
	net.Conn
	tunnels *atomic.Int64
	once    sync.Once
}

func (c *countedTunnel) Close() error {
	c.once.Do(func() { c.tunnels.Add(-1) })
	return c.Conn.Close()
}

// IsDown reports whether the process at address refuses connections, as this VM and those that
// it asks see it. It returns false if there is no answer.
func (d *Dialer) IsDown(ctx context.Context, address string) bool {
	own, cancel := context.WithTimeout(ctx, relayDelay)
	defer cancel()
	conn, err := d.cfg.Direct(own, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if !d.isUpstream(address) || !d.hasPeers() {
		return true
	}
	if conn, err = d.askOnce(ctx, address); err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// Run tries the own path to upstreams that are reached by way of other VMs, until ctx is done.
func (d *Dialer) Run(ctx context.Context) {
	mptime.Every(ctx, checkInterval, func(now time.Time) {
		for _, address := range d.paths.Probes(now, rand.Float64) {
			go d.probe(ctx, address)
		}
	})
}

func (d *Dialer) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, ownPathTimeout)
	defer cancel()
	if conn, err := d.direct(ctx, "tcp", address); err == nil {
		_ = conn.Close()
	}
}

func (d *Dialer) recordRelayed(address string) {
	if d.paths.RecordRelayed(time.Now(), address) {
		d.cfg.Metrics.Add("relay.lost", 1)
		_ = level.Warn(d.cfg.Logger).Log("msg", "path to upstream lost", "address", address, "cut", d.paths.IsCut(time.Now()))
	}
}

func (d *Dialer) recordHealed(address string) {
	_ = level.Info(d.cfg.Logger).Log("msg", "path to upstream regained", "address", address)
	d.mu.Lock()
	onHealed := d.onHealed
	d.mu.Unlock()
	if onHealed != nil {
		onHealed()
	}
}
