package mpsoak

import (
	"bytes"
	"fmt"
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

// fault draws one fault, or two at once, carries it out and ends it.
func (w *world) fault() {
	kinds := []struct {
		name string
		run  func() (undo func())
	}{
		{"kill", w.kill},
		{"freeze", w.freeze},
		{"leave", w.leave},
		{"lose disk", w.loseDisk},
		{"cut", w.cutOff},
		{"crash upstream", w.crashUpstream},
		{"data centre out", w.takeOut},
		{"poison", w.poison},
		{"race", w.race},
		{"order", w.order},
		{"lose data centre", w.loseDC},
	}
	one := kinds[w.rand.IntN(len(kinds))]
	w.faults[one.name]++
	undo := one.run()
	if w.rand.IntN(3) == 0 {
		two := kinds[w.rand.IntN(2)]
		w.faults[one.name+" and "+two.name]++
		second := two.run()
		w.pause(1000, 3000)
		second()
	}
	w.pause(500, 2500)
	undo()
	w.pause(500, 1500)
}

// pause lets a random time pass, in ms.
func (w *world) pause(least, most int) {
	time.Sleep(time.Duration(least+w.rand.IntN(most-least)) * time.Millisecond)
}

// victim returns a VM that may be disturbed: a minority of the voters at most
// is down or frozen at a time.
func (w *world) victim() *process {
	disturbed := 0
	for _, p := range w.vms {
		if p.voter && (!p.wanted || p.frozen) {
			disturbed++
		}
	}
	for {
		p := w.vms[w.rand.IntN(len(w.vms))]
		if !p.wanted || p.frozen || p.voter && disturbed >= (w.voters()-1)/2 {
			continue
		}
		return p
	}
}

func nothing() {}

func (w *world) kill() func() {
	p := w.victim()
	w.end(p, syscall.SIGKILL)
	return func() { w.start(p) }
}

// loseDC loses a data centre without notice: its VMs and upstreams at once.
func (w *world) loseDC() func() {
	dc := w.layout.DCs[w.rand.IntN(len(w.layout.DCs))]
	var lost []*process
	for i, p := range w.vms {
		if w.layout.VMs[i].DC != dc {
			continue
		}
		if !p.wanted || p.frozen {
			return nothing
		}
		lost = append(lost, p)
	}
	if w.votersUp() != w.voters() {
		return nothing
	}
	w.losses++
	for _, p := range lost {
		w.end(p, syscall.SIGKILL)
	}
	for _, u := range w.layout.Upstreams {
		if u.DC == dc {
			w.crash(u.Name)
		}
	}
	return func() {
		for _, p := range lost {
			w.start(p)
		}
	}
}

func (w *world) freeze() func() {
	p := w.victim()
	p.frozen = true
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	return func() { w.thaw(p) }
}

func (w *world) thaw(p *process) {
	if p.frozen {
		p.frozen = false
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

func (w *world) leave() func() {
	p := w.victim()
	w.end(p, syscall.SIGTERM)
	return func() { w.start(p) }
}

// loseDisk deletes the data folder of a voter, when all others vote, and waits
// until its replacement does.
func (w *world) loseDisk() func() {
	if w.votersUp() != w.voters() {
		return nothing
	}
	p := w.vms[w.rand.IntN(len(w.vms))]
	for !p.voter || !p.wanted || p.frozen {
		p = w.vms[w.rand.IntN(len(w.vms))]
	}
	w.end(p, syscall.SIGKILL)
	if err := os.RemoveAll(p.data); err != nil {
		w.breach("remove data folder: %v", err)
	}
	w.start(p)
	return func() {
		w.await(settleIn, p.vm+" votes again after it lost its disk", func() bool { return w.votersUp() == w.voters() })
	}
}

// cutOff isolates a VM from all others, in one direction or both.
func (w *world) cutOff() func() {
	p := w.victim()
	way := w.rand.IntN(3)
	for _, other := range w.vms {
		if other == p {
			continue
		}
		if way != 0 {
			w.cuts.cut(p.ip, other.ip)
		}
		if way != 1 {
			w.cuts.cut(other.ip, p.ip)
		}
	}
	w.pause(1000, 4000)
	return w.cuts.heal
}

func (w *world) crashUpstream() func() {
	w.crash(w.layout.Upstreams[w.rand.IntN(len(w.layout.Upstreams))].Name)
	return nothing
}

func (w *world) crash(upstream string) {
	resp, err := w.http.Post("http://"+w.layout.Control+"/crash/"+upstream, "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// takeOut takes a data centre out and checks that its upstreams get no new
// attempt once the bound has passed.
func (w *world) takeOut() func() {
	dc := w.layout.DCs[w.rand.IntN(len(w.layout.DCs))]
	id := fmt.Sprintf("out-%d", w.rand.Uint64())
	mark := mpview.Mark{Target: mpview.TargetDC, Name: dc, Out: true}
	_, code := w.change(mpoperator.ChangeRequest{ID: id, Mark: &mark})
	if code != http.StatusOK {
		return nothing
	}
	w.outs++
	bound := time.Now().Add(leaseBound).UnixMilli()
	time.Sleep(leaseBound)
	return func() {
		if r, ok := w.ledger(); ok {
			for _, u := range w.layout.Upstreams {
				if u.DC == dc && r.Last[u.Name] > bound {
					w.breach("%s in %s got an attempt %d ms after the bound", u.Name, dc, r.Last[u.Name]-bound)
				}
			}
		}
		w.await(settleIn, dc+" is taken in again", func() bool {
			mark.Out = false
			_, code := w.change(mpoperator.ChangeRequest{ID: fmt.Sprintf("in-%d", w.rand.Uint64()), Mark: &mark})
			return code == http.StatusOK
		})
	}
}

// poison sends a request that crashes each upstream that runs it, again and
// again through different VMs, and counts the upstreams lost to it.
func (w *world) poison() func() {
	w.poisons++
	tag := fmt.Sprintf("#%016x", w.rand.Uint64())
	body := []byte(fmt.Sprintf(`{"input":"crash-the-engine %s","max":4}`, tag))
	answers := []string{}
	for range 6 {
		p := w.layout.VMs[w.rand.IntN(len(w.layout.VMs))]
		req, err := http.NewRequest(http.MethodPost, "http://"+p.CallerAddress+"/v1/entries/rules", bytes.NewReader(body))
		if err != nil {
			w.breach("poison: %v", err)
			return nothing
		}
		req.Header.Set("Authorization", "Bearer "+w.layout.Profile.Accounts[0].Key)
		resp, err := w.http.Do(req)
		if err != nil {
			continue
		}
		answers = append(answers, fmt.Sprint(resp.StatusCode))
		_ = resp.Body.Close()
	}
	if r, ok := w.ledger(); ok {
		ran := 0
		for _, kind := range []string{"encode", "retrieve", "rerank", "generate"} {
			ran += r.Runs[kind+"/"+tag]
		}
		if ran > mpview.StrikeLimit {
			w.breach("poison request %s crashed %d upstreams, answers %v", tag, ran, answers)
		}
	}
	return nothing
}

// race lets two operators change the same row from the same revision.
func (w *world) race() func() {
	s, ok := w.status()
	if !ok {
		return nothing
	}
	base := s.Revision
	codes := make(chan int, 2)
	ids := []string{fmt.Sprintf("race-%d", w.rand.Uint64()), fmt.Sprintf("race-%d", w.rand.Uint64())}
	at := []int{w.rand.IntN(len(w.vms)), w.rand.IntN(len(w.vms))}
	for i, id := range ids {
		put := mpcatalogue.Document{Classes: []mpcatalogue.Class{{Name: "raced", Deadline: 1000 + i + int(base)}}}
		c := mpoperator.ChangeRequest{ID: id, BaseRevision: base, Edit: &mpcatalogue.Edit{Put: put}}
		go func() {
			var out mpoperator.ChangeResponse
			code, err := w.ask(at[i], http.MethodPost, "/v1/changes", c, &out)
			if err == nil && code == http.StatusOK {
				w.mu.Lock()
				w.changes[id] = out.Revision
				w.mu.Unlock()
			}
			codes <- code
		}()
	}
	if <-codes+<-codes == 2*http.StatusOK {
		w.breach("two operators changed a row from revision %d", base)
	}
	return nothing
}

// order sends a few orders to two upstreams, one of which ignores fencing
// numbers; the ledger shows at the end in which order they took effect.
func (w *world) order() func() {
	for range 4 {
		name := []string{"engine-east-1", "encoder-east-1"}[w.rand.IntN(2)]
		o := mpstate.Order{ID: fmt.Sprintf("order-%d", w.rand.Uint64()), Upstream: name, Action: mpstate.Load, Name: "m"}
		var out mpoperator.OrderResponse
		i := w.rand.IntN(len(w.vms))
		if w.vms[i].wanted && !w.vms[i].frozen {
			_, _ = w.ask(i, http.MethodPost, "/v1/orders", o, &out)
		}
		w.pause(100, 800)
	}
	return nothing
}

func (w *world) checkOrders() {
	r, ok := w.ledger()
	if !ok {
		w.breach("no ledger")
	}
	for name, list := range r.Orders {
		if !slices.IsSorted(list) {
			w.breach("orders took effect at %s as %v", name, list)
		}
		w.orders += len(list)
	}
}
