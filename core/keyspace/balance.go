package keyspace

import (
	"sort"
	"sync"
	"time"
)

// even moves keys from overloaded holders to those with room.
func (k *Manager) even(now time.Duration) []move {
	if moves := k.quicken(now); len(moves) > 0 {
		return moves
	}
	for _, level := range []struct {
		memory memory
		limit  float64
	}{{burst, burstUse}, {short, fullUse}} {
		if moves := k.spread(level.memory, level.limit); len(moves) > 0 {
			return moves
		}
	}
	for _, level := range []struct {
		memory memory
		limit  float64
	}{{short, fullUse}, {long, highUse}} {
		if moves := k.evenBy(level.memory, level.limit); len(moves) > 0 {
			return moves
		}
	}
	return nil
}

const (
	// spreadShare is the part of a hot range's requests that its hottest neighbours must have to be dealt out as a whole: picked key by key,
	// those that are hot by chance would be taken.
	spreadShare = 0.75
	// spreadLeast is the number of remembered requests from which neighbours are taken for hot.
	spreadLeast = 6
)

// spread deals the hottest neighbouring keys of overloaded holders to all that have room, themselves included.
func (k *Manager) spread(m memory, limit float64) []move {
	seats := k.seats(m)
	if len(seats) < 2 || k.tooMany(seats) {
		return nil
	}
	limit = max(limit, unevenUse*meanUse(seats))
	var moves []move
	for _, donor := range donors(seats) {
		if donor.use() < limit || len(moves) >= mostMoves(seats) {
			break
		}
		moves = append(moves, k.spreadOne(donor, seats, m)...)
	}
	sortMoves(moves)
	return moves
}

// tooMany reports whether there are so many ranges that none is divided any more to even out load.
func (k *Manager) tooMany(seats []*seat) bool {
	return len(k.spans) > max(fewRanges, spansPerHolder*len(seats))
}

// donors returns the seats with keys, those with most use first.
func donors(seats []*seat) []*seat {
	var list []*seat
	for _, s := range seats {
		if s.keys > 0 {
			list = append(list, s)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].use() > list[j].use() })
	return list
}

// spreadOne deals the hottest neighbouring keys of one holder.
func (k *Manager) spreadOne(donor *seat, seats []*seat, m memory) []move {
	hot := k.hottestSpan(donor, m)
	if hot == nil {
		return nil
	}
	from, to, count := k.hottestPart(hot, m)
	if from == to || count < spreadLeast {
		return nil
	}
	rate := count / m.lasts().Seconds()
	donor.rate -= rate
	part := *hot
	part.from, part.to = from, to
	var moves []move
	for _, piece := range k.deal(&part, seats, m, dealPieces) {
		if piece.upstream != donor.upstream.ID {
			moves = append(moves, piece)
		}
	}
	return moves
}

// meanUse returns the use if all load were even. What is beyond the capacity of one holder counts no further: where a single key is too hot,
// none of that can go elsewhere.
func meanUse(seats []*seat) float64 {
	rate, capacity := 0.0, 0.0
	for _, s := range seats {
		rate += min(s.rate, s.upstream.Capacity)
		capacity += s.upstream.Capacity
	}
	return rate / capacity
}

// hottestSpan returns the range of a seat with most requests, or nil while one is on its way.
func (k *Manager) hottestSpan(of *seat, m memory) *span {
	var hot *span
	most := 0.0
	for _, s := range k.spans {
		if s.holder.id != of.upstream.ID || len(s.priors) > 0 || s.sure == 0 {
			continue
		}
		if rate := k.heat.rate(s.from, s.to, m); rate > most {
			hot, most = s, rate
		}
	}
	return hot
}

// hottestPart returns the narrowest part of a range that has spreadShare of its requests, and their remembered number.
func (k *Manager) hottestPart(s *span, m memory) (from, to uint32, count float64) {
	counts := k.heat.counts[m]
	whole := 0.0
	for _, n := range counts[s.from : s.to+1] {
		whole += float64(n)
	}
	from, to = s.from, s.to
	start, sum := s.from, 0.0
	for end := s.from; end <= s.to; end++ {
		sum += float64(counts[end])
		for start < end && sum-float64(counts[start]) >= spreadShare*whole {
			sum -= float64(counts[start])
			start++
		}
		if sum >= spreadShare*whole && end-start < to-from {
			from, to, count = start, end, sum
		}
		if end == s.to {
			break
		}
	}
	return from, to, count
}

