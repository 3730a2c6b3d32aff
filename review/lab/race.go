package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	raceConfigFormat = `{"version":%d,"routes":[` +
		`{"name":"read","host":"lab.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":600,"sloMs":120,"priority":2,"service":"ladder","attempts":2,"stages":[],"public":false,"sticky":false,"resumable":false}%s` +
		`],"services":[{"name":"ladder","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	addedRouteFormat = `,{"name":"added","host":"lab.example","pathPrefix":"/added/","kind":"idempotent","timeoutMs":%d,"sloMs":120,"priority":2,"service":"ladder","attempts":2,"stages":[],"public":false,"sticky":false,"resumable":false}`

	// applyTime is the bound after which a version that was acknowledged must be in force.
	applyTime = 2 * time.Second
	// contactTime is the time after which machines are in touch.
	contactTime = 3 * time.Second
	// minAddedRequests and addedShare are those of the rule.
	minAddedRequests = 20
	addedShare       = 0.25
	maxRaces         = 20
	// concurrentReads is the number of reads beside the two changes; the pages allow eight orders at a time.
	concurrentReads = 4
)

// shares counts the requests on some routes and those that were served.
type shares struct{ sent, served int }

func (s *shares) add(replies []reply) {
	for _, r := range replies {
		s.sent++
		if r.status == http.StatusOK && r.err == nil {
			s.served++
		}
	}
}

func (s shares) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// playRace lets two operators send configurations of one version at the same time, to two machines. All of
// them add a route.
func playRace(l *lab) (string, error) {
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := l.addServer(100+i, "ladder", zone, answer); err != nil {
			return "", err
		}
	}
	if err := l.addMachines(3, 3); err != nil {
		return "", err
	}
	cores := l.cores()
	if err := l.orderUntilAcknowledged(cores, http.MethodPut, "/api/config", fmt.Sprintf(raceConfigFormat, 1, ""), 20*time.Second); err != nil {
		return "", err
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	get := func(path string) func(m *machine) reply {
		return func(m *machine) reply {
			return l.send(m, http.MethodGet, "lab.example", path, "", nil, 600*time.Millisecond)
		}
	}
	var first, added shares
	play := func(path string, perSecond int, d time.Duration, s *shares) {
		stop := l.traffic(perSecond, get(path))
		time.Sleep(d)
		s.add(stop())
	}
	play("/read/1", 20, 8*time.Second, &first)
	for race := range maxRaces {
		if err := l.race(cores, 10*(race+1), race); err != nil {
			return "", err
		}
		time.Sleep(applyTime + time.Second)
		var now shares
		play("/added/1", 10, 500*time.Millisecond, &now)
		added.sent, added.served = added.sent+now.sent, added.served+now.served
		if now.served > 0 {
			continue
		}
		// Nothing changes from here on.
		var wg sync.WaitGroup
		wg.Go(func() { play("/read/1", 15, 10*time.Second, &first) })
		wg.Go(func() { play("/added/1", 15, 10*time.Second, &added) })
		wg.Wait()
		break
	}
	status, text, err := l.order(cores[0], http.MethodGet, "/api/config", "")
	l.note("configuration read back: %d, %d bytes, err %v", status, len(text), err)
	l.note("first routes: %d sent, %d served; added routes: %d sent, %d served", first.sent, first.served, added.sent, added.served)
	if added.sent >= minAddedRequests && added.share() < addedShare*first.share() {
		return fmt.Sprintf("CONFIG: of %d requests on the added route, %d were served; of %d on the first route, %d", added.sent, added.served, first.sent, first.served), nil
	}
	return "", nil
}

// race sends a configuration that adds a route; with trouble, a second operator sends other content under the
// same version to another machine at the same time.
func (l *lab) race(cores []*machine, version, race int) error {
	operators := 1
	if l.hasTrouble {
		operators = 2
	}
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		body := fmt.Sprintf(raceConfigFormat, version, fmt.Sprintf(addedRouteFormat, 500+10*race+i))
		wg.Go(func() {
			errs[i] = l.orderUntilAcknowledged([]*machine{cores[i], cores[2]}, http.MethodPut, "/api/config", body, 4*time.Second)
		})
	}
	for i := range concurrentReads {
		wg.Go(func() { _, _, _ = l.order(cores[i%len(cores)], http.MethodGet, "/api/config", "") })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
