package dispatch

import (
	"math"
	"time"
)

const (
	// askedSpan is the span over which the rate of a workspace's requests is averaged, and minAskedSpan the shortest, after its first.
	askedSpan    = 10 * time.Second
	minAskedSpan = 2 * time.Second
	// The usual rate of a workspace follows the rate of its requests: within askedSpan of its first request at once, later slowly, so
	// that a surge of some seconds does not make it larger.
	usualRise = 100 * time.Second
	usualFall = time.Minute
	// neededFactor is the multiple of its usual rate up to which a workspace gets what it was promised.
	neededFactor = 2
	// forgetAfter is how long after its last request a workspace is forgotten.
	forgetAfter = 5 * time.Minute
	// activeSpan is how long after its last request a workspace has a part of the capacity.
	activeSpan = 2 * time.Second
	// fairInterval is the interval at which the parts are computed.
	fairInterval = 100 * time.Millisecond
	// A workspace may exceed its part by fairRequests, or by what it sends in fairTime, before its requests are put back. Otherwise,
	// requests at random times would be put back although they are not too many.
	fairRequests = 8
	fairTime     = 100 * time.Millisecond
	// fairHeadroom is the fraction of the time between the requests of a workspace within its part that must pass between them. With less
	// than 1, workspaces whose rates vary around their parts are not put back.
	fairHeadroom = 0.95
	// maxPutBack bounds the time by which a request is put back. It exceeds the time that requests usually wait.
	maxPutBack = 2 * time.Second
	// minFairWeight is the smallest weight of a workspace as a fraction of the mean.
	minFairWeight = 0.25
)

// fairShares divides the capacity of a pool among workspaces while it is short. The requests of a workspace that exceeds its part are
// ordered as if they had arrived when they would have been within it. Parts are in the ratio of the promised rates, as far as workspaces
// usually need them. Otherwise, large workspaces would have to make room for what small ones were promised and don't use.
type fairShares struct {
	workspaces map[string]*fairShare
	// updatedAt is when the sums were computed.
	updatedAt time.Duration
	// weight and count are the sum of the weights of the active workspaces and their number; rate is the pool's capacity in requests
	// per second.
	weight, rate float64
	count        int
}

type fairShare struct {
	// firstAt is when the first request arrived. asked is the number of requests, of which those long ago count less, at askedAt.
	firstAt, askedAt time.Duration
	asked            float64
	// usual is the usual rate.
	usual float64
	// next is when the next request would be within the part, and lastAt when the last one arrived.
	next, lastAt time.Duration
}

func (f *fairShares) get(now time.Duration, workspace string) *fairShare {
	if f.workspaces == nil {
		f.workspaces = map[string]*fairShare{}
		f.updatedAt = now - fairInterval
	}
	s := f.workspaces[workspace]
	if s == nil {
		s = &fairShare{
			firstAt: now,
			askedAt: now,
			lastAt:  now,
		}
		f.workspaces[workspace] = s
	}
	return s
}

// decay brings the number of requests up to date.
func (s *fairShare) decay(now time.Duration) {
	if now > s.askedAt {
		s.asked *= math.Exp(-(now - s.askedAt).Seconds() / askedSpan.Seconds())
		s.askedAt = now
	}
}

// follow brings the usual rate up to date. It is called at intervals of passed.
func (s *fairShare) follow(now, passed time.Duration) {
	s.decay(now)
	age := now - s.firstAt
	rate := s.asked / (askedSpan.Seconds() * (1 - math.Exp(-max(minAskedSpan, age).Seconds()/askedSpan.Seconds())))
	switch {
	case age <= askedSpan:
		s.usual = rate
	case rate > s.usual:
		s.usual = min(rate, s.usual*(1+passed.Seconds()/usualRise.Seconds()))
	default:
		s.usual += (rate - s.usual) * min(1, passed.Seconds()/usualFall.Seconds())
	}
}

// fairWeight returns the weight of a workspace.
func (p *Pool) fairWeight(workspace string, s *fairShare) float64 {
	weight := neededFactor * s.usual
	if p.config.Promised != nil {
		if rate, _, limited := p.config.Promised(workspace); limited {
			weight = min(weight, rate)
		}
	}
	return weight
}

// updateFair computes the sum of the weights and the capacity, and forgets workspaces without requests.
func (p *Pool) updateFair(now time.Duration) {
	f := &p.fair
	passed := now - f.updatedAt
	f.updatedAt = now
	f.weight, f.count, f.rate = 0, 0, 0
	for workspace, s := range f.workspaces {
		switch {
		case now-s.lastAt <= activeSpan:
			s.follow(now, passed)
			f.weight += p.fairWeight(workspace, s)
			f.count++
		case now-s.lastAt > forgetAfter:
			delete(f.workspaces, workspace)
		}
	}
	for _, u := range p.sorted {
		if u.state.Usable {
			f.rate += u.throughput(p, u.typicalLatency())
		}
	}
}

// putBack returns by how much t is ordered behind tickets that arrive at the same time, and counts t.
func (p *Pool) putBack(now time.Duration, t *Ticket) time.Duration {
	if t.Workspace == "" {
		return 0
	}
	f := &p.fair
	s := f.get(now, t.Workspace)
	s.lastAt = now
	s.decay(now)
	s.asked++
	if now-f.updatedAt >= fairInterval {
		p.updateFair(now)
	}
	if f.count < 2 || f.rate <= 0 || f.weight <= 0 {
		return 0 // There is nobody to share with.
	}
	weight := max(p.fairWeight(t.Workspace, s), minFairWeight*f.weight/float64(f.count))
	gap := time.Duration(fairHeadroom * f.weight / (f.rate * weight) * float64(time.Second))
	tolerance := max(fairRequests*gap, fairTime)
	s.next = min(max(s.next, now), now+tolerance+maxPutBack)
	behind := max(0, s.next-now-tolerance)
	t.fairGap = gap
	s.next += gap
	return behind
}

// uncountFair takes back that t was counted, because it is not sent.
func (p *Pool) uncountFair(t *Ticket) {
	if t.fairGap == 0 {
		return
	}
	if s := p.fair.workspaces[t.Workspace]; s != nil {
		s.next -= t.fairGap
	}
	t.fairGap = 0
}
