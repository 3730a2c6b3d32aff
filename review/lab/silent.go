package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	silentConfig = `{"version":1,"routes":[{"name":"tale","host":"lab.example","pathPrefix":"/tale/","kind":"stream","timeoutMs":8000,"sloMs":2000,"priority":0,"service":"llm","attempts":2,"stages":[],"public":false,"sticky":true,"resumable":true,"gapTargetMs":200}],` +
		`"services":[{"name":"llm","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0,"engine":{"slots":64,"kvCapTokens":548610,"kvTokenBytes":327680,"linkMbps":550000.0,"moves":true,"backups":true,"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	streamEvents = 6
	// preemptedTime is how long a stream pauses. Callers of this route wait for 8 s (four times sloMs).
	preemptedTime = 2500 * time.Millisecond
	usualPause    = 30 * time.Millisecond
)

// playSilent sends streams right after a SIGHUP to machines that take them. With trouble, the server pauses
// for a while in the middle of each stream.
func playSilent(l *lab) (string, error) {
	for i, zone := range []string{"b", "a"} {
		if _, err := l.addServer(100+i, "llm", zone, streamWithPause); err != nil {
			return "", err
		}
	}
	l.pauses = true
	l.setList("draining", "") // The first one is being replaced.
	if err := l.addMachines(3, 3); err != nil {
		return "", err
	}
	if err := l.orderUntilAcknowledged(l.cores(), http.MethodPut, "/api/config", silentConfig, 20*time.Second); err != nil {
		return "", err
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(contactTime + time.Second)
	sent, cut := 0, 0
	for round := range 4 {
		for _, m := range l.fronts() {
			l.signal(m, syscall.SIGHUP)
			time.Sleep(200 * time.Millisecond)
			r := l.send(m, http.MethodPost, "lab.example", fmt.Sprintf("/tale/%d", round), "prompt", map[string]string{
				"X-Model": "m", "X-Token-Count": "600,80", "X-Prefix-Hash": "5c1e07a2:400," + newID()[:8] + ":200",
			}, 8*time.Second)
			sent++
			if events := strings.Count(r.body, "\ndata: "); r.err != nil || events != streamEvents {
				cut++
				l.note("the stream ended after %d of %d events: %v", events, streamEvents, r.err)
			}
		}
	}
	if cut > 0 {
		return fmt.Sprintf("LOST: %d of %d streams were cut though their server went on", cut, sent), nil
	}
	return "", nil
}

// streamWithPause answers with a stream of events, which pauses after the third one if there is trouble.
func streamWithPause(s *server, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", seal(s.row.ID, id))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		pause := usualPause
		if i == 3 && s.l.hasTrouble && s.l.pauses {
			pause = preemptedTime
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			s.l.note("server %s: the connection of %s was closed after %d events", s.row.ID, id, i)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, id, i+1)
		_ = http.NewResponseController(w).Flush()
	}
}
