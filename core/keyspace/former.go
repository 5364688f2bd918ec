package keyspace

import (
	"slices"
	"time"
)

// former is an upstream that has given up a range or is to give it up.
type former struct {
	id          string
	incarnation int64
	// left is when the range was assigned to another one.
	left time.Duration
}

// returnPause is the minimum time before a range that is moved for the sake of balance returns to an upstream. Its keys have no owner
// until the work on them has ended, on each way, and the capacities of both upstreams change with the load that has moved.
const returnPause = 4 * time.Second

// recent reports whether f has given up s so recently that it does not get it back for the sake of balance. A holder that waited
// long for the range has it for returnPause too.
func (s *span) recent(now time.Duration, f former) bool {
	return now-max(f.left, s.accepted) < returnPause
}

// gaveUp reports whether the candidate has given up s recently.
func (k *Manager) gaveUp(c *candidate, s *span) bool {
	if c.returns {
		return false
	}
	for _, f := range s.formers {
		if f.id == c.upstream.ID && f.incarnation == c.upstream.Incarnation && s.recent(k.lastPlan, f) {
			return true
		}
	}
	return false
}

// gaveUpAny reports whether the recipient has given up some range of the donor recently.
func (k *Manager) gaveUpAny(recipient, donor *candidate) bool {
	for _, s := range k.spans {
		if s.holder.id == donor.upstream.ID && k.gaveUp(recipient, s) {
			return true
		}
	}
	return false
}

// withoutFormers returns the candidates that have not given up s recently.
func (k *Manager) withoutFormers(candidates []*candidate, s *span) []*candidate {
	var others []*candidate
	for _, c := range candidates {
		if !k.gaveUp(c, s) {
			others = append(others, c)
		}
	}
	return others
}

// formersAfter returns the recent former holders of s once it is assigned to another upstream. One that can't have keys at the moment, for
// example because its zone is evacuated, has not given them up for the sake of balance and gets them back as soon as it can.
func (k *Manager) formersAfter(now time.Duration, s *span, next string) []former {
	var formers []former
	if u := k.upstreams[s.holder.id]; u.Usable && !u.Unreachable && u.Incarnation == s.holder.incarnation {
		formers = append(formers, former{
			id:          s.holder.id,
			incarnation: s.holder.incarnation,
			left:        now,
		})
	}
	for _, f := range s.formers {
		if f.id != next && f.id != s.holder.id && s.recent(now, f) {
			formers = append(formers, f)
		}
	}
	return formers
}

// joinFormers returns the recent former holders of two ranges that become one.
func (k *Manager) joinFormers(a, b *span) []former {
	var joined []former
	for _, s := range []*span{a, b} {
		for _, f := range s.formers {
			if !s.recent(k.lastPlan, f) {
				continue
			}
			same := func(other former) bool { return other.id == f.id && other.incarnation == f.incarnation }
			if at := slices.IndexFunc(joined, same); at >= 0 {
				joined[at].left = max(joined[at].left, f.left)
				continue
			}
			joined = append(joined, f)
		}
	}
	return joined
}
