package mpload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mustardpost.org/core/request/mppipeline"
	"mustardpost.org/mustardfake/internal/mpfake"
)

const (
	maxLatencyMS      = 120_000
	significantDigits = 3
	deadlineGrace     = 2 * time.Second
	resendInterval    = 400 * time.Millisecond
	ledgerTimeout     = 10 * time.Second
)

// Stats holds the results of one entry, of one account or of the whole run.
type Stats struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// InTime counts complete answers within the deadline, Late those after it.
	InTime   int            `json:"intime"`
	Late     int            `json:"late"`
	Outcomes map[string]int `json:"outcomes"`
	// Refused counts requests that ended without an answer, by the last cause.
	Refused        map[string]int          `json:"refused"`
	Latency        *hdrhistogram.Histogram `json:"-"`
	FirstPiece     *hdrhistogram.Histogram `json:"-"`
	PieceGap       *hdrhistogram.Histogram `json:"-"`
	RefusalLatency *hdrhistogram.Histogram `json:"-"`
}

func newStats(name string) *Stats {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMS, significantDigits) }
	return &Stats{
		Name: name, Outcomes: map[string]int{}, Refused: map[string]int{},
		Latency: h(), FirstPiece: h(), PieceGap: h(), RefusalLatency: h(),
	}
}

// Attainment returns the fraction of requests answered completely within the
// deadline.
func (l *Stats) Attainment() float64 {
	if l.Sent == 0 {
		return 0
	}
	return float64(l.InTime) / float64(l.Sent)
}

// Summary holds the results of a run.
type Summary struct {
	Seed     uint64
	Total    *Stats
	Entries  map[string]*Stats
	Accounts map[string]*Stats
	// Seconds counts the requests sent and answered in time, by the second in
	// which they were sent.
	Seconds []SecondStats
	// Checked counts how often each invariant was checked.
	Checked map[string]int
	// Breaches describes each breach of an invariant.
	Breaches     []string
	ColdOverruns int
}

// SecondStats counts the requests sent in one second of a run.
type SecondStats struct{ Sent, InTime int }

type result struct {
	job         job
	start       time.Time
	last        answer
	outcomes    []mppipeline.Kind
	latency     time.Duration
	lastLatency time.Duration
}

