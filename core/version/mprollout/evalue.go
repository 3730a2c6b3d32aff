package mprollout

import "math"

// table is a two-by-two table: of n1 answers of the target x1 are bad, of n0 answers of the old versions x0.
type table struct{ n1, x1, n0, x0 int }

func (t *table) add(o table) {
	t.n1 += o.n1
	t.x1 += o.x1
	t.n0 += o.n0
	t.x0 += o.x0
}

// exactTables bounds the bad answers of a table for which the exact distribution is summed up.
const exactTables = 60

// logE returns the logarithm of the e-value of the table against equal odds in both versions, for the
// alternative that the target's odds of a bad answer are odds times those of the old ones:
// odds^x1 / E[odds^X]. Given the margins, X has the hypergeometric distribution if the odds are
// equal, whatever they are. For many bad answers the expectation is replaced by
// that of the binomial distribution, which is greater (Hoeffding 1963, theorem 4).
func (t table) logE(odds float64) float64 {
	bad := t.x1 + t.x0
	if t.n1 == 0 || t.n0 == 0 || bad == 0 {
		return 0
	}
	if bad > exactTables {
		share := float64(t.n1) / float64(t.n1+t.n0)
		return float64(t.x1)*math.Log(odds) - float64(bad)*math.Log1p(share*(odds-1))
	}
	// weight is the hypergeometric probability of k in units of that of the lowest k.
	low, high := max(0, bad-t.n0), min(bad, t.n1)
	weight, sum, tilted := 1.0, 0.0, 0.0
	for k := low; k <= high; k++ {
		sum += weight
		tilted += weight * math.Pow(odds, float64(k-high))
		weight *= float64((bad-k)*(t.n1-k)) / float64((k+1)*(t.n0-bad+k+1))
	}
	return float64(t.x1-high)*math.Log(odds) - math.Log(tilted/sum)
}

// histogram counts latencies of one version by bucket.
type histogram [Buckets]int32

func (h *histogram) add(o *histogram) {
	for i, n := range o {
		h[i] += n
	}
}

func (h *histogram) total() int {
	sum := 0
	for _, n := range h {
		sum += int(n)
	}
	return sum
}

// slowdown is a distribution of latencies by comparison with that of the old versions: a part of the
// answers takes a factor of sqrt(2)^steps more time.
type slowdown struct {
	part  float64
	steps int
}

// density holds the logarithms of the probability of each bucket, and of that of the bucket or a later one.
type density struct{ in, from [Buckets]float64 }

// complete returns the histogram that answered and waiting attempts are expected to have when all are answered: those that wait
// are divided over the later buckets in proportion to the answers there (Efron 1967, the Kaplan-Meier estimate).
func complete(answered, waiting *histogram) (f [Buckets]float64, total float64) {
	last := 0
	for i, n := range answered {
		f[i] = float64(n)
		if n > 0 {
			last = i
		}
	}
	for i, n := range waiting {
		if n == 0 {
			continue
		}
		later := 0.0
		for _, p := range f[i:] {
			later += p
		}
		if later == 0 {
			last = min(max(i, last)+1, Buckets-1)
			f[last] += float64(n)
			continue
		}
		for j := range f[i:] {
			f[i+j] += float64(n) * f[i+j] / later
		}
	}
	for _, p := range f {
		total += p
	}
	return f, total
}

// newDensity estimates the density under the slowdown from a sample of the old versions' latencies, for the
// buckets that are not empty in used.
func (s slowdown) newDensity(h *[Buckets]float64, total float64, used *histogram) density {
	var f, slow [Buckets]float64
	last := 0
	for i, n := range h {
		// Part of each answer stands for its neighbours, and a little for latencies not seen yet.
		f[i] += 0.02 + 0.8*n
		f[max(i-1, 0)] += 0.1 * n
		f[min(i+1, Buckets-1)] += 0.1 * n
		if n > 0 {
			last = i
		}
	}
	// The next answer is the slowest yet with a probability of about 1/(total+1).
	for i, part := range [...]float64{0.4, 0.3, 0.2, 0.1} {
		f[min(last+1+i, Buckets-1)] += part
	}
	for i, p := range f {
		slow[min(max(i+s.steps, 0), Buckets-1)] += p
	}
	var d density
	from := 0.0
	for i := Buckets - 1; i >= 0; i-- {
		p := ((1-s.part)*f[i] + s.part*slow[i]) / (total + 1 + 0.02*Buckets)
		from += max(p, 1e-9)
		if used[i] > 0 {
			d.in[i], d.from[i] = math.Log(max(p, 1e-9)), math.Log(from)
		}
	}
	return d
}

// logLikelihood returns the logarithm of the likelihood of the target's latencies in p. Attempts that wait are
// known to take at least as long as they have waited.
func (d *density) logLikelihood(p *point) float64 {
	return temperedSum(p.latency, &d.in) + temperedSum(p.waiting, &d.from)
}

// temperedSum returns the sum of the logarithms of h's answers, in which no more than sliceLatencies count in full.
func temperedSum(h *histogram, logs *[Buckets]float64) float64 {
	if h == nil {
		return 0
	}
	sum, total := 0.0, int32(0)
	for i, n := range h {
		if n > 0 {
			sum += float64(n) * logs[i]
			total += n
		}
	}
	return sum * min(1, sliceLatencies/float64(max(total, 1)))
}

// mixture sums up weighted e-values that are given by their logarithms. The sum of e-values with weights that
// add up to at most 1 is an e-value.
type mixture struct{ sum float64 }

// add caps the summand so that the sum stays finite.
func (m *mixture) add(weight, log float64) { m.sum += weight * math.Exp(min(log, 300)) }

// logBeta returns the logarithm of the beta function.
func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// severalFailures is the number of failures that are not taken for chance.
const severalFailures = 3

// logCommonFault returns the logarithm of the Bayes factor for a fault of the target alone against one
// that strikes both versions alike. In now are the answers since the fault began, in calm those of the old versions
// well before. The rate of the fault has a uniform prior, that of the old versions a Jeffreys prior. The factor is at most 0 if
// several answers of the old versions failed too, and that is itself more likely under a fault, whatever its rate at the target.
func logCommonFault(now, calm table) float64 {
	rate := func(x, n int, a, b float64) float64 {
		return logBeta(a+float64(x), b+float64(n-x)) - logBeta(a, b)
	}
	old := rate(now.x0, now.n0, 0.5+float64(calm.x0), 0.5+float64(calm.n0-calm.x0))
	alone := rate(now.x1, now.n1, 1, 1) + old
	common := rate(now.x1+now.x0, now.n1+now.n0, 1, 1)
	factor := alone - common
	if struck := rate(now.x0, now.n0, 1, 1); now.x0 >= severalFailures && old < struck {
		return min(factor, old-struck)
	}
	return factor
}
