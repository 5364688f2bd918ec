package keyspace

import (
	"sort"
	"time"
)

// rebalance moves keys from overloaded holders to those with capacity.
func (k *Manager) rebalance(now time.Duration) []move {
	if moves := k.moveHotKey(now); len(moves) > 0 {
		return moves
	}
	for _, level := range []struct {
		horizon horizon
		limit   float64
	}{{burst, burstUtilization}, {short, fullUtilization}} {
		if moves := k.spreadHotRanges(level.horizon, level.limit); len(moves) > 0 {
			return moves
		}
	}
	for _, level := range []struct {
		horizon horizon
		limit   float64
	}{{short, fullUtilization}, {long, highUtilization}} {
		if moves := k.moveRanges(level.horizon, level.limit); len(moves) > 0 {
			return moves
		}
	}
	return nil
}

const (
	// hotRangeShare is the fraction of a range's requests that a hot subrange must receive. The subrange is then
	// distributed as a whole; selecting single keys would pick those that are hot by chance.
	hotRangeShare = 0.75
	// minHotRangeCount is the minimum number of counted requests for a subrange to be treated as hot.
	minHotRangeCount = 6
)

// spreadHotRanges distributes the hottest subranges of overloaded holders among all candidates with headroom, including
// the holders themselves.
func (k *Manager) spreadHotRanges(h horizon, limit float64) []move {
	candidates := k.candidates(h)
	if len(candidates) < 2 || len(k.spans) > maxSpans(candidates) {
		return nil
	}
	limit = max(limit, unevenUtilization*meanUtilization(candidates))
	var moves []move
	for _, donor := range donors(candidates) {
		if donor.utilization() < limit || len(moves) >= moveLimit(candidates) {
			break
		}
		moves = append(moves, k.spreadHottestRange(donor, candidates, h)...)
	}
	sortMoves(moves)
	return moves
}

// donors returns the candidates with keys, sorted by decreasing utilization.
func donors(candidates []*candidate) []*candidate {
	var list []*candidate
	for _, c := range candidates {
		if c.keys > 0 {
			list = append(list, c)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].utilization() > list[j].utilization() })
	return list
}

// spreadHottestRange distributes the hottest subrange of one holder.
func (k *Manager) spreadHottestRange(donor *candidate, candidates []*candidate, h horizon) []move {
	hot := k.hottestSpan(donor, h)
	if hot == nil {
		return nil
	}
	from, to, count := k.hottestSubrange(hot, h)
	if from == to || count < minHotRangeCount {
		return nil
	}
	rate := count / h.timeConstant().Seconds()
	donor.rate -= rate
	subrange := *hot
	subrange.from, subrange.to = from, to
	var moves []move
	for _, piece := range k.distribute(&subrange, k.withoutFormers(candidates, hot), h, maxPieces) {
		if piece.upstream != donor.upstream.ID {
			moves = append(moves, piece)
		}
	}
	return moves
}

// meanUtilization returns the utilization under perfectly even load. Load beyond a holder's capacity is ignored,
// because if a single key is too hot, its load cannot be moved elsewhere.
func meanUtilization(candidates []*candidate) float64 {
	rate, capacity := 0.0, 0.0
	for _, c := range candidates {
		rate += min(c.rate, c.upstream.Capacity)
		capacity += c.upstream.Capacity
	}
	return rate / capacity
}

// hottestSpan returns the span of a candidate with the highest request rate. Spans that are still being handed over or
// have not been granted yet are ignored; the result is nil if there are no others.
func (k *Manager) hottestSpan(of *candidate, h horizon) *span {
	var hot *span
	most := 0.0
	for _, s := range k.spans {
		if s.holder.id != of.upstream.ID || len(s.priors) > 0 || s.validUntil == 0 {
			continue
		}
		if rate := k.rates.rate(s.from, s.to, h); rate > most {
			hot, most = s, rate
		}
	}
	return hot
}

