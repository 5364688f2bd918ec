package keyspace

import "time"

// evacuate moves all keys of holders that are gone, draining or lost. It also assigns keys to the same upstream again if
// it has restarted or needs a higher fence.
func (k *Manager) evacuate(now time.Duration, candidates []*candidate) []move {
	var moves []move
	fineGrained := len(k.spans) > fineSpansPerHolder*len(candidates)
	index := byID(candidates)
	for i, s := range k.spans {
		u, known := k.upstreams[s.holder.id]
		lost := s.gone || (s.failures > 1 && now-s.failingSince > lossTimeout && !u.Responsive)
		if lost {
			k.lostAt[lostHolder{
				id:          s.holder.id,
				incarnation: s.holder.incarnation,
			}] = now
		}
		healthy := known && u.Usable && u.Incarnation == s.holder.incarnation && !lost && !s.needsHigherFence
		if healthy {
			continue
		}
		if known && u.Usable && !lost && !u.Unreachable {
			// The same upstream has restarted or needs a higher fence; it is assigned its keys again.
			moves = append(moves, move{
				from:        s.from,
				to:          s.to,
				upstream:    u.ID,
				incarnation: u.Incarnation,
			})
			continue
		}
		if lost && k.onlyChoice(candidates, s.holder.id) {
			continue
		}
		others := without(candidates, s.holder.id)
		if !fineGrained {
			moves = append(moves, k.distribute(s, others, short, maxPieces)...)
			continue
		}
		if m, ok := k.moveToNeighbour(i, index); ok {
			moves = append(moves, m)
			continue
		}
		moves = append(moves, k.distribute(s, others, short, 1)...)
	}
	sortMoves(moves)
	return moves
}

// retryInterval is the time between attempts to grant keys to failing holders anew. Each takes a write of the assignment.
const retryInterval = time.Second

// grantAnew assigns the keys of failing holders to them again with a higher fence. It is used while all upstreams fail, for example
// after a stall of the coordinator: there is no other to take the keys, and none answers before it is granted some.
func (k *Manager) grantAnew(now time.Duration) []move {
	if now-k.lastRetry < retryInterval {
		return nil
	}
	var moves []move
	for _, s := range k.spans {
		u, known := k.upstreams[s.holder.id]
		if !known || !u.Usable || u.Unreachable || s.callPending || !s.needsHigherFence || s.gone {
			continue
		}
		moves = append(moves, move{
			from:        s.from,
			to:          s.to,
			upstream:    u.ID,
			incarnation: u.Incarnation,
		})
	}
	if len(moves) > 0 {
		k.lastRetry = now
	}
	return moves
}

// moveToNeighbour assigns a span to the holder of an adjacent span, if that holder has capacity.
func (k *Manager) moveToNeighbour(position int, candidates map[string]*candidate) (move, bool) {
	s := k.spans[position]
	rate := k.rates.rate(s.from, s.to, short)
	for _, adjacent := range []int{position - 1, position + 1} {
		if adjacent < 0 || adjacent >= len(k.spans) {
			continue
		}
		id := k.spans[adjacent].holder.id
		candidate := candidates[id]
		if candidate == nil || id == s.holder.id || candidate.rate+rate > neighbourUtilization*candidate.upstream.Capacity {
			continue
		}
		candidate.rate += rate
		return move{
			from:        s.from,
			to:          s.to,
			upstream:    id,
			incarnation: candidate.upstream.Incarnation,
		}, true
	}
	return move{}, false
}

func (k *Manager) onlyChoice(candidates []*candidate, id string) bool {
	return len(without(candidates, id)) == 0
}

const (
	// planInterval is the minimum time between plans, so that a burst of changes causes a single write.
	planInterval = 100 * time.Millisecond
	// joinSettleTime is how long no upstream may have joined before the initial assignment is made; it is longer than
	// the heartbeat interval of upstreams. maxJoinWait limits the wait, because registrations may take three seconds to
	// become visible.
	joinSettleTime = time.Second
	maxJoinWait    = 3 * time.Second
	// lossTimeout is how long grants must fail before the holder is considered lost: two calls plus a pause.
	lossTimeout = 700 * time.Millisecond
	// burstUtilization and fullUtilization are the utilizations, over the burst and the short horizon, at which an
	// upstream is treated as overloaded at once. A shorter horizon has a higher threshold, so that random variation
	// moves no keys.
	burstUtilization = 1.3
	fullUtilization  = 0.85
	// highUtilization and unevenUtilization are the thresholds for rebalancing over the long horizon: an absolute
	// utilization and a multiple of the mean.
	highUtilization   = 0.6
	unevenUtilization = 1.35
	// minMoveLimit and moveLimitShare limit the rebalancing moves per plan: a fixed number or a fraction of the
	// holders, whichever is larger. A handover takes a fraction of a second, and the next plan sees its effect.
	minMoveLimit   = 6
	moveLimitShare = 0.2
	// spansPerHolder limits how finely keys are divided by rebalancing, because each range must be renewed. Above
	// fineSpansPerHolder, the ranges of departing holders are not divided further, but moved to the holder of an
	// adjacent range if it has capacity.
	spansPerHolder     = 6
	fineSpansPerHolder = 3
	// crowdedShare is the fraction of the ranges beyond one for each holder above which those with few requests are joined.
	crowdedShare = 0.5
	// lostPause is how long a lost holder is given no keys unless it answers something or starts anew. To try it with keys that
	// another one serves makes them unavailable for seconds if it is still silent, and the list of upstreams usually tells of
	// the loss before.
	lostPause = 10 * time.Second
	// usualAnswerTime is the time within which a live upstream answers a grant.
	usualAnswerTime = 120 * time.Millisecond
	// neighbourUtilization is the utilization up to which a holder takes over an adjacent range.
	neighbourUtilization = 0.6
	// initialLoadShare is the fraction of its capacity that an upstream without keys is assigned at first.
	initialLoadShare = 0.5
)