func (k *Manager) evenBy(m memory, limit float64) []move {
	seats := k.seats(m)
	if len(seats) < 2 || k.tooMany(seats) {
		return nil
	}
	mean := meanUse(seats)
	limit = max(limit, unevenUse*mean)
	var moves []move
	stuck := map[*seat]bool{}
	// Looked for once, and only where a donor has no range of the wanted rate: it takes a look at all keys.
	hottest := sync.OnceValues(func() (uint32, float64) { return k.heat.hottest(m) })
	for len(moves) < mostMoves(seats) {
		donor := busiest(seats, stuck)
		taker := idlest(seats)
		if donor == nil || donor.use() < limit || taker == donor || taker.use() > donor.use()-0.2 {
			break
		}
		want := wanted(donor, taker, mean)
		part, ok := k.cut(donor, taker, want, m, moves)
		if !ok && k.overHot(donor, hottest) {
			part, ok = k.cutSome(donor, taker, want/2, m, moves)
		}
		if !ok {
			// One that has a single hot key can give nothing; others can.
			stuck[donor] = true
			continue
		}
		moves = append(moves, part)
	}
	sortMoves(moves)
	return moves
}

// wanted returns the rate to move: what brings the donor to the mean, or the taker a little above it.
func wanted(donor, taker *seat, mean float64) float64 {
	return min((donor.use()-mean)*donor.upstream.Capacity, (max(mean, taker.use()+0.1)-taker.use())*taker.upstream.Capacity)
}

// leastCut is the rate, in requests a second, below which moving keys does not pay.
const leastCut = 0.4

// overHot reports whether the hottest key takes much of the seat.
func (k *Manager) overHot(s *seat, hottest func() (key uint32, rate float64)) bool {
	key, rate := hottest()
	holding := k.find(key)
	return holding != nil && holding.holder.id == s.upstream.ID && rate > hotUse*s.upstream.Capacity
}

// cutSome cuts what is wanted or, where no range has that much, half of it, and so on: from beside a key that alone is too much, all
// others move away.
func (k *Manager) cutSome(donor, taker *seat, want float64, m memory, moves []move) (move, bool) {
	for ; want > leastCut; want /= 2 {
		if part, ok := k.cut(donor, taker, want, m, moves); ok {
			return part, true
		}
	}
	return move{}, false
}

const (
	// hotUse is the part of its holder's capacity from which a single key is worth the fastest holder, and faster by how much that one
	// must be for a move to pay.
	hotUse = 0.5
	faster = 1.25
	// quickenStep is the shortest time between moves of one hot key: a hand-over costs a good part of a second, and estimates of what
	// upstreams can do change with what they get.
	quickenStep = 4 * time.Second
)

// quicken gives the hottest key to the upstream that answers most, where it alone takes much of its holder: a key can't be divided.
func (k *Manager) quicken(now time.Duration) []move {
	key, rate := k.heat.hottest(short)
	s := k.find(key)
	if s == nil || len(s.priors) > 0 || s.sure == 0 || now-s.moved < quickenStep {
		return nil
	}
	seats := k.seats(short)
	var holder, best *seat
	for _, seat := range seats {
		if seat.upstream.ID == s.holder.id {
			holder = seat
		}
		if best == nil || seat.upstream.Capacity > best.upstream.Capacity {
			best = seat
		}
	}
	if holder == nil || rate < hotUse*holder.upstream.Capacity || best.upstream.Capacity < faster*holder.upstream.Capacity {
		return nil
	}
	return []move{{
		from:     key,
		to:       key,
		upstream: best.upstream.ID,
		born:     best.upstream.Incarnation,
	}}
}

func idlest(seats []*seat) *seat {
	best := seats[0]
	for _, s := range seats {
		if s.use() < best.use() {
			best = s
		}
	}
	return best
}

