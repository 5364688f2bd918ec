package keyspace

import (
	"sort"
	"time"
)

const (
	// planStep is the shortest time between plans, so that a burst of changes makes one write.
	planStep = 100 * time.Millisecond
	// gather is how long no upstream may have joined before a service without an assignment gets one: longer than a heartbeat of upstreams.
	// gatherMost bounds the wait: entries may take three seconds to show.
	gather     = time.Second
	gatherMost = 3 * time.Second
	// lostAfter is how long grants must fail before a holder counts as lost: two calls and a pause.
	lostAfter = 700 * time.Millisecond
	// burstUse and fullUse are the use by the burst and the short memory at which an upstream is taken for overloaded at once; the less is
	// remembered, the more must be seen, so that chance moves no keys.
	burstUse = 1.3
	fullUse  = 0.85
	// highUse and unevenUse are the use by the long memory, as such and as a multiple of the mean, from which load is evened out.
	highUse   = 0.6
	unevenUse = 1.35
	// leastMoves and movesShare bound the moves of one plan that even out load: a few, or a share of the holders. Each hand-over takes a part
	// of a second, and the next plan sees what it did.
	leastMoves = 6
	movesShare = 0.2
	// spansPerHolder bounds how finely keys are divided to even out load: each range costs a renewal. finePerHolder is where ranges of holders
	// that leave are divided no further, and go to a neighbour's holder where that has room.
	spansPerHolder = 6
	finePerHolder  = 3
	// neighbourUse is the use up to which a holder takes a range beside its own.
	neighbourUse = 0.6
	// joinShare is the part of its capacity that an upstream without keys is given at first.
	joinShare = 0.5
)

// seat is a possible holder while a plan is made.
type seat struct {
	upstream Upstream
	// rate is the requests a second for its keys.
	rate float64
	keys int
}

func mostMoves(seats []*seat) int {
	return max(leastMoves, int(movesShare*float64(len(seats))))
}

func (s *seat) use() float64 {
	return s.rate / s.upstream.Capacity
}

// plan returns the next assignment, or nil where nothing should change.
func (k *Manager) plan(now time.Duration) *proposal {
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
	leave := func() []move { return k.leave(now, seats) }
	join := func() []move { return k.join(seats) }
	even := func() []move { return k.even(now) }
	merge := func() []move { return k.merge(now) }
	tidy := func() []move { return k.tidy(now) }
	steps := []func() []move{leave, join, even, merge}
	if len(k.spans) > fewRanges {
		// Evening out may find something to move each time; what is joined had no move of late.
		steps = []func() []move{leave, join, merge, tidy, even}
	}
	for _, step := range steps {
		if moves := step(); len(moves) > 0 {
			return k.propose(now, moves)
		}
	}
	return nil
}

func (k *Manager) planFirst(now time.Duration) *proposal {
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
	if len(ids) != k.gathered {
		k.gathered = len(ids)
		k.joined = now
	}
	if now-k.joined < gather && now-k.first < gatherMost {
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
				born:  k.upstreams[id].Incarnation,
				fence: p.nextFence,
			},
		}))
		p.nextFence++
	}
	return p
}

// seats returns the usable upstreams with their load, sorted by id.
func (k *Manager) seats(m memory) []*seat {
	var seats []*seat
	for _, u := range k.upstreams {
		if !u.Usable || u.Unreachable {
			continue
		}
		seats = append(seats, &seat{
			upstream: u,
		})
	}
	index := byID(seats)
	for _, s := range k.spans {
		if seat := index[s.holder.id]; seat != nil && seat.upstream.Incarnation == s.holder.born {
			seat.rate += k.heat.rate(s.from, s.to, m)
			seat.keys += int(s.to-s.from) + 1
		}
	}
	sort.Slice(seats, func(i, j int) bool { return seats[i].upstream.ID < seats[j].upstream.ID })
	return seats
}

func byID(seats []*seat) map[string]*seat {
	index := make(map[string]*seat, len(seats))
	for _, s := range seats {
		index[s.upstream.ID] = s
	}
	return index
}

