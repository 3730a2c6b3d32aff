package mpmemory

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mpseed"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

const testConnectionBytes = 10

var testStart = time.Unix(1000, 0)

// client is a connection of a test, which records how it was ended.
type client struct {
	*Connection
	name  string
	ended bool
}

func (c *client) End() { c.ended = true }

// open opens a connection and reserves its cost.
func open(t *testing.T, b *Budget, now time.Time, name, address string) *client {
	t.Helper()
	c := &client{name: name}
	var err error
	if c.Connection, err = b.Open(now, address, c); err != nil {
		t.Fatalf("open %s: %v", name, err)
	}
	grow(t, c, now, testConnectionBytes, "granted")
	return c
}

// grow reserves n bytes for c, and checks the decision.
func grow(t *testing.T, c *client, now time.Time, n int64, want string) *Wait {
	t.Helper()
	w, err := c.Grow(now, n)
	if diff := cmp.Diff(want, decision(w, err)); diff != "" {
		t.Errorf("%s asks for %d bytes (-want +got):\n%s", c.name, n, diff)
	}
	return w
}

// arrive lets the first n bytes of a request arrive on a new connection.
func arrive(t *testing.T, b *Budget, now time.Time, name, address string, n int64) *client {
	t.Helper()
	c := open(t, b, now, name, address)
	if w, err := c.Begin(now, n); decision(w, err) != "granted" {
		t.Fatalf("%s gets no room for %d bytes: %v", name, n, err)
	}
	return c
}

func decision(w *Wait, err error) string {
	switch {
	case errors.Is(err, ErrFull):
		return "full"
	case errors.Is(err, ErrEnded):
		return "ended"
	case w == nil:
		return "granted"
	}
	select {
	case <-w.Ready():
		return decision(nil, w.Err())
	default:
		return "waits"
	}
}

func checkEnded(t *testing.T, clients []*client, want ...string) {
	t.Helper()
	var got []string
	for _, c := range clients {
		if c.ended {
			got = append(got, c.name)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ended connections (-want +got):\n%s", diff)
	}
}

func checkUsed(t *testing.T, b *Budget, want int64) {
	t.Helper()
	if got := b.Stats().Used; got != want {
		t.Errorf("%d bytes are held, want %d", got, want)
	}
}

// arrival describes a connection with a request of which a part has arrived.
type arrival struct {
	address string
	held    int64
	// started and quiet tell how long ago the request began and last made progress.
	started, quiet time.Duration
	received       int64
	isIdle         bool
	isRunning      bool
}

// Guards against ending the wrong connection for a newcomer: one that runs, one that makes progress,
// or one of another client than the one that holds too much.
func TestWhoIsEnded(t *testing.T) {
	for name, c := range map[string]struct {
		others   []arrival
		address  string
		n        int64
		decision string
		ended    []string
	}{
		"nobody, since there is room": {
			others: []arrival{{address: "a", held: 100, started: time.Minute, quiet: time.Minute}}, address: "b", n: 50, decision: "granted",
		},
		"the one that stalls, although another holds more": {
			others: []arrival{
				{address: "a", held: 400, started: 2 * time.Second, quiet: time.Millisecond, received: 4 << 20},
				{address: "c", held: 300, started: 2 * time.Second, quiet: 2 * time.Second, received: 3 << 20},
			},
			address: "b", n: 400, decision: "waits", ended: []string{"1"},
		},
		"the one that is late, although it makes progress": {
			others: []arrival{
				{address: "a", held: 300, started: 20 * time.Second, quiet: time.Millisecond, received: 300},
				{address: "c", held: 400, started: time.Second, quiet: time.Millisecond, received: 4 << 20},
			},
			address: "b", n: 400, decision: "waits", ended: []string{"0"},
		},
		"two, if one does not hold enough": {
			others: []arrival{
				{address: "a", held: 300, started: time.Minute, quiet: time.Minute},
				{address: "c", held: 400, started: time.Minute, quiet: 3 * time.Second},
				{address: "d", held: 250, started: time.Second, received: 1 << 20},
			},
			address: "b", n: 480, decision: "waits", ended: []string{"0", "1"},
		},
		"an idle one, if it has been idle for long": {
			others: []arrival{
				{address: "a", held: 400, started: time.Second, quiet: 0, received: 1 << 20},
				{address: "c", held: 450, started: time.Minute, quiet: 10 * time.Second, isIdle: true},
			},
			address: "b", n: 400, decision: "waits", ended: []string{"1"},
		},
		"nobody, since all run": {
			others: []arrival{
				{address: "a", held: 400, isRunning: true, quiet: time.Minute}, {address: "c", held: 400, isRunning: true, quiet: time.Minute},
			},
			address: "b", n: 400, decision: "full",
		},
		"nobody, since those that do not run hold too little": {
			others: []arrival{
				{address: "a", held: 450, isRunning: true, quiet: time.Minute}, {address: "c", held: 350, isRunning: true, quiet: time.Minute},
				{address: "d", held: 50, quiet: time.Minute, started: time.Minute},
			},
			address: "b", n: 400, decision: "full",
		},
		"the client's own, if it holds too much": {
			others: []arrival{
				{address: "b", held: 400, started: time.Second, quiet: time.Second, received: 1 << 20},
				{address: "c", held: 100, started: time.Minute, quiet: time.Minute},
			},
			address: "b", n: 150, decision: "waits", ended: []string{"0"},
		},
		"only the client's own, although there is no room either way": {
			others: []arrival{
				{address: "b", held: 400, started: time.Second, quiet: time.Second, received: 1 << 20},
				{address: "c", held: 490, started: time.Minute, quiet: time.Minute},
			},
			address: "b", n: 150, decision: "waits", ended: []string{"0"},
		},
		"nobody, since the client's others run": {
			others: []arrival{
				{address: "b", held: 400, isRunning: true}, {address: "c", held: 100, started: time.Minute, quiet: time.Minute},
			},
			address: "b", n: 150, decision: "full",
		},
		"nobody, since more than the client may hold": {address: "b", n: 600, decision: "full"},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(Config{Bytes: 1000, ConnectionBytes: testConnectionBytes})
			now := testStart.Add(time.Hour)
			var clients []*client
			for i, a := range c.others {
				o := open(t, b, now.Add(-a.started), fmt.Sprint(i), a.address)
				if !a.isIdle {
					if w, err := o.Begin(now.Add(-a.started), 0); w != nil || err != nil {
						t.Fatal(w, err)
					}
				}
				grow(t, o, now, a.held-testConnectionBytes, "granted")
				o.Progress(now.Add(-a.quiet), a.received)
				if a.isRunning {
					if err := o.Run(); err != nil {
						t.Fatal(err)
					}
				}
				clients = append(clients, o)
			}
			newcomer := open(t, b, now, "newcomer", c.address)
			w := grow(t, newcomer, now, c.n, c.decision)
			checkEnded(t, append(clients, newcomer), c.ended...)
			if c.decision != "waits" {
				return
			}
			for _, o := range clients {
				if o.ended {
					o.Close()
				}
			}
			if got := decision(w, nil); got != "granted" {
				t.Errorf("after the ended ones released, the newcomer is %s", got)
			}
		})
	}
}

