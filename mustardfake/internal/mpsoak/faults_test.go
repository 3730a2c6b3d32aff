package mpsoak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

// injectFault injects a random fault, or two at once, and undoes it.
func (d *deployment) injectFault() {
	kinds := []struct {
		name string
		run  func() (undo func())
	}{
		{"kill", d.kill},
		{"freeze", d.suspend},
		{"leave", d.leave},
		{"lose disk", d.loseDisk},
		{"cut", d.isolate},
		{"crash upstream", d.crashUpstream},
		{"data centre out", d.takeDCOut},
		{"poison", d.sendPoison},
		{"race", d.raceChanges},
		{"order", d.sendOrders},
		{"lose data centre", d.loseDC},
	}
	first := kinds[d.rand.IntN(len(kinds))]
	d.faults[first.name]++
	undo := first.run()
	if d.rand.IntN(3) == 0 {
		second := kinds[d.rand.IntN(2)]
		d.faults[first.name+" and "+second.name]++
		undoSecond := second.run()
		d.sleepRandom(1000, 3000)
		undoSecond()
	}
	d.sleepRandom(500, 2500)
	undo()
	d.sleepRandom(500, 1500)
}

// sleepRandom sleeps for a random time between least and most ms.
func (d *deployment) sleepRandom(least, most int) {
	time.Sleep(time.Duration(least+d.rand.IntN(most-least)) * time.Millisecond)
}

// pickVM returns a random VM that a fault may hit. At most a minority of the voters
// is down or suspended at any time.
func (d *deployment) pickVM() *process {
	votersDown := 0
	for _, p := range d.vms {
		if p.voter && (!p.shouldRun || p.suspended) {
			votersDown++
		}
	}
	for {
		p := d.vms[d.rand.IntN(len(d.vms))]
		if !p.shouldRun || p.suspended || p.voter && votersDown >= (d.voters()-1)/2 {
			continue
		}
		return p
	}
}

func noUndo() {}

func (d *deployment) kill() func() {
	p := d.pickVM()
	d.stop(p, syscall.SIGKILL)
	return func() { d.start(p) }
}

// loseDC kills all VMs and crashes all upstreams of a data centre at once.
func (d *deployment) loseDC() func() {
	dc := d.layout.DCs[d.rand.IntN(len(d.layout.DCs))]
	var lost []*process
	for i, p := range d.vms {
		if d.layout.VMs[i].DC != dc {
			continue
		}
		if !p.shouldRun || p.suspended {
			return noUndo
		}
		lost = append(lost, p)
	}
	if d.votersUp() != d.voters() {
		return noUndo
	}
	d.dcsLost++
	for _, p := range lost {
		d.stop(p, syscall.SIGKILL)
	}
	for _, u := range d.layout.Upstreams {
		if u.DC == dc {
			d.postCrash(u.Name)
		}
	}
	return func() {
		for _, p := range lost {
			d.start(p)
		}
	}
}

func (d *deployment) suspend() func() {
	p := d.pickVM()
	p.suspended = true
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	return func() { d.resume(p) }
}

