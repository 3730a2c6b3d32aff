package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// The added route has a stage whose results the second one reads.
	chainRouteFormat = `,{"name":"added","host":"lab.example","pathPrefix":"/added/","kind":"idempotent","timeoutMs":3000,"sloMs":1500,"priority":2,"service":"ladder","attempts":2,` +
		`"stages":[{"service":"club","after":[],"bytes":%d},{"service":"club","after":[0],"bytes":8000}],"public":false,"sticky":false,"resumable":false}`
	chainPools = `,{"name":"club","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0,"pieces":{"slots":1,"queue":2,"batch":8,"callMs":150.0,"itemMs":16.0,"headroomMb":36.0,"handleS":4.0,"linkMbps":10000}}],"limits"`
	// The site's sheet has stages with results of 8,000 bytes and of 3,000,000.
	smallResult, largeResult = 8_000, 3_000_000
)

// playChain adds a route with two stages. With trouble, the results of the first one are large.
func playChain(l *lab) (string, error) {
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := l.addServer(100+i, "ladder", zone, answer); err != nil {
			return "", err
		}
		if _, err := l.addServer(120+i, "club", zone, makePieces); err != nil {
			return "", err
		}
	}
	if err := l.addMachines(3, 3); err != nil {
		return "", err
	}
	if err := l.orderUntilAcknowledged(l.cores(), http.MethodPut, "/api/config", chainConfig(1, 0), 20*time.Second); err != nil {
		return "", err
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	size := smallResult
	if l.hasTrouble {
		size = largeResult
	}
	if err := l.orderUntilAcknowledged(l.cores(), http.MethodPut, "/api/config", chainConfig(2, size), 4*time.Second); err != nil {
		return "", err
	}
	time.Sleep(applyTime + time.Second)
	var first, added shares
	play := func(path string, header map[string]string, timeout time.Duration, s *shares) {
		stop := l.traffic(4, func(m *machine) reply { return l.send(m, http.MethodGet, "lab.example", path, "", header, timeout) })
		time.Sleep(10 * time.Second)
		s.add(stop())
	}
	var wg sync.WaitGroup
	wg.Go(func() { play("/read/1", nil, 600*time.Millisecond, &first) })
	wg.Go(func() {
		play("/added/1", map[string]string{"X-Pieces": "1,1", "X-Piece-Key": "7c1e07a291bd"}, 3*time.Second, &added)
	})
	wg.Wait()
	l.note("first route: %d sent, %d served; added route: %d sent, %d served", first.sent, first.served, added.sent, added.served)
	if added.sent >= minAddedRequests && added.share() < addedShare*first.share() {
		return fmt.Sprintf("CONFIG: of %d requests on the added route, %d were served; of %d on the first route, %d", added.sent, added.served, first.sent, first.served), nil
	}
	return "", nil
}

// chainConfig returns a configuration of a version. If size is not 0, it has the added route, whose first
// stage has results of that size.
func chainConfig(version, size int) string {
	added := ""
	if size > 0 {
		added = fmt.Sprintf(chainRouteFormat, size)
	}
	return strings.Replace(fmt.Sprintf(raceConfigFormat, version, added), `],"limits"`, chainPools, 1)
}

// makePieces is the answer of a sound server of a service of stages.
func makePieces(s *server, w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []json.RawMessage `json:"items"`
	}
	if r.URL.Path != "/api/stage-run" {
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(150*time.Millisecond + time.Duration(len(call.Items))*16*time.Millisecond)
	var out []map[string]string
	for range call.Items {
		out = append(out, map[string]string{"handle": s.row.Addr + "/" + newID()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": out})
}
