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
	// burstUse and fullUse are the use by the burst and the short memory at which an upstream is taken for overloaded at once; the less is
	// remembered, the more must be seen, so that chance moves no keys.
	burstUse = 1.3
	fullUse  = 0.85
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
	seats := k.seats(short)
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
func (k *Keeper) seats(m memory) []*seat {
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
			seat.rate += k.heat.rate(s.from, s.to, m)
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
		lost := s.gone || (s.failures > 1 && now-s.failingSince > lostAfter && !u.Lively)
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

// dealPieces bounds the pieces into which one range is dealt, and calmShare is the part of an upstream's capacity that one piece takes.
const (
	dealPieces = 8
	calmShare  = 0.35
)

// deal divides a span among the seats with most room, each by its room, by heat where there is any and by width otherwise.
func (k *Keeper) deal(s *span, seats []*seat) []move {
	return k.dealBy(s, seats, short)
}

func (k *Keeper) dealBy(s *span, seats []*seat, m memory) []move {
	if len(seats) == 0 {
		return nil
	}
	sort.SliceStable(seats, func(i, j int) bool { return seats[i].use() < seats[j].use() })
	rate := k.heat.rate(s.from, s.to, m)
	width := float64(s.to-s.from) + 1
	pieces := 1
	usual := float64(k.config.Keys) / float64(len(seats)+1)
	for pieces < min(dealPieces, len(seats), int(width)) && (width/float64(pieces) > usual/2 || rate/float64(pieces) > seats[0].upstream.Capacity*calmShare) {
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
			got = even + float64(k.heat.counts[m][to])/m.lasts().Seconds()
			for to < s.to-uint32(pieces-1-i) {
				next := even + float64(k.heat.counts[m][to+1])/m.lasts().Seconds()
				if got+next > want {
					break
				}
				got += next
				to++
			}
		}
		seat.rate += k.heat.rate(from, to, m)
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
		m, ok := k.cut(donor, s, want, short, moves)
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

// spread deals the hottest neighbouring keys of an overloaded holder to all that have room, itself included.
func (k *Keeper) spread(m memory, limit float64) []move {
	seats := k.seats(m)
	donor := busiest(seats)
	if donor == nil || len(seats) < 2 || donor.use() < max(limit, unevenUse*meanUse(seats)) {
		return nil
	}
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
	for _, piece := range k.dealBy(&part, seats, m) {
		if piece.upstream != donor.upstream.ID {
			moves = append(moves, piece)
		}
	}
	return moves
}

func meanUse(seats []*seat) float64 {
	rate, capacity := 0.0, 0.0
	for _, s := range seats {
		rate += s.rate
		capacity += s.upstream.Capacity
	}
	return rate / capacity
}

// hottestSpan returns the range of a seat with most requests, or nil while one is on its way.
func (k *Keeper) hottestSpan(of *seat, m memory) *span {
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
func (k *Keeper) hottestPart(s *span, m memory) (from, to uint32, count float64) {
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

func (k *Keeper) evenBy(m memory, limit float64) []move {
	seats := k.seats(m)
	if len(seats) < 2 || len(k.spans) > spansPerHolder*len(seats) {
		return nil
	}
	mean := meanUse(seats)
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
		part, ok := k.cut(donor, taker, want, m, moves)
		if !ok && k.overHot(donor, m) {
			part, ok = k.cutSome(donor, taker, want/2, m, moves)
		}
		if !ok {
			break
		}
		moves = append(moves, part)
	}
	sortMoves(moves)
	return moves
}

// leastCut is the rate, in requests a second, below which moving keys does not pay.
const leastCut = 0.4

// overHot reports whether a single key takes much of the seat.
func (k *Keeper) overHot(s *seat, m memory) bool {
	key, rate := k.heat.hottest(m)
	holding := k.find(key)
	return holding != nil && holding.holder.id == s.upstream.ID && rate > hotUse*s.upstream.Capacity
}

// cutSome cuts what is wanted or, where no range has that much, half of it, and so on: from beside a key that alone is too much, all
// others move away.
func (k *Keeper) cutSome(donor, taker *seat, want float64, m memory, moves []move) (move, bool) {
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
func (k *Keeper) quicken(now time.Duration) []move {
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
		born:     best.upstream.Born,
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
func (k *Keeper) cut(donor, taker *seat, want float64, m memory, moves []move) (move, bool) {
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
	best.born = taker.upstream.Born
	return best, true
}

// window returns the narrowest range within s that has from 0.6 to 1.3 times the wanted rate.
func (k *Keeper) window(s *span, want float64, m memory) (move, float64, bool) {
	counts, lasts := k.heat.counts[m], m.lasts().Seconds()
	least, most := 0.6*want*lasts, 1.3*want*lasts
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
