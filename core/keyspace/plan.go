package keyspace

import (
	"sort"
	"time"
)

// candidate is a possible holder during planning.
type candidate struct {
	upstream Upstream
	// rate is the requests per second for the candidate's keys.
	rate float64
	keys int
	// returns is true while the candidate may be given ranges that it has given up recently.
	returns bool
}

func moveLimit(candidates []*candidate) int {
	return max(minMoveLimit, int(moveLimitShare*float64(len(candidates))))
}

func (c *candidate) utilization() float64 {
	return c.rate / c.upstream.Capacity
}

// plan returns the next assignment, or nil if nothing should change.
func (k *Manager) plan(now time.Duration) *proposal {
	if now-k.lastPlan < planInterval {
		return nil
	}
	k.lastPlan = now
	if len(k.spans) == 0 {
		return k.planInitial(now)
	}
	candidates := k.candidates(short)
	if len(candidates) == 0 {
		if moves := k.grantAnew(now); len(moves) > 0 {
			return k.propose(now, moves)
		}
		return nil
	}
	evacuate := func() []move { return k.evacuate(now, candidates) }
	assignIdle := func() []move { return k.assignIdle(candidates) }
	rebalance := func() []move { return k.rebalance(now) }
	merge := func() []move { return k.merge(now) }
	consolidate := func() []move { return k.consolidate(now) }
	steps := []func() []move{evacuate, assignIdle, rebalance, merge}
	switch {
	case k.tooManySpans(candidates):
		// Rebalancing may find something to move in every plan and starve the merges, which only affect ranges that
		// have not moved recently.
		steps = []func() []move{evacuate, assignIdle, merge, consolidate, rebalance}
	case k.crowded(candidates):
		steps = append(steps, consolidate)
	}
	for _, step := range steps {
		if moves := step(); len(moves) > 0 {
			return k.propose(now, moves)
		}
	}
	if k.writtenEra < k.config.Era && now >= k.quietUntil {
		return k.propose(now, nil) // All holders are known from now on.
	}
	return nil
}

func (k *Manager) planInitial(now time.Duration) *proposal {
	var ids []string
	for id, u := range k.upstreams {
		if u.Usable {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		k.firstSeen = 0
		return nil
	}
	if k.firstSeen == 0 {
		k.firstSeen = now
	}
	if len(ids) != k.seenUpstreams {
		k.seenUpstreams = len(ids)
		k.lastJoin = now
	}
	if now-k.lastJoin < joinSettleTime && now-k.firstSeen < maxJoinWait {
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
				id:          id,
				incarnation: k.upstreams[id].Incarnation,
				fence:       p.nextFence,
			},
		}))
		p.nextFence++
	}
	return p
}

// failingHolders returns the upstreams that have left a grant unanswered and have not answered anything since, and those that
// were lost a short time ago.
func (k *Manager) failingHolders(now time.Duration) map[string]bool {
	failing := map[string]bool{}
	for lost, at := range k.lostAt {
		u := k.upstreams[lost.id]
		if now-at > lostPause || u.Responsive {
			delete(k.lostAt, lost)
			continue
		}
		if u.Incarnation == lost.incarnation {
			failing[lost.id] = true
		}
	}
	for _, s := range k.spans {
		overdue := s.callPending && now-s.sent > usualAnswerTime
		if (s.failures > 0 || overdue) && !k.upstreams[s.holder.id].Responsive {
			failing[s.holder.id] = true
		}
	}
	return failing
}

// candidates returns the usable upstreams with their load, sorted by ID. An upstream whose own grants fail is none: where many
// fall silent at once, keys would pass from one to the next and wait for the end of a grant each time.
func (k *Manager) candidates(h horizon) []*candidate {
	var candidates []*candidate
	failing := k.failingHolders(k.lastPlan)
	for _, u := range k.upstreams {
		if !u.Usable || u.Unreachable || failing[u.ID] {
			continue
		}
		candidates = append(candidates, &candidate{
			upstream: u,
		})
	}
	index := byID(candidates)
	for _, s := range k.spans {
		if candidate := index[s.holder.id]; candidate != nil && candidate.upstream.Incarnation == s.holder.incarnation {
			candidate.rate += k.rates.rate(s.from, s.to, h)
			candidate.keys += int(s.to-s.from) + 1
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].upstream.ID < candidates[j].upstream.ID })
	return candidates
}

func byID(candidates []*candidate) map[string]*candidate {
	index := make(map[string]*candidate, len(candidates))
	for _, c := range candidates {
		index[c.upstream.ID] = c
	}
	return index
}

func without(candidates []*candidate, id string) []*candidate {
	var others []*candidate
	for _, c := range candidates {
		if c.upstream.ID != id {
			others = append(others, c)
		}
	}
	return others
}

// maxPieces limits the number of pieces into which one range is divided. pieceLoadShare is the fraction of an
// upstream's capacity that one piece may use.
const (
	maxPieces      = 8
	pieceLoadShare = 0.35
)