// leave moves all keys of holders that are gone, leave, or can't be reached.
func (k *Manager) leave(now time.Duration, seats []*seat) []move {
	var moves []move
	fine := len(k.spans) > finePerHolder*len(seats)
	index := byID(seats)
	for i, s := range k.spans {
		u, known := k.upstreams[s.holder.id]
		lost := s.gone || (s.failures > 1 && now-s.failingSince > lostAfter && !u.Responsive)
		sound := known && u.Usable && u.Incarnation == s.holder.born && !lost && !k.raise[s.id]
		if sound {
			continue
		}
		if known && u.Usable && !lost && !u.Unreachable {
			// The same upstream started anew, or saw a higher fence: it gets its keys again.
			moves = append(moves, move{
				from:     s.from,
				to:       s.to,
				upstream: u.ID,
				born:     u.Incarnation,
			})
			continue
		}
		if lost && k.onlyChoice(seats, s.holder.id) {
			continue
		}
		others := without(seats, s.holder.id)
		if !fine {
			moves = append(moves, k.deal(s, others, short, dealPieces)...)
			continue
		}
		if m, ok := k.joinNeighbour(i, index); ok {
			moves = append(moves, m)
			continue
		}
		moves = append(moves, k.deal(s, others, short, 1)...)
	}
	sortMoves(moves)
	return moves
}

// joinNeighbour gives the range at a place to the holder of the one beside it, where that has room.
func (k *Manager) joinNeighbour(place int, seats map[string]*seat) (move, bool) {
	s := k.spans[place]
	rate := k.heat.rate(s.from, s.to, short)
	for _, beside := range []int{place - 1, place + 1} {
		if beside < 0 || beside >= len(k.spans) {
			continue
		}
		id := k.spans[beside].holder.id
		seat := seats[id]
		if seat == nil || id == s.holder.id || seat.rate+rate > neighbourUse*seat.upstream.Capacity {
			continue
		}
		seat.rate += rate
		return move{
			from:     s.from,
			to:       s.to,
			upstream: id,
			born:     seat.upstream.Incarnation,
		}, true
	}
	return move{}, false
}

func (k *Manager) onlyChoice(seats []*seat, id string) bool {
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

// deal divides a span into at most so many pieces among the seats with most room, each by its room, by heat where there is any and by width otherwise.
func (k *Manager) deal(s *span, seats []*seat, m memory, most int) []move {
	if len(seats) == 0 {
		return nil
	}
	sort.SliceStable(seats, func(i, j int) bool { return seats[i].use() < seats[j].use() })
	rate := k.heat.rate(s.from, s.to, m)
	width := float64(s.to-s.from) + 1
	pieces := 1
	usual := float64(k.config.Keys) / float64(len(seats)+1)
	for pieces < min(most, len(seats), int(width)) && (width/float64(pieces) > usual/2 || rate/float64(pieces) > seats[0].upstream.Capacity*calmShare) {
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
			born:     seat.upstream.Incarnation,
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
func (k *Manager) join(seats []*seat) []move {
	var moves []move
	for _, s := range seats {
		if s.keys > 0 || len(moves) >= mostMoves(seats) {
			continue
		}
		donor := busiest(seats, nil)
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
		donor.keys -= s.keys
	}
	return moves
}

// busiest returns the seat with most use, with most keys where use is equal, without those in stuck.
func busiest(seats []*seat, stuck map[*seat]bool) *seat {
	var worst *seat
	for _, s := range seats {
		if s.keys <= 0 || stuck[s] {
			continue
		}
		if worst == nil || s.use() > worst.use() || (s.use() == worst.use() && s.keys > worst.keys) {
			worst = s
		}
	}
	return worst
}

// half gives half of the donor's widest range away, where nothing is known of heat.
func (k *Manager) half(donor, to *seat, moves []move) (move, bool) {
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
		born:     to.upstream.Incarnation,
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
