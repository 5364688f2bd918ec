package keyspace

import (
	"math"
	"time"
)

// heat counts requests by key, so that recent ones weigh more. Two memories are kept: a short one finds keys that have
// just become hot, a long one tells load apart from chance.
type heat struct {
	short, long []float32
	shortSum    float64
	longSum     float64
	decayed     time.Duration
}

const (
	// shortMemory and longMemory are the times in which a count falls to 1/e. With 100 requests a second to 16 upstreams the short one holds
	// 9 of each, enough to tell thrice the usual; the long one 50, enough to tell 1.5 times.
	shortMemory = 1500 * time.Millisecond
	longMemory  = 8 * time.Second
	// decayStep is the time between decays: a sixth of the short memory.
	decayStep = 250 * time.Millisecond
	// negligible counts are dropped.
	negligible = 0.02
)

func newHeat(keys uint32) *heat {
	return &heat{
		short: make([]float32, keys),
		long:  make([]float32, keys),
	}
}

func (h *heat) add(key uint32) {
	h.short[key]++
	h.long[key]++
}

func (h *heat) decay(now time.Duration) {
	if now-h.decayed < decayStep {
		return
	}
	elapsed := float64(min(now-h.decayed, time.Minute))
	h.decayed = now
	h.shortSum = shrink(h.short, math.Exp(-elapsed/float64(shortMemory)))
	h.longSum = shrink(h.long, math.Exp(-elapsed/float64(longMemory)))
}

func shrink(counts []float32, factor float64) float64 {
	sum := 0.0
	f := float32(factor)
	for i, c := range counts {
		if c == 0 {
			continue
		}
		c *= f
		if c < negligible {
			c = 0
		}
		counts[i] = c
		sum += float64(c)
	}
	return sum
}

// rate returns the requests a second for the keys of a range, by the short or the long memory.
func (h *heat) rate(from, to uint32, short bool) float64 {
	counts, memory := h.long, longMemory
	if short {
		counts, memory = h.short, shortMemory
	}
	sum := 0.0
	for _, c := range counts[from : to+1] {
		sum += float64(c)
	}
	return sum / memory.Seconds()
}