func (d *deployment) resume(p *process) {
	if p.suspended {
		p.suspended = false
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

func (d *deployment) leave() func() {
	p := d.pickVM()
	d.stop(p, syscall.SIGTERM)
	return func() { d.start(p) }
}

// loseDisk kills a voter, deletes its data directory and restarts it, if all voters are
// up. The returned function waits until it votes again, as a new member.
func (d *deployment) loseDisk() func() {
	if d.votersUp() != d.voters() {
		return noUndo
	}
	p := d.vms[d.rand.IntN(len(d.vms))]
	for !p.voter || !p.shouldRun || p.suspended {
		p = d.vms[d.rand.IntN(len(d.vms))]
	}
	d.stop(p, syscall.SIGKILL)
	if err := os.RemoveAll(p.dataDir); err != nil {
		d.addBreach("remove data directory: %v", err)
	}
	d.start(p)
	return func() {
		d.waitFor(settleTimeout, p.vm+" votes again after losing its disk", func() bool { return d.votersUp() == d.voters() })
	}
}

// isolate partitions a VM from all others, in one direction or both.
func (d *deployment) isolate() func() {
	p := d.pickVM()
	direction := d.rand.IntN(3)
	for _, other := range d.vms {
		if other == p {
			continue
		}
		if direction != 0 {
			d.network.Block(p.ip, other.ip)
		}
		if direction != 1 {
			d.network.Block(other.ip, p.ip)
		}
	}
	d.sleepRandom(1000, 4000)
	return d.network.Heal
}

// severConnections silences open connections between VMs for good, some or all of them each time,
// while other faults and changes go on. It returns the number of connections.
func (d *deployment) severConnections(r *rand.Rand, stop <-chan struct{}) int {
	severed := 0
	for {
		select {
		case <-stop:
			return severed
		case <-time.After(time.Duration(2000+r.IntN(4000)) * time.Millisecond):
		}
		share := 0.3 + 0.8*r.Float64()
		severed += d.network.Silence(func(string, string) bool { return r.Float64() < share })
	}
}

func (d *deployment) crashUpstream() func() {
	d.postCrash(d.layout.Upstreams[d.rand.IntN(len(d.layout.Upstreams))].Name)
	return noUndo
}

func (d *deployment) postCrash(upstream string) {
	resp, err := d.http.Post("http://"+d.layout.ControlAddress+"/crash/"+upstream, "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// takeDCOut takes a data centre out and checks that its upstreams receive no
// attempt later than leaseBound after the change.
func (d *deployment) takeDCOut() func() {
	dc := d.layout.DCs[d.rand.IntN(len(d.layout.DCs))]
	id := fmt.Sprintf("out-%d", d.rand.Uint64())
	mark := mpview.Mark{Target: mpview.TargetDC, Name: dc, Out: true}
	_, code := d.proposeChange(mpoperator.ChangeRequest{ID: id, Mark: &mark})
	if code != http.StatusOK {
		return noUndo
	}
	d.dcsTakenOut++
	bound := time.Now().Add(leaseBound).UnixMilli()
	time.Sleep(leaseBound)
	return func() {
		if r, ok := d.fetchLedger(); ok {
			for _, u := range d.layout.Upstreams {
				if u.DC == dc && r.LastAttemptMS[u.Name] > bound {
					d.addBreach("upstream %s in %s received an attempt %d ms after the bound", u.Name, dc, r.LastAttemptMS[u.Name]-bound)
				}
			}
		}
		d.waitFor(settleTimeout, dc+" is in service again", func() bool {
			mark.Out = false
			_, code := d.proposeChange(mpoperator.ChangeRequest{ID: fmt.Sprintf("in-%d", d.rand.Uint64()), Mark: &mark})
			return code == http.StatusOK
		})
	}
}

// sendPoison sends a request that crashes each upstream that runs it, repeatedly
// and through random VMs. It checks that no more than mpview.StrikeLimit upstreams
// ran it.
func (d *deployment) sendPoison() func() {
	d.poisons++
	tag := fmt.Sprintf("#%016x", d.rand.Uint64())
	body := []byte(fmt.Sprintf(`{"input":"crash-the-engine %s","max":4}`, tag))
	answers := []string{}
	for range 6 {
		p := d.layout.VMs[d.rand.IntN(len(d.layout.VMs))]
		req, err := http.NewRequest(http.MethodPost, "http://"+p.CallerAddress+"/v1/entries/rules", bytes.NewReader(body))
		if err != nil {
			d.addBreach("create poison request: %v", err)
			return noUndo
		}
		req.Header.Set("Authorization", "Bearer "+d.layout.Profile.Accounts[0].Key)
		resp, err := d.http.Do(req)
		if err != nil {
			continue
		}
		answers = append(answers, fmt.Sprint(resp.StatusCode))
		_ = resp.Body.Close()
	}
	if r, ok := d.fetchLedger(); ok {
		ran := 0
		for _, kind := range []string{"encode", "retrieve", "rerank", "generate"} {
			ran += r.Runs[kind+"/"+tag]
		}
		if ran > mpview.StrikeLimit {
			d.addBreach("poison request %s crashed %d upstreams, answer statuses %v", tag, ran, answers)
		}
	}
	return noUndo
}

// raceChanges sends two concurrent changes of one row with the same base revision.
// At most one may be accepted.
func (d *deployment) raceChanges() func() {
	s, ok := d.status()
	if !ok {
		return noUndo
	}
	base := s.Revision
	codes := make(chan int, 2)
	ids := []string{fmt.Sprintf("race-%d", d.rand.Uint64()), fmt.Sprintf("race-%d", d.rand.Uint64())}
	at := []int{d.rand.IntN(len(d.vms)), d.rand.IntN(len(d.vms))}
	for i, id := range ids {
		put := mpcatalogue.Document{Classes: []mpcatalogue.Class{{Name: "raced", Deadline: 1000 + i + int(base)}}}
		c := mpoperator.ChangeRequest{ID: id, BaseRevision: base, Edit: &mpcatalogue.Edit{Put: put}}
		go func() {
			var out mpoperator.ChangeResponse
			code, err := d.callOperator(at[i], http.MethodPost, "/v1/changes", c, &out)
			if err == nil && code == http.StatusOK {
				d.mu.Lock()
				d.changes[id] = out.Revision
				d.mu.Unlock()
			}
			codes <- code
		}()
	}
	if <-codes+<-codes == 2*http.StatusOK {
		d.addBreach("two concurrent changes of a row with base revision %d were both accepted", base)
	}
	return noUndo
}

// sendOrders sends a few orders to two upstreams, one of which ignores fencing
// numbers. checkOrders later checks in the ledger that they took effect in order.
func (d *deployment) sendOrders() func() {
	for range 4 {
		name := []string{"engine-east-1", "encoder-east-1"}[d.rand.IntN(2)]
		o := mpstate.Order{ID: fmt.Sprintf("order-%d", d.rand.Uint64()), Upstream: name, Action: mpstate.ActionLoad, Name: "m"}
		var out mpoperator.OrderResponse
		i := d.rand.IntN(len(d.vms))
		if d.vms[i].shouldRun && !d.vms[i].suspended {
			_, _ = d.callOperator(i, http.MethodPost, "/v1/orders", o, &out)
		}
		d.sleepRandom(100, 800)
	}
	return noUndo
}

func (d *deployment) checkOrders() {
	r, ok := d.fetchLedger()
	if !ok {
		d.addBreach("cannot read the ledger of the fake upstreams")
	}
	for name, list := range r.Orders {
		if !slices.IsSorted(list) {
			d.addBreach("orders took effect out of order at %s: fencing numbers %v", name, list)
		}
		d.orders += len(list)
	}
}