// Run sends the load until p.Duration has passed or ctx is done, waits for the
// requests in flight and returns the results.
func Run(ctx context.Context, p Profile) Summary {
	r := rand.New(rand.NewPCG(p.Seed, 1))
	c := newClient(p.Addresses)
	results := make(chan result, 1024)
	collected := make(chan Summary, 1)
	begin := time.Now()
	go func() { collected <- collect(p, begin, results) }()
	var wait sync.WaitGroup
	next := begin
	for time.Since(begin) < p.Duration && ctx.Err() == nil {
		next = next.Add(time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		j := randomJob(r, p)
		wait.Go(func() { results <- c.sendUntilDone(p, j) })
	}
	wait.Wait()
	close(results)
	return <-collected
}

func randomJob(r *rand.Rand, p Profile) job {
	tag := fmt.Sprintf("#%016x", r.Uint64())
	entry := pickWeighted(r, p.Entries, func(e Entry) float64 { return e.Share })
	account := pickWeighted(r, p.Accounts, func(a Account) float64 { return a.Share })
	return job{entry, account, tag, fmt.Sprintf("%d-%s", time.Now().UnixMilli(), tag)}
}

func pickWeighted[T any](r *rand.Rand, list []T, share func(T) float64) T {
	total := 0.0
	for _, v := range list {
		total += share(v)
	}
	at := r.Float64() * total
	for _, v := range list {
		if at -= share(v); at <= 0 {
			return v
		}
	}
	return list[len(list)-1]
}

// sendUntilDone sends a request, and resends it if the outcome allows, until it is
// answered, its deadline has passed or the resends are used up.
func (c *client) sendUntilDone(p Profile, j job) result {
	d := result{job: j, start: time.Now()}
	deadline := d.start.Add(time.Duration(j.entry.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(deadlineGrace))
	defer cancel()
	for try := 0; ; try++ {
		sent := time.Now()
		d.last = c.send(ctx, c.address(ctx), j)
		d.outcomes = append(d.outcomes, d.last.outcome)
		d.latency = time.Since(d.start)
		d.lastLatency = time.Since(sent)
		wait := d.last.retryAfter
		if d.last.outcome == lost {
			c.expireAddresses()
			wait = resendInterval / 4
		}
		again := d.last.outcome == lost || d.last.outcome != mppipeline.Answered && wait > 0
		if !again || try >= p.MaxResends || time.Now().Add(wait).After(deadline) {
			return d
		}
		time.Sleep(wait)
	}
}

func collect(p Profile, begin time.Time, results <-chan result) Summary {
	s := Summary{
		Seed: p.Seed, Total: newStats("all"), Entries: map[string]*Stats{}, Accounts: map[string]*Stats{},
		Checked: map[string]int{}, Seconds: make([]SecondStats, int(p.Duration.Seconds())+1),
	}
	var all []result
	for d := range results {
		all = append(all, d)
		s.add(begin, d)
	}
	s.audit(p, all)
	return s
}

func (s *Summary) add(begin time.Time, d result) {
	for _, l := range []*Stats{s.Total, statsFor(s.Entries, d.job.entry.Name), statsFor(s.Accounts, d.job.account.Name)} {
		l.add(d)
	}
	at := min(int(d.start.Sub(begin).Seconds()), len(s.Seconds)-1)
	s.Seconds[at].Sent++
	if d.inTime() {
		s.Seconds[at].InTime++
	}
}

func statsFor(lines map[string]*Stats, name string) *Stats {
	l, ok := lines[name]
	if !ok {
		l = newStats(name)
		lines[name] = l
	}
	return l
}

func (d result) inTime() bool {
	return d.last.outcome == mppipeline.Answered && d.latency <= time.Duration(d.job.entry.DeadlineMS)*time.Millisecond
}

func (l *Stats) add(d result) {
	l.Sent++
	l.Outcomes[string(d.last.outcome)]++
	switch {
	case d.inTime():
		l.InTime++
	case d.last.outcome == mppipeline.Answered:
		l.Late++
	default:
		l.Refused[d.last.cause]++
		_ = l.RefusalLatency.RecordValue(max(d.lastLatency.Milliseconds(), 1))
	}
	if d.last.outcome == mppipeline.Answered {
		_ = l.Latency.RecordValue(max(d.latency.Milliseconds(), 1))
	}
	if d.last.pieceGap > 0 {
		_ = l.PieceGap.RecordValue(max(d.last.pieceGap.Milliseconds(), 1))
	}
	if d.last.firstPiece > 0 {
		_ = l.FirstPiece.RecordValue(max(d.last.firstPiece.Milliseconds(), 1))
	}
}

// audit checks the outcomes against the ledgers of the fake upstreams.
func (s *Summary) audit(p Profile, all []result) {
	runs := map[string]int{}
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	for _, address := range p.LedgerAddresses {
		var r mpfake.Report
		if err := getJSON(ctx, newClient(nil).http, "http://"+address+"/ledger", &r); err != nil {
			s.addBreach("ledger of %s: %v", address, err)
			continue
		}
		s.ColdOverruns += r.ColdOverruns
		for k, n := range r.Runs {
			runs[k] += n
		}
	}
	for _, d := range all {
		s.auditResult(d, runs)
	}
}

func (s *Summary) addBreach(format string, args ...any) {
	s.Breaches = append(s.Breaches, fmt.Sprintf(format, args...))
}

func (s *Summary) auditResult(d result, runs map[string]int) {
	ran := 0
	for _, kind := range []string{"encode", "retrieve", "rerank", "generate", "plain"} {
		ran += runs[kind+"/"+d.job.tag]
	}
	s.Checked["answer"]++
	if d.last.mismatch != "" {
		s.addBreach("%s %s: %s", d.job.entry.Name, d.job.tag, d.last.mismatch)
	}
	s.Checked["outcome"]++
	if d.last.outcome == lost && d.last.cause != "connection" && d.last.cause != "cut" {
		s.addBreach("%s %s: no outcome: %s", d.job.entry.Name, d.job.tag, d.last.text)
	}
	if allNotRun(d.outcomes) {
		s.Checked["notrun"]++
		if ran > 0 {
			s.addBreach("%s %s: refused as not run (%s), and ran %d times", d.job.entry.Name, d.job.tag, d.last.cause, ran)
		}
	}
	if d.job.entry.Once {
		s.Checked["once"]++
		if ran > 1 {
			s.addBreach("%s %s: ran %d times", d.job.entry.Name, d.job.tag, ran)
		}
		if d.last.outcome == mppipeline.Answered && ran != 1 {
			s.addBreach("%s %s: answered, and ran %d times", d.job.entry.Name, d.job.tag, ran)
		}
	}
}

func allNotRun(kinds []mppipeline.Kind) bool {
	for _, k := range kinds {
		if k != mppipeline.NotRun {
			return false
		}
	}
	return true
}
