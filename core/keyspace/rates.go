package keyspace

import (
	"math"
	"time"
)

// horizon is the time scale over which requests are counted. A shorter horizon detects hot keys sooner, but more of
// what it detects is random variation.
type horizon int

const (
	burst horizon = iota
	short
	long
	horizonCount
)

// timeConstant returns the time in which a count decays to 1/e. At 100 requests per second over 16 upstreams, the burst
// horizon holds about 4 requests of each, enough to detect four times the normal rate; the short horizon 9, for three
// times; the long horizon 50, for 1.5 times.
func (h horizon) timeConstant() time.Duration {
	return [horizonCount]time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 8 * time.Second}[h]
}

// rates counts requests per key with exponential decay.
type rates struct {
	counts    [horizonCount][]float32
	lastDecay time.Duration
}

const (
	// decayInterval is the time between decays, a sixth of the shortest time constant.
	decayInterval = 100 * time.Millisecond
	// negligibleCount is the count below which a key's count is set to zero.
	negligibleCount = 0.02
)

func newRates(keys uint32) *rates {
	r := &rates{}
	for h := range r.counts {
		r.counts[h] = make([]float32, keys)
	}
	return r
}

func (r *rates) add(key uint32) {
	for h := range r.counts {
		r.counts[h][key]++
	}
}

func (r *rates) decay(now time.Duration) {
	if now-r.lastDecay < decayInterval {
		return
	}
	elapsed := float64(min(now-r.lastDecay, time.Minute))
	r.lastDecay = now
	for h := range r.counts {
		factor := float32(math.Exp(-elapsed / float64(horizon(h).timeConstant())))
		scaleCounts(r.counts[h], factor)
	}
}

func scaleCounts(counts []float32, factor float32) {
	for i, c := range counts {
		if c == 0 {
			continue
		}
		c *= factor
		if c < negligibleCount {
			c = 0
		}
		counts[i] = c
	}
}

// rate returns the requests per second for the keys of a range.
func (r *rates) rate(from, to uint32, h horizon) float64 {
	sum := 0.0
	for _, c := range r.counts[h][from : to+1] {
		sum += float64(c)
	}
	return sum / h.timeConstant().Seconds()
}

// hottest returns the key with the highest request rate.
func (r *rates) hottest(h horizon) (key uint32, rate float64) {
	most := float32(0)
	for i, c := range r.counts[h] {
		if c > most {
			most = c
			key = uint32(i)
		}
	}
	return key, float64(most) / h.timeConstant().Seconds()
}
