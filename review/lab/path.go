package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const rootConfig = `{"version":1,"routes":[{"name":"root","host":"lab.example","pathPrefix":"/","kind":"non_idempotent","timeoutMs":1500,"sloMs":400,"priority":2,"service":"ladder","attempts":1,"stages":[],"public":false,"sticky":false,"resumable":false}],` +
	`"services":[{"name":"ladder","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// playPath sends requests on a route that has all paths of its host. With trouble, their paths begin with two
// slashes.
func playPath(l *lab) (string, error) {
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := l.addServer(100+i, "ladder", zone, answer); err != nil {
			return "", err
		}
	}
	if err := l.addMachines(3, 3); err != nil {
		return "", err
	}
	if err := l.orderUntilAcknowledged(l.cores(), http.MethodPut, "/api/config", rootConfig, 20*time.Second); err != nil {
		return "", err
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	path := "/club/17/post"
	if l.hasTrouble {
		path = "//club/17/post"
	}
	stop := l.traffic(10, func(m *machine) reply {
		return l.sendRaw(m, http.MethodPost, "lab.example", path, "result", 1500*time.Millisecond)
	})
	time.Sleep(3 * time.Second)
	replies := stop()
	changed, example := 0, ""
	for _, s := range l.servers {
		for _, a := range s.arrivals() {
			if a.target != path {
				changed, example = changed+1, a.target
			}
		}
	}
	l.note("%d requests for %s were sent; %d were run with another target, such as %q", len(replies), path, changed, example)
	if changed > 0 {
		return fmt.Sprintf("UNASKED: of %d requests for %s, servers ran %d with the target %s", len(replies), path, changed, strings.TrimSpace(example)), nil
	}
	return "", nil
}