// Guards against a newcomer that ends others although it is the worst of all.
func TestSlowestIsRefusedItself(t *testing.T) {
	b := New(Config{Bytes: 1000, ConnectionBytes: testConnectionBytes})
	fast, slow := arrive(t, b, testStart, "fast", "a", 480), arrive(t, b, testStart, "slow", "b", 300)
	now := testStart.Add(time.Minute)
	fast.Progress(now, 16<<20)
	slow.Progress(testStart, 300)
	grow(t, slow, now, 210, "full")
	checkEnded(t, []*client{fast, slow})
}

// Guards against a request that runs although it was ended, and so promised not to run, and against
// one that is ended although it runs.
func TestEndedRequestDoesNotRun(t *testing.T) {
	b := New(Config{Bytes: 1000, ConnectionBytes: testConnectionBytes})
	stalled, running := arrive(t, b, testStart, "stalled", "a", 400), arrive(t, b, testStart, "running", "c", 400)
	if err := running.Run(); err != nil {
		t.Fatal(err)
	}
	now := testStart.Add(time.Minute)
	w := grow(t, open(t, b, now, "newcomer", "b"), now, 300, "waits")
	checkEnded(t, []*client{stalled, running}, "stalled")
	if err := stalled.Run(); !errors.Is(err, ErrEnded) {
		t.Errorf("the ended request may run: %v", err)
	}
	grow(t, stalled, now, 1, "ended")
	stalled.Release(400)
	if got := decision(w, nil); got != "granted" {
		t.Errorf("the newcomer is %s after the release", got)
	}
}

// Guards against a newcomer that waits for ever for a connection that does not release, and against
// room that a wait that was given up keeps.
func TestWaitIsGivenUp(t *testing.T) {
	b := New(Config{Bytes: 1000, ConnectionBytes: testConnectionBytes})
	stalled, big := arrive(t, b, testStart, "stalled", "a", 450), arrive(t, b, testStart, "big", "c", 450)
	now := testStart.Add(time.Second)
	big.Progress(now, 1<<20)
	newcomer := open(t, b, now, "newcomer", "b")
	w := grow(t, newcomer, now, 400, "waits")
	start := time.Now()
	if err := w.Await(t.Context(), 10*time.Millisecond); !errors.Is(err, ErrFull) {
		t.Errorf("wait ended with %v, want ErrFull", err)
	}
	if took := time.Since(start); took < 10*time.Millisecond {
		t.Errorf("wait was given up after %v", took)
	}
	stalled.Close()
	checkUsed(t, b, 470)
	grow(t, newcomer, now, 400, "granted")
}