// cut finds the fewest neighbouring keys of the donor with about want requests a second, and counts them for the taker.
func (k *Manager) cut(donor, taker *seat, want float64, m memory, moves []move) (move, bool) {
	var best move
	bestRate := 0.0
	found := false
	for _, s := range k.spans {
		if s.holder.id != donor.upstream.ID || len(s.priors) > 0 || s.sure == 0 || overlaps(s, moves) {
			continue
		}
		narrow, rate, ok := k.window(s, want, m)
		if !ok || (found && narrow.to-narrow.from >= best.to-best.from) {
			continue
		}
		best = narrow
		bestRate = rate
		found = true
	}
	if !found || (taker.rate+bestRate)/taker.upstream.Capacity >= donor.use() {
		return move{}, false
	}
	donor.rate -= bestRate
	taker.rate += bestRate
	best.upstream = taker.upstream.ID
	best.born = taker.upstream.Incarnation
	return best, true
}

// windowLeast and windowMost bound what a cut range may have of the wanted rate: neighbouring keys rarely sum up to just that, and what is
// still too much or too little is evened out by the next plan.
const (
	windowLeast = 0.6
	windowMost  = 1.3
)

// window returns the narrowest range within s that has about the wanted rate.
func (k *Manager) window(s *span, want float64, m memory) (move, float64, bool) {
	counts, lasts := k.heat.counts[m], m.lasts().Seconds()
	least, most := windowLeast*want*lasts, windowMost*want*lasts
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
		whole := start == s.from && end == s.to
		if sum >= least && sum <= most && !whole && (!found || end-start < best.to-best.from) {
			best.from, best.to = start, end
			bestSum = sum
			found = true
		}
		if end == s.to {
			break
		}
	}
	return best, bestSum / lasts, found
}

// mergeStep is the shortest time between merges, so that calm times cost few writes.
const mergeStep = 2 * time.Second

// merge grants neighbouring ranges of one holder as one, when there are many and these are calm: each range costs a renewal.
func (k *Manager) merge(now time.Duration) []move {
	if len(k.spans) <= 2*len(k.upstreams) || now-k.merged < mergeStep {
		return nil
	}
	k.merged = now
	var moves []move
	for i := 1; i < len(k.spans); i++ {
		a, b := k.spans[i-1], k.spans[i]
		if !k.calm(now, a) || !k.calm(now, b) || a.holder.id != b.holder.id || a.holder.born != b.holder.born {
			continue
		}
		if n := len(moves); n > 0 && moves[n-1].to == a.to {
			moves[n-1].to = b.to
			continue
		}
		moves = append(moves, move{
			from:     a.from,
			to:       b.to,
			upstream: a.holder.id,
			born:     a.holder.born,
		})
	}
	return moves
}

// tidyShare is the part of its taker's capacity up to which a range is moved only to be joined with the one beside it.
const tidyShare = 0.05

// fewRanges is a number of ranges whose renewals cost little, whatever the number of holders: 250 calls a second, a few hundredths of a core.
const fewRanges = 150

// tidyPart is the part of the holders, as a divisor, that bounds the moves of one plan that joins ranges: they concern few requests.
const tidyPart = 2

// tidy gives calm ranges with hardly any requests to the holder of the range before them, so that both become one.
func (k *Manager) tidy(now time.Duration) []move {
	seats := k.seats(long)
	if len(k.spans) <= finePerHolder*len(seats) || now-k.tidied < mergeStep {
		return nil
	}
	k.tidied = now
	index := byID(seats)
	var moves []move
	// before is the holder of the range before, after the moves so far.
	before := k.spans[0].holder.id
	for i := 1; i < len(k.spans) && len(moves) < len(seats)/tidyPart; i++ {
		a, b := k.spans[i-1], k.spans[i]
		taker := index[before]
		before = b.holder.id
		if taker == nil || taker.upstream.ID == b.holder.id || !k.calm(now, a) || !k.calm(now, b) {
			continue
		}
		rate := k.heat.rate(b.from, b.to, long)
		if capacity := taker.upstream.Capacity; rate > tidyShare*capacity || taker.rate+rate > neighbourUse*capacity {
			continue
		}
		taker.rate += rate
		before = taker.upstream.ID
		moves = append(moves, move{
			from:     b.from,
			to:       b.to,
			upstream: taker.upstream.ID,
			born:     taker.upstream.Incarnation,
		})
	}
	return moves
}

// calm reports whether a range has not moved of late and nothing is on its way.
func (k *Manager) calm(now time.Duration, s *span) bool {
	return len(s.priors) == 0 && !s.calling && now-s.moved > mergeStep && now < s.sure
}
