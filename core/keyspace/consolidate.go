package keyspace

import "time"

// maxSpans returns the number of spans above which none is divided for the sake of balance. With many holders, few of which are
// hot at a time, it grows by one a holder only: every span is renewed all the time, from one instance.
func maxSpans(candidates []*candidate) int {
	return max(cheapSpanCount, min(spansPerHolder*len(candidates), len(candidates)+extraSpans))
}

// spanLimit returns the number of spans up to which any range may be divided. Beyond it only the hottest are: they overload their
// holders within a second, and consolidation takes a few.
func spanLimit(candidates []*candidate) int {
	return int(ordinarySpanShare * float64(maxSpans(candidates)))
}

// crowded reports whether ranges with few requests are to be joined, so that there is room to divide the next hot range.
func (k *Manager) crowded(candidates []*candidate) bool {
	return float64(len(k.spans)) > float64(len(candidates))+crowdedShare*float64(spanLimit(candidates)-len(candidates))
}

// tooManySpans reports whether only the hottest spans may be divided further.
func (k *Manager) tooManySpans(candidates []*candidate) bool {
	return len(k.spans) > spanLimit(candidates)
}

// mergeInterval is the minimum time between merges, so that stable load causes few writes.
const mergeInterval = 2 * time.Second

// merge grants adjacent stable ranges of one holder as a single range if there are many ranges, because each range must
// be renewed.
func (k *Manager) merge(now time.Duration) []move {
	if len(k.spans) <= 2*len(k.upstreams) || now-k.lastMerge < mergeInterval {
		return nil
	}
	k.lastMerge = now
	var moves []move
	for i := 1; i < len(k.spans); i++ {
		a, b := k.spans[i-1], k.spans[i]
		if !k.stable(now, a) || !k.stable(now, b) || a.holder.id != b.holder.id || a.holder.incarnation != b.holder.incarnation {
			continue
		}
		if n := len(moves); n > 0 && moves[n-1].to == a.to {
			moves[n-1].to = b.to
			continue
		}
		moves = append(moves, move{
			from:        a.from,
			to:          b.to,
			upstream:    a.holder.id,
			incarnation: a.holder.incarnation,
		})
	}
	return moves
}

// consolidationLoadShare is the fraction of the recipient's capacity up to which a range is moved only in order to be
// merged with an adjacent one.
const consolidationLoadShare = 0.05

// cheapSpanCount is a number of ranges whose renewal cost is small regardless of the number of holders: 250 calls per
// second, a few hundredths of a CPU core.
const cheapSpanCount = 150

const (
	// extraSpans is the number of spans beyond one for each holder up to which ranges are divided.
	extraSpans = 1000
	// ordinarySpanShare is the fraction of maxSpans that is not reserved for the hottest ranges.
	ordinarySpanShare = 0.8
)

// consolidationDivisor limits the consolidating moves of one plan to the number of ranges divided by it. These moves
// affect few requests, and a hot range may need several new ranges within a second.
const consolidationDivisor = 6

// consolidationWidthDivisor limits the width of a range that is moved only in order to be merged, to all keys divided by it and
// by the number of holders, so that few keys change hands.
const consolidationWidthDivisor = 4

// consolidate assigns stable ranges with very few requests to the holder of the preceding range, so that both can be
// merged.
func (k *Manager) consolidate(now time.Duration) []move {
	candidates := k.candidates(long)
	if !k.crowded(candidates) || now-k.lastConsolidation < mergeInterval {
		return nil
	}
	k.lastConsolidation = now
	index := byID(candidates)
	widest := k.config.Keys / uint32(consolidationWidthDivisor*len(candidates))
	var moves []move
	// before is the holder of the preceding range after the moves so far.
	before := k.spans[0].holder.id
	for i := 1; i < len(k.spans) && len(moves) < len(k.spans)/consolidationDivisor; i++ {
		a, b := k.spans[i-1], k.spans[i]
		recipient := index[before]
		before = b.holder.id
		if recipient == nil || recipient.upstream.ID == b.holder.id || k.gaveUp(recipient, b) || !k.stable(now, a) || !k.stable(now, b) || b.to-b.from >= widest {
			continue
		}
		rate := k.rates.rate(b.from, b.to, long)
		if capacity := recipient.upstream.Capacity; rate > consolidationLoadShare*capacity || recipient.rate+rate > neighbourUtilization*capacity {
			continue
		}
		recipient.rate += rate
		before = recipient.upstream.ID
		moves = append(moves, move{
			from:        b.from,
			to:          b.to,
			upstream:    recipient.upstream.ID,
			incarnation: recipient.upstream.Incarnation,
		})
	}
	return moves
}

// stable reports whether a range has not moved recently and has no call or handover in progress.
func (k *Manager) stable(now time.Duration, s *span) bool {
	return len(s.priors) == 0 && !s.callPending && now-s.reassigned > mergeInterval && now < s.validUntil
}