// Guards against a buffered response that waits behind requests that arrive: those that run hold what
// the others wait for.
func TestRunningRequestsGoFirst(t *testing.T) {
	b := New(Config{Bytes: 1000, ConnectionBytes: testConnectionBytes})
	stalled, late := arrive(t, b, testStart, "stalled", "a", 450), arrive(t, b, testStart, "late", "c", 450)
	now := testStart.Add(time.Second)
	late.Progress(now, 1<<20)
	newcomer := grow(t, open(t, b, now, "newcomer", "b"), now, 300, "waits")
	response, err := b.Draw(now, 0, 400)
	if got := decision(response, err); got != "waits" {
		t.Fatalf("the response is %s", got)
	}
	checkEnded(t, []*client{stalled, late}, "stalled")
	stalled.Close()
	if got := [2]string{decision(response, nil), decision(newcomer, nil)}; got != [2]string{"granted", "waits"} {
		t.Errorf("response and newcomer are %v", got)
	}
	b.Return(400)
	if got := decision(newcomer, nil); got != "granted" {
		t.Errorf("the newcomer is %s after the response was sent", got)
	}
	if _, err := b.Draw(now, 900, 101); !errors.Is(err, ErrFull) {
		t.Errorf("a response that can never fit: %v, want ErrFull", err)
	}
}

// Guards against an account that holds more than its share over many addresses.
func TestAccountOverManyAddresses(t *testing.T) {
	b := New(Config{Bytes: 1000, ConnectionBytes: testConnectionBytes})
	first, second := arrive(t, b, testStart, "first", "a", 0), arrive(t, b, testStart, "second", "c", 0)
	for _, c := range []*client{first, second} {
		c.SetAccount("t")
	}
	grow(t, first, testStart, 400, "granted")
	now := testStart.Add(time.Second)
	w := grow(t, second, now, 150, "waits")
	checkEnded(t, []*client{first, second}, "first")
	first.Close()
	if got := decision(w, nil); got != "granted" {
		t.Errorf("the account's newcomer is %s", got)
	}
	second.Finish(now)
	checkUsed(t, b, testConnectionBytes)
}

// Guards against connections without end, and against closing one that is in use while another is idle.
func TestConnectionLimit(t *testing.T) {
	b := New(Config{Bytes: 1 << 20, Connections: 4, ConnectionBytes: testConnectionBytes})
	busy := open(t, b, testStart, "busy", "a")
	if err := busy.Run(); err != nil {
		t.Fatal(err)
	}
	idleFor2 := open(t, b, testStart, "idle for 2 s", "a")
	idleFor1 := open(t, b, testStart.Add(time.Second), "idle for 1 s", "b")
	now := testStart.Add(2 * time.Second)
	own := open(t, b, now, "own", "a")
	checkEnded(t, []*client{busy, idleFor2, idleFor1}, "idle for 2 s")
	idleFor2.Close()
	for _, c := range []*client{own, idleFor1} {
		if err := c.Run(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.Open(now, "a", &client{}); !errors.Is(err, ErrFull) {
		t.Errorf("a third connection of a client whose others run: %v, want ErrFull", err)
	}
	arrives := open(t, b, now, "arrives", "b")
	if _, err := arrives.Begin(now, 0); err != nil {
		t.Fatal(err)
	}
	other := open(t, b, now, "other", "c")
	checkEnded(t, []*client{busy, own, idleFor1, arrives, other}, "arrives")
	for _, c := range []*client{busy, own, idleFor1, arrives, other} {
		c.Close()
	}
	if diff := cmp.Diff(Stats{Limit: 1 << 20, Connections: 4}, b.Stats()); diff != "" {
		t.Errorf("use after all connections closed (-want +got):\n%s", diff)
	}
}

// Guards against a client that gets around its share with many addresses of one network, or that is
// taken for another one by its port.
func TestAddressOf(t *testing.T) {
	for text, want := range map[string]string{
		"10.0.0.1:80": "10.0.0.1", "10.0.0.1:81": "10.0.0.1", "[::ffff:10.0.0.1]:80": "10.0.0.1",
		"[2001:db8:0:1:2::3]:80": "2001:db8:0:1::/64", "[2001:db8:0:1:9::9]:81": "2001:db8:0:1::/64",
	} {
		addr, err := net.ResolveTCPAddr("tcp", text)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, AddressOf(addr)); diff != "" {
			t.Errorf("address of %s (-want +got):\n%s", text, diff)
		}
	}
}

func TestForProcess(t *testing.T) {
	for name, c := range map[string]struct {
		memory int64
		fds    int
		want   Config
	}{
		"both known":   {144 << 20, 3075, Config{Bytes: 36 << 20, Connections: 1437}},
		"none known":   {0, 0, Config{Bytes: unknownProcessBytes}},
		"hardly any":   {4 << 20, 100, Config{Bytes: 1 << 20, Connections: 1}},
		"a large VM":   {424 << 20, 10250, Config{Bytes: 106 << 20, Connections: 5025}},
		"lowered ones": {96 << 20, 1024, Config{Bytes: 24 << 20, Connections: 412}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, ForProcess(c.memory, c.fds), cmp.FilterPath(func(p cmp.Path) bool { return p.String() == "OnEvent" }, cmp.Ignore())); diff != "" {
				t.Errorf("configuration (-want +got):\n%s", diff)
			}
		})
	}
}
