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
	highestMS  = 120_000
	digits     = 3
	grace      = 2 * time.Second
	patience   = 400 * time.Millisecond
	ledgerTime = 10 * time.Second
)

// Stats is the result of one entry, or of all.
type Stats struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// InTime counts whole answers within the deadline, Late whole ones after it.
	InTime   int            `json:"intime"`
	Late     int            `json:"late"`
	Outcomes map[string]int `json:"outcomes"`
	// Refused counts final refusals by cause.
	Refused        map[string]int          `json:"refused"`
	Latency        *hdrhistogram.Histogram `json:"-"`
	FirstPiece     *hdrhistogram.Histogram `json:"-"`
	PieceGap       *hdrhistogram.Histogram `json:"-"`
	RefusalLatency *hdrhistogram.Histogram `json:"-"`
}

func newLine(name string) *Stats {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMS, digits) }
	return &Stats{
		Name: name, Outcomes: map[string]int{}, Refused: map[string]int{},
		Latency: h(), FirstPiece: h(), PieceGap: h(), RefusalLatency: h(),
	}
}

// Attainment is the part of the requests answered whole within the deadline.
func (l *Stats) Attainment() float64 {
	if l.Sent == 0 {
		return 0
	}
	return float64(l.InTime) / float64(l.Sent)
}

// Summary is the result of a run.
type Summary struct {
	Seed     uint64
	Total    *Stats
	Entries  map[string]*Stats
	Accounts map[string]*Stats
	// Seconds counts, for each second, the requests sent and answered in time.
	Seconds []SecondStats
	// Checked counts how often each invariant was checked.
	Checked map[string]int
	// Breaches lists what must not happen.
	Breaches     []string
	ColdOverruns int
}

// SecondStats is one second of a run.
type SecondStats struct{ Sent, InTime int }

type done struct {
	job     job
	start   time.Time
	last    answer
	kinds   []mppipeline.Kind
	took    time.Duration
	refusal time.Duration
}

