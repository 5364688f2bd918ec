package keyspace

import (
	"sort"
	"time"
)

const (
	// planStep is the shortest time between plans, so that a burst of changes makes one write.
	planStep = 100 * time.Millisecond
	// gather is how long a service without an assignment waits for its upstreams to register.
	gather = 1200 * time.Millisecond
	// lostAfter is how long grants must fail before a holder counts as lost: two calls and a pause.
	lostAfter = 700 * time.Millisecond
	// fullUse is the use by the short memory at which an upstream is taken for overloaded at once.
	fullUse = 0.85
	// highUse and unevenUse are the use by the long memory, as such and as a multiple of the mean, from which load is evened out.
	highUse   = 0.6
	unevenUse = 1.35
	// movesPerPlan bounds the moves of one plan that even out load.
	movesPerPlan = 6
	// spansPerHolder bounds how finely keys are divided: each range costs a renewal.
	spansPerHolder = 10
	// joinShare is the part of its capacity that an upstream without keys is given at first.
	joinShare = 0.5
)

// seat is a possible holder while a plan is made.
type seat struct {
	upstream Upstream
	// rate is the requests a second for its keys.
	rate  float64
	spans int
	keys  int
}

func (s *seat) use() float64 {
	return s.rate / s.upstream.Capacity
}

// plan returns the next assignment, or nil where nothing should change.
func (k *Keeper) plan(now time.Duration) *proposal {
	if now-k.planned < planStep {
		return nil
	}
	k.planned = now
	if len(k.spans) == 0 {
		return k.planFirst(now)
	}
	seats := k.seats(true)
	if len(seats) == 0 {
		return nil
	}
	var moves []move
	moves = append(moves, k.leave(now, seats)...)
	if len(moves) == 0 {
		moves = append(moves, k.join(seats)...)
	}
	if len(moves) == 0 {
		moves = append(moves, k.even(now)...)
	}
	if len(moves) == 0 {
		moves = append(moves, k.merge(now)...)
	}
	if len(moves) == 0 {
		return nil
	}
	return k.propose(now, moves)
}