// hottestSubrange returns the narrowest subrange of a span that receives hotRangeShare of its requests, and their
// decayed count.
func (k *Manager) hottestSubrange(s *span, h horizon) (from, to uint32, count float64) {
	counts := k.rates.counts[h]
	total := 0.0
	for _, n := range counts[s.from : s.to+1] {
		total += float64(n)
	}
	from, to = s.from, s.to
	start, sum := s.from, 0.0
	for end := s.from; end <= s.to; end++ {
		sum += float64(counts[end])
		for start < end && sum-float64(counts[start]) >= hotRangeShare*total {
			sum -= float64(counts[start])
			start++
		}
		if sum >= hotRangeShare*total && end-start < to-from {
			from, to, count = start, end, sum
		}
		if end == s.to {
			break
		}
	}
	return from, to, count
}

// moveRanges moves ranges from the most to the least utilized candidates while the utilization of the former, over the
// horizon, is at or above limit and well above the mean.
func (k *Manager) moveRanges(h horizon, limit float64) []move {
	candidates := k.candidates(h)
	if len(candidates) < 2 {
		return nil
	}
	mean := meanUtilization(candidates)
	limit = max(limit, unevenUtilization*mean)
	divide := !k.tooManySpans(candidates)
	var moves []move
	exhausted := map[*candidate]bool{}
	for len(moves) < moveLimit(candidates) {
		donor := mostUtilized(candidates, exhausted)
		recipient := leastUtilized(candidates, nil)
		if donor == nil || donor.utilization() < limit || recipient == donor || recipient.utilization() > donor.utilization()-minUtilizationGap {
			break
		}
		selected, ok := k.selectMove(donor, candidates, mean, h, moves, divide)
		if !ok {
			// The donor cannot give up any range, for example because it has a single hot key. Other donors may still
			// be able to.
			exhausted[donor] = true
			continue
		}
		moves = append(moves, selected)
	}
	sortMoves(moves)
	return moves
}

// selectMove selects a range of the donor for the least utilized candidate, or for the next one if that has given up ranges of the
// donor.
func (k *Manager) selectMove(donor *candidate, candidates []*candidate, mean float64, h horizon, moves []move, divide bool) (move, bool) {
	passedOver := map[*candidate]bool{
		donor: true,
	}
	for {
		recipient := leastUtilized(candidates, passedOver)
		if recipient == nil || recipient.utilization() > donor.utilization()-minUtilizationGap {
			return move{}, false
		}
		selected, ok := k.selectReducedRange(donor, recipient, rateToMove(donor, recipient, mean), h, moves, divide)
		if ok || !k.gaveUpAny(recipient, donor) {
			return selected, ok
		}
		passedOver[recipient] = true
	}
}

// minUtilizationGap is the minimum difference between the utilizations of two holders between which a range is moved.
const minUtilizationGap = 0.2

// rateToMove returns the rate that lowers the donor to the mean or raises the recipient slightly above it, whichever is
// less.
func rateToMove(donor, recipient *candidate, mean float64) float64 {
	return min((donor.utilization()-mean)*donor.upstream.Capacity, (max(mean, recipient.utilization()+0.1)-recipient.utilization())*recipient.upstream.Capacity)
}

// minMovedRate is the rate, in requests per second, below which moving keys is not worthwhile.
const minMovedRate = 0.4

// selectReducedRange selects a range with the wanted rate or, if there is none, half of it, and so on. A donor may hold many
// ranges of which each has few requests, or a key that alone overloads it among others that can move.
func (k *Manager) selectReducedRange(donor, recipient *candidate, want float64, h horizon, moves []move, divide bool) (move, bool) {
	for ; want > minMovedRate; want /= 2 {
		if selected, ok := k.selectRange(donor, recipient, want, h, moves, divide); ok {
			return selected, true
		}
	}
	return move{}, false
}

const (
	// hotKeyUtilization is the fraction of its holder's capacity above which a single key is moved to the fastest
	// holder. minSpeedup is how much faster that holder must be for the move to be worthwhile.
	hotKeyUtilization = 0.5
	minSpeedup        = 1.25
	// hotKeyMoveInterval is the minimum time between moves of the same hot key. A handover takes a substantial fraction
	// of a second, and the estimated capacities change with the assigned load.
	hotKeyMoveInterval = 4 * time.Second
)