// Run sends the load and returns what came of it. It sends until
// p.Duration or ctx ends, whichever is first.
func Run(ctx context.Context, p Profile) Summary {
	r := rand.New(rand.NewPCG(p.Seed, 1))
	c := newClient(p.Addresses)
	results := make(chan done, 1024)
	collected := make(chan Summary, 1)
	begin := time.Now()
	go func() { collected <- collect(p, begin, results) }()
	var wait sync.WaitGroup
	next := begin
	for time.Since(begin) < p.Duration && ctx.Err() == nil {
		next = next.Add(time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		j := draw(r, p)
		wait.Go(func() { results <- c.carry(p, j) })
	}
	wait.Wait()
	close(results)
	return <-collected
}

func draw(r *rand.Rand, p Profile) job {
	tag := fmt.Sprintf("#%016x", r.Uint64())
	entry := pick(r, p.Entries, func(e Entry) float64 { return e.Share })
	account := pick(r, p.Accounts, func(a Account) float64 { return a.Share })
	return job{entry, account, tag, fmt.Sprintf("%d-%s", time.Now().UnixMilli(), tag)}
}

func pick[T any](r *rand.Rand, list []T, share func(T) float64) T {
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

// carry sends a request, and again as its outcome allows, until it is answered,
// its deadline has passed or the resends are used up.
func (c *client) carry(p Profile, j job) done {
	d := done{job: j, start: time.Now()}
	deadline := d.start.Add(time.Duration(j.entry.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(grace))
	defer cancel()
	for try := 0; ; try++ {
		sent := time.Now()
		d.last = c.send(ctx, c.address(ctx), j)
		d.kinds = append(d.kinds, d.last.kind)
		d.took = time.Since(d.start)
		d.refusal = time.Since(sent)
		wait := d.last.retry
		if d.last.kind == lost {
			c.failed()
			wait = patience / 4
		}
		again := d.last.kind == lost || d.last.kind != mppipeline.Answered && wait > 0
		if !again || try >= p.MaxResends || time.Now().Add(wait).After(deadline) {
			return d
		}
		time.Sleep(wait)
	}
}

func collect(p Profile, begin time.Time, results <-chan done) Summary {
	s := Summary{
		Seed: p.Seed, Total: newLine("all"), Entries: map[string]*Stats{}, Accounts: map[string]*Stats{},
		Checked: map[string]int{}, Seconds: make([]SecondStats, int(p.Duration.Seconds())+1),
	}
	var all []done
	for d := range results {
		all = append(all, d)
		s.add(begin, d)
	}
	s.audit(p, all)
	return s
}

func (s *Summary) add(begin time.Time, d done) {
	for _, l := range []*Stats{s.Total, line(s.Entries, d.job.entry.Name), line(s.Accounts, d.job.account.Name)} {
		l.add(d)
	}
	at := min(int(d.start.Sub(begin).Seconds()), len(s.Seconds)-1)
	s.Seconds[at].Sent++
	if d.inTime() {
		s.Seconds[at].InTime++
	}
}

func line(lines map[string]*Stats, name string) *Stats {
	l, ok := lines[name]
	if !ok {
		l = newLine(name)
		lines[name] = l
	}
	return l
}

func (d done) inTime() bool {
	return d.last.kind == mppipeline.Answered && d.took <= time.Duration(d.job.entry.DeadlineMS)*time.Millisecond
}

func (l *Stats) add(d done) {
	l.Sent++
	l.Outcomes[string(d.last.kind)]++
	switch {
	case d.inTime():
		l.InTime++
	case d.last.kind == mppipeline.Answered:
		l.Late++
	default:
		l.Refused[d.last.cause]++
		_ = l.RefusalLatency.RecordValue(max(d.refusal.Milliseconds(), 1))
	}
	if d.last.kind == mppipeline.Answered {
		_ = l.Latency.RecordValue(max(d.took.Milliseconds(), 1))
	}
	if d.last.gap > 0 {
		_ = l.PieceGap.RecordValue(max(d.last.gap.Milliseconds(), 1))
	}
	if d.last.first > 0 {
		_ = l.FirstPiece.RecordValue(max(d.last.first.Milliseconds(), 1))
	}
}

// audit checks the outcomes against what the fakes ran.
func (s *Summary) audit(p Profile, all []done) {
	runs := map[string]int{}
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTime)
	defer cancel()
	for _, address := range p.LedgerAddresses {
		var r mpfake.Report
		if err := get(ctx, newClient(nil).http, "http://"+address+"/ledger", &r); err != nil {
			s.breach("ledger of %s: %v", address, err)
			continue
		}
		s.ColdOverruns += r.ColdOverruns
		for k, n := range r.Runs {
			runs[k] += n
		}
	}
	for _, d := range all {
		s.auditOne(d, runs)
	}
}

func (s *Summary) breach(format string, args ...any) {
	s.Breaches = append(s.Breaches, fmt.Sprintf(format, args...))
}

func (s *Summary) auditOne(d done, runs map[string]int) {
	ran := 0
	for _, kind := range []string{"encode", "retrieve", "rerank", "generate", "plain"} {
		ran += runs[kind+"/"+d.job.tag]
	}
	s.Checked["answer"]++
	if d.last.wrong != "" {
		s.breach("%s %s: %s", d.job.entry.Name, d.job.tag, d.last.wrong)
	}
	s.Checked["outcome"]++
	if d.last.kind == lost && d.last.cause != "connection" && d.last.cause != "cut" {
		s.breach("%s %s: no outcome: %s", d.job.entry.Name, d.job.tag, d.last.text)
	}
	if allNotRun(d.kinds) {
		s.Checked["notrun"]++
		if ran > 0 {
			s.breach("%s %s: refused as not run (%s), and ran %d times", d.job.entry.Name, d.job.tag, d.last.cause, ran)
		}
	}
	if d.job.entry.Once {
		s.Checked["once"]++
		if ran > 1 {
			s.breach("%s %s: ran %d times", d.job.entry.Name, d.job.tag, ran)
		}
		if d.last.kind == mppipeline.Answered && ran != 1 {
			s.breach("%s %s: answered, and ran %d times", d.job.entry.Name, d.job.tag, ran)
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
