package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	drainTime = 3 * time.Second
	// furtherTime is how long a server goes on after drainTime.
	furtherTime = 4 * time.Second
	// workTime is how long a server works on a request.
	workTime  = 200 * time.Millisecond
	postRoute = `{"version":1,"routes":[{"name":"post","host":"lab.example","pathPrefix":"/post/","kind":"non_idempotent","timeoutMs":1500,"sloMs":400,"priority":2,"service":"ladder","attempts":1,"stages":[],"public":false,"sticky":false,"resumable":false}],` +
		`"services":[{"name":"ladder","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	// tornEntry is an entry whose writer was interrupted.
	tornEntry = `{"id":"i-7f3a91c2","service":"lad`
)

// slowAnswer is the answer of a sound server that works on the request for a while.
func slowAnswer(s *server, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(workTime)
	answer(s, w, r)
}

// playTorn drains a server while the list has an entry that cannot be read.
func playTorn(l *lab) (string, error) {
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := l.addServer(100+i, "ladder", zone, slowAnswer); err != nil {
			return "", err
		}
	}
	if err := l.addMachines(3, 3); err != nil {
		return "", err
	}
	if err := l.orderUntilAcknowledged(l.cores(), http.MethodPut, "/api/config", postRoute, 20*time.Second); err != nil {
		return "", err
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	stop := l.traffic(30, func(m *machine) reply {
		return l.send(m, http.MethodPost, "lab.example", "/post/1", "result", nil, 1500*time.Millisecond)
	})
	time.Sleep(3 * time.Second)
	entry := ""
	if l.hasTrouble {
		entry = tornEntry
	}
	l.setList("draining", entry)
	shownAt := time.Now()
	time.Sleep(drainTime + furtherTime)
	leaving := l.servers[0]
	l.note("server %s ends", leaving.row.ID)
	leaving.close()
	endedAt := time.Now()
	time.Sleep(time.Second)
	late := 0
	for _, a := range leaving.arrivals() {
		if a.at.After(shownAt.Add(drainTime)) {
			late++
		}
	}
	lost := 0
	for _, r := range stop() {
		if r.sentAt.After(endedAt.Add(-time.Second)) && (r.err != nil || r.status == http.StatusBadGateway) {
			lost++
		}
	}
	l.note("%d requests reached the server later than %v after the list showed it as draining; %d requests were lost as it ended", late, drainTime, lost)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a server later than %v after the list showed it as draining; %d were lost as it ended", late, drainTime, lost), nil
	}
	return "", nil
}