// moveHotKey assigns the hottest key to the upstream with the highest capacity if the key alone uses a large part of
// its holder's capacity, because a single key cannot be divided.
func (k *Manager) moveHotKey(now time.Duration) []move {
	key, rate := k.rates.hottest(short)
	s := k.find(key)
	if s == nil || len(s.priors) > 0 || s.validUntil == 0 || now-s.reassigned < hotKeyMoveInterval {
		return nil
	}
	candidates := k.candidates(short)
	var holder, best *candidate
	for _, candidate := range candidates {
		if candidate.upstream.ID == s.holder.id {
			holder = candidate
		}
		if !k.gaveUp(candidate, s) && (best == nil || candidate.upstream.Capacity > best.upstream.Capacity) {
			best = candidate
		}
	}
	if holder == nil || best == nil || rate < hotKeyUtilization*holder.upstream.Capacity || best.upstream.Capacity < minSpeedup*holder.upstream.Capacity {
		return nil
	}
	return []move{{
		from:        key,
		to:          key,
		upstream:    best.upstream.ID,
		incarnation: best.upstream.Incarnation,
	}}
}

// leastUtilized returns the candidate with the lowest utilization among those that are not passed over, nil if there is none.
func leastUtilized(candidates []*candidate, passedOver map[*candidate]bool) *candidate {
	var best *candidate
	for _, c := range candidates {
		if !passedOver[c] && (best == nil || c.utilization() < best.utilization()) {
			best = c
		}
	}
	return best
}

// selectRange selects the narrowest range of the donor with about the wanted request rate and adds its rate to the
// recipient. It selects part of a span only if divide is true.
func (k *Manager) selectRange(donor, recipient *candidate, want float64, h horizon, moves []move, divide bool) (move, bool) {
	var best move
	bestRate := 0.0
	found := false
	for _, s := range k.spans {
		if s.holder.id != donor.upstream.ID || len(s.priors) > 0 || s.validUntil == 0 || overlaps(s, moves) || k.gaveUp(recipient, s) {
			continue
		}
		narrow, rate, ok := k.narrowestWindow(s, want, h)
		if !divide {
			narrow, rate, ok = k.wholeSpan(s, want, h)
		}
		if !ok || (found && narrow.to-narrow.from >= best.to-best.from) {
			continue
		}
		best = narrow
		bestRate = rate
		found = true
	}
	if !found || (recipient.rate+bestRate)/recipient.upstream.Capacity >= donor.utilization() {
		return move{}, false
	}
	donor.rate -= bestRate
	recipient.rate += bestRate
	best.upstream = recipient.upstream.ID
	best.incarnation = recipient.upstream.Incarnation
	return best, true
}

// windowMinRatio and windowMaxRatio bound the rate of a selected range relative to the wanted rate. Adjacent keys
// rarely add up to the exact rate; the next plan corrects the remaining difference.
const (
	windowMinRatio = 0.6
	windowMaxRatio = 1.3
)

// narrowestWindow returns the narrowest range within s that has about the wanted rate.
func (k *Manager) narrowestWindow(s *span, want float64, h horizon) (move, float64, bool) {
	counts, timeConstant := k.rates.counts[h], h.timeConstant().Seconds()
	least, most := windowMinRatio*want*timeConstant, windowMaxRatio*want*timeConstant
	var best move
	var bestSum float64
	found := false
	start := s.from
	sum := 0.0
	for end := s.from; end <= s.to; end++ {
		sum += float64(counts[end])
		for start < end && (sum-float64(counts[start]) >= least || sum > most) {
			sum -= float64(counts[start])
			start++
		}
		if sum >= least && sum <= most && (!found || end-start < best.to-best.from) {
			best.from, best.to = start, end
			bestSum = sum
			found = true
		}
		if end == s.to {
			break
		}
	}
	return best, bestSum / timeConstant, found
}

// wholeSpan returns all of s if it has about the wanted rate.
func (k *Manager) wholeSpan(s *span, want float64, h horizon) (move, float64, bool) {
	rate := k.rates.rate(s.from, s.to, h)
	return move{
		from: s.from,
		to:   s.to,
	}, rate, rate >= windowMinRatio*want && rate <= windowMaxRatio*want
}