// distribute divides a span into at most maxPieceCount pieces and assigns them to the candidates with the most
// headroom, in proportion to it. The span is divided by request rate if there is any load, and by width otherwise.
func (k *Manager) distribute(s *span, candidates []*candidate, h horizon, maxPieceCount int) []move {
	if len(candidates) == 0 {
		return nil
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].utilization() < candidates[j].utilization() })
	rate := k.rates.rate(s.from, s.to, h)
	width := float64(s.to-s.from) + 1
	pieces := 1
	evenWidth := float64(k.config.Keys) / float64(len(candidates)+1)
	for pieces < min(maxPieceCount, len(candidates), int(width)) && (width/float64(pieces) > evenWidth/2 || rate/float64(pieces) > candidates[0].upstream.Capacity*pieceLoadShare) {
		pieces++
	}
	total := 0.0
	for _, candidate := range candidates[:pieces] {
		total += candidate.headroom()
	}
	// Every key counts for its requests plus a small constant, so that keys without requests are divided too.
	even := (rate + 1) / width
	var moves []move
	from := s.from
	for i, candidate := range candidates[:pieces] {
		want := (rate + even*width) * candidate.headroom() / total
		to := s.to
		got := 0.0
		if i < pieces-1 {
			to = from
			got = even + float64(k.rates.counts[h][to])/h.timeConstant().Seconds()
			for to < s.to-uint32(pieces-1-i) {
				next := even + float64(k.rates.counts[h][to+1])/h.timeConstant().Seconds()
				if got+next > want {
					break
				}
				got += next
				to++
			}
		}
		candidate.rate += k.rates.rate(from, to, h)
		moves = append(moves, move{
			from:        from,
			to:          to,
			upstream:    candidate.upstream.ID,
			incarnation: candidate.upstream.Incarnation,
		})
		if to == s.to {
			break
		}
		from = to + 1
	}
	return moves
}

// headroom returns the additional rate that the candidate can handle, at least a tenth of its capacity.
func (c *candidate) headroom() float64 {
	return max(c.upstream.Capacity-c.rate, c.upstream.Capacity/10)
}

// assignIdle assigns upstreams without keys a first share, taken from the most utilized holders.
func (k *Manager) assignIdle(candidates []*candidate) []move {
	var moves []move
	for _, c := range candidates {
		if c.keys > 0 || len(moves) >= moveLimit(candidates) {
			continue
		}
		m, donor := k.firstShare(candidates, c, moves)
		if donor == nil {
			// The others hold nothing but what it has given up, for example because they have joined since.
			c.returns = true
			m, donor = k.firstShare(candidates, c, moves)
			c.returns = false
		}
		if donor == nil {
			continue
		}
		moves = append(moves, m)
		c.keys = int(m.to-m.from) + 1
		donor.keys -= c.keys
	}
	return moves
}

// firstShare selects a range for a candidate without keys, from the most utilized donor or from the next one if the candidate has given
// up ranges of that. The donor is nil if there is no such range.
func (k *Manager) firstShare(candidates []*candidate, c *candidate, moves []move) (move, *candidate) {
	exhausted := map[*candidate]bool{}
	for {
		donor := mostUtilized(candidates, exhausted)
		if donor == nil {
			return move{}, nil
		}
		if m, ok := k.shareOf(donor, c, moves); ok {
			return m, donor
		}
		if !k.gaveUpAny(c, donor) {
			return move{}, nil
		}
		exhausted[donor] = true
	}
}

// shareOf selects a range of the donor for a candidate without keys.
func (k *Manager) shareOf(donor, c *candidate, moves []move) (move, bool) {
	want := min(donor.rate/2, c.upstream.Capacity*initialLoadShare)
	if m, ok := k.selectRange(donor, c, want, short, moves, true); ok {
		return m, true
	}
	return k.splitWidest(donor, c, moves)
}

// mostUtilized returns the candidate with the highest utilization among those with keys, except those in exhausted.
// Ties go to the candidate with more keys.
func mostUtilized(candidates []*candidate, exhausted map[*candidate]bool) *candidate {
	var worst *candidate
	for _, c := range candidates {
		if c.keys <= 0 || exhausted[c] {
			continue
		}
		if worst == nil || c.utilization() > worst.utilization() || (c.utilization() == worst.utilization() && c.keys > worst.keys) {
			worst = c
		}
	}
	return worst
}

// splitWidest assigns half of the donor's widest range to another candidate. It is used if there is no load to divide
// by.
func (k *Manager) splitWidest(donor, to *candidate, moves []move) (move, bool) {
	var widest *span
	for _, s := range k.spans {
		if s.holder.id == donor.upstream.ID && len(s.priors) == 0 && !overlaps(s, moves) && !k.gaveUp(to, s) && (widest == nil || s.to-s.from > widest.to-widest.from) {
			widest = s
		}
	}
	if widest == nil || widest.to == widest.from {
		return move{}, false
	}
	return move{
		from:        widest.from + (widest.to-widest.from)/2 + 1,
		to:          widest.to,
		upstream:    to.upstream.ID,
		incarnation: to.upstream.Incarnation,
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