func (k *Keeper) planFirst(now time.Duration) *proposal {
	var ids []string
	for id, u := range k.upstreams {
		if u.Usable {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		k.first = 0
		return nil
	}
	if k.first == 0 {
		k.first = now
	}
	if now-k.first < gather {
		return nil
	}
	sort.Strings(ids)
	p := &proposal{
		initial:   true,
		nextFence: k.nextFence,
	}
	for i, id := range ids {
		from := uint64(i) * uint64(k.config.Keys) / uint64(len(ids))
		to := uint64(i+1)*uint64(k.config.Keys)/uint64(len(ids)) - 1
		p.spans = append(p.spans, k.newSpan(uint32(from), uint32(to), claim{
			holder: holder{
				id:    id,
				born:  k.upstreams[id].Born,
				fence: p.nextFence,
			},
		}))
		p.nextFence++
	}
	return p
}

// seats returns the usable upstreams with their load, sorted by id.
func (k *Keeper) seats(short bool) []*seat {
	byID := map[string]*seat{}
	var seats []*seat
	for id, u := range k.upstreams {
		if !u.Usable || u.Unreachable {
			continue
		}
		s := &seat{
			upstream: u,
		}
		byID[id] = s
		seats = append(seats, s)
	}
	for _, s := range k.spans {
		if seat := byID[s.holder.id]; seat != nil && seat.upstream.Born == s.holder.born {
			seat.rate += k.heat.rate(s.from, s.to, short)
			seat.spans++
			seat.keys += int(s.to-s.from) + 1
		}
	}
	sort.Slice(seats, func(i, j int) bool { return seats[i].upstream.ID < seats[j].upstream.ID })
	return seats
}

// leave moves all keys of holders that are gone, leave, or can't be reached.
func (k *Keeper) leave(now time.Duration, seats []*seat) []move {
	var moves []move
	for _, s := range k.spans {
		u, known := k.upstreams[s.holder.id]
		lost := s.failures > 1 && now-s.failingSince > lostAfter
		sound := known && u.Usable && u.Born == s.holder.born && !lost && !k.raise[s.id]
		if sound {
			continue
		}
		if known && u.Usable && !lost && !u.Unreachable {
			// The same upstream started anew, or saw a higher fence: it gets its keys again.
			moves = append(moves, move{
				from:     s.from,
				to:       s.to,
				upstream: u.ID,
				born:     u.Born,
			})
			continue
		}
		if lost && k.onlyChoice(seats, s.holder.id) {
			continue
		}
		moves = append(moves, k.deal(s, without(seats, s.holder.id))...)
	}
	sortMoves(moves)
	return moves
}

func (k *Keeper) onlyChoice(seats []*seat, id string) bool {
	return len(without(seats, id)) == 0
}

func without(seats []*seat, id string) []*seat {
	var others []*seat
	for _, s := range seats {
		if s.upstream.ID != id {
			others = append(others, s)
		}
	}
	return others
}

// dealPieces bounds the pieces into which one range is dealt.
const dealPieces = 4

// deal divides a span among the seats with most room, each by its room, by heat where there is any and by width otherwise.
func (k *Keeper) deal(s *span, seats []*seat) []move {
	if len(seats) == 0 {
		return nil
	}
	sort.SliceStable(seats, func(i, j int) bool { return seats[i].use() < seats[j].use() })
	rate := k.heat.rate(s.from, s.to, true)
	width := float64(s.to-s.from) + 1
	pieces := 1
	usual := float64(k.config.Keys) / float64(len(seats)+1)
	for pieces < min(dealPieces, len(seats), int(width)) && (width/float64(pieces) > usual/2 || rate/float64(pieces) > seats[0].upstream.Capacity/4) {
		pieces++
	}
	total := 0.0
	for _, seat := range seats[:pieces] {
		total += seat.room()
	}
	// Each key counts for its requests and for a small even part, so that cold keys are divided too.
	even := (rate + 1) / width
	var moves []move
	from := s.from
	for i, seat := range seats[:pieces] {
		want := (rate + even*width) * seat.room() / total
		to := s.to
		got := 0.0
		if i < pieces-1 {
			to = from
			got = even + float64(k.heat.short[to])/shortMemory.Seconds()
			for to < s.to-uint32(pieces-1-i) {
				next := even + float64(k.heat.short[to+1])/shortMemory.Seconds()
				if got+next > want {
					break
				}
				got += next
				to++
			}
		}
		seat.rate += k.heat.rate(from, to, true)
		moves = append(moves, move{
			from:     from,
			to:       to,
			upstream: seat.upstream.ID,
			born:     seat.upstream.Born,
		})
		if to == s.to {
			break
		}
		from = to + 1
	}
	return moves
}

// room is the rate that a seat can take on, at least a little.
func (s *seat) room() float64 {
	return max(s.upstream.Capacity-s.rate, s.upstream.Capacity/10)
}

// join gives upstreams without keys a first share from those with most load.
func (k *Keeper) join(seats []*seat) []move {
	var moves []move
	for _, s := range seats {
		if s.keys > 0 || len(moves) >= movesPerPlan {
			continue
		}
		donor := busiest(seats)
		if donor == nil || donor == s {
			break
		}
		want := min(donor.rate/2, s.upstream.Capacity*joinShare)
		m, ok := k.cut(donor, s, want, true, moves)
		if !ok {
			m, ok = k.half(donor, s, moves)
		}
		if !ok {
			continue
		}
		moves = append(moves, m)
		s.keys = int(m.to-m.from) + 1
	}
	return moves
}

func busiest(seats []*seat) *seat {
	var worst *seat
	for _, s := range seats {
		if s.keys > 0 && (worst == nil || s.use() > worst.use()) {
			worst = s
		}
	}
	return worst
}

// half gives half of the donor's widest range away, where nothing is known of heat.
func (k *Keeper) half(donor, to *seat, moves []move) (move, bool) {
	var widest *span
	for _, s := range k.spans {
		if s.holder.id == donor.upstream.ID && len(s.priors) == 0 && !overlaps(s, moves) && (widest == nil || s.to-s.from > widest.to-widest.from) {
			widest = s
		}
	}
	if widest == nil || widest.to == widest.from {
		return move{}, false
	}
	return move{
		from:     widest.from + (widest.to-widest.from)/2 + 1,
		to:       widest.to,
		upstream: to.upstream.ID,
		born:     to.upstream.Born,
	}, true
}

func overlaps(s *span, moves []move) bool {
	for _, m := range moves {
		if m.to >= s.from && m.from <= s.to {
			return true
		}
	}
	return false
}

// even moves keys from overloaded holders to those with room.
func (k *Keeper) even(now time.Duration) []move {
	if moves := k.evenBy(now, true, fullUse); len(moves) > 0 {
		return moves
	}
	return k.evenBy(now, false, highUse)
}

func (k *Keeper) evenBy(now time.Duration, short bool, limit float64) []move {
	seats := k.seats(short)
	if len(seats) < 2 || len(k.spans) > spansPerHolder*len(seats) {
		return nil
	}
	rate, capacity := 0.0, 0.0
	for _, s := range seats {
		rate += s.rate
		capacity += s.upstream.Capacity
	}
	mean := rate / capacity
	var moves []move
	for len(moves) < movesPerPlan {
		donor := busiest(seats)
		if donor == nil || donor.use() < max(limit, unevenUse*mean) {
			break
		}
		taker := idlest(seats)
		if taker == donor || taker.use() > donor.use()-0.2 {
			break
		}
		want := min((donor.use()-mean)*donor.upstream.Capacity, (max(mean, taker.use()+0.1)-taker.use())*taker.upstream.Capacity)
		m, ok := k.cut(donor, taker, want, short, moves)
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	sortMoves(moves)
	return moves
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
func (k *Keeper) cut(donor, taker *seat, want float64, short bool, moves []move) (move, bool) {
	var best move
	bestRate := 0.0
	found := false
	for _, s := range k.spans {
		if s.holder.id != donor.upstream.ID || len(s.priors) > 0 || s.sure == 0 || overlaps(s, moves) {
			continue
		}
		m, rate, ok := k.window(s, want, short)
		if !ok || (found && m.to-m.from >= best.to-best.from) {
			continue
		}
		best = m
		bestRate = rate
		found = true
	}
	if !found || (taker.rate+bestRate)/taker.upstream.Capacity >= donor.use() {
		return move{}, false
	}
	donor.rate -= bestRate
	taker.rate += bestRate
	best.upstream = taker.upstream.ID
	best.born = taker.upstream.Born
	return best, true
}

// window returns the narrowest range within s that has from 0.6 to 1.3 times the wanted rate.
func (k *Keeper) window(s *span, want float64, short bool) (move, float64, bool) {
	counts, memory := k.heat.long, longMemory.Seconds()
	if short {
		counts, memory = k.heat.short, shortMemory.Seconds()
	}
	least, most := 0.6*want*memory, 1.3*want*memory
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
	return best, bestSum / memory, found
}

// mergeStep is the shortest time between merges, so that calm times cost few writes.
const mergeStep = 2 * time.Second

// merge grants neighbouring ranges of one holder as one, when there are many and these are calm: each range costs a renewal.
func (k *Keeper) merge(now time.Duration) []move {
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

// calm reports whether a range has not moved of late and nothing is on its way.
func (k *Keeper) calm(now time.Duration, s *span) bool {
	return len(s.priors) == 0 && !s.calling && now-s.moved > mergeStep && now < s.sure
}
