package quota

import (
	"hash/fnv"
	"time"
)

const (
	// rotation is how long the same instances hold the shares of a small quota. It is long enough to save up for a request.
	rotation = 20 * time.Second
	// firstHolders is the number of instances that may send one request at once when they have lost the coordinator. They use what the
	// tolerance leaves for a change of coordinator.
	firstHolders = 8
)

// Shares limits the requests of one instance to its part of the quotas while no coordinator counts them. It is not safe for
// concurrent use.
type Shares struct {
	limits Limits
	// index is the instance's position among count instances. Before the count is known, count is 0 and nothing may be sent.
	index, count int
	// offset is added to the clock of this instance to get a time that is the same on all instances.
	offset time.Duration
	// since is when the shares began to fill.
	since time.Duration
	// first is true if one request may be sent at once: the coordinator that was lost had been there for a Window.
	first   bool
	buckets map[string]*shareBucket

	refusals refusalLog
}

type shareBucket struct {
	bucket
	// turn numbers the rotation in which the bucket was last used.
	turn int64
}

// NewShares returns shares that begin to fill at now.
func NewShares(now time.Duration, limits Limits) *Shares {
	return &Shares{
		limits:  limits,
		since:   now,
		buckets: map[string]*shareBucket{},
	}
}

// SetPlace sets the position of the instance among count instances. offset plus the instance's clock is the same time on all instances
// that had the same coordinator.
func (s *Shares) SetPlace(index, count int, offset time.Duration) {
	s.index, s.count, s.offset = index, count, offset
}

// Reset empties the shares. It is called when a coordinator has been lost, which may have granted all that the quotas allow.
func (s *Shares) Reset(now time.Duration) {
	s.first = now-s.since > Window
	s.since = now
	clear(s.buckets)
}

// bucket returns the bucket of a workspace, nil if this instance has no share at present, and its rate.
func (s *Shares) bucket(now time.Duration, workspace string, rate, burst float64) (b *shareBucket, share float64) {
	if s.count == 0 {
		return nil, 0
	}
	active := holders(rate, burst, s.count)
	start, turn := s.since, int64(0)
	position := s.position(workspace, 0, active)
	if active < s.count {
		at := now + s.offset
		turn = int64(at / rotation)
		if position = s.position(workspace, turn, active); position >= active {
			return nil, 0
		}
		start = max(start, now-at%rotation)
	}
	b = s.buckets[workspace]
	if b == nil || b.turn != turn {
		b = &shareBucket{
			turn: turn,
		}
		b.at = start
		if s.first && start == s.since && position < firstHolders {
			b.level = 1
		}
		s.buckets[workspace] = b
	}
	share = rate / float64(active)
	b.refill(now, share, max(1, capacity(rate, burst)/float64(active)))
	return b, share
}

// position returns the position of the instance in the order in which shares of the workspace's quota are held in a turn.
func (s *Shares) position(workspace string, turn int64, active int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace)) // Writing to a hash never fails.
	count := int64(s.count)
	return int((int64(h.Sum32())%count + turn%count*int64(active) + int64(s.index)) % count)
}

// Reserve reserves a request. If there is no room for it, wait is the time after which there may be.
func (s *Shares) Reserve(now time.Duration, workspace, _ string) (wait time.Duration, ok bool) {
	rate, burst, limited := s.limits(workspace)
	if !limited {
		return 0, true
	}
	b, share := s.bucket(now, workspace, rate, burst)
	if b == nil {
		s.refusals.add(workspace)
		return Window / 2, false
	}
	if wait, ok = b.reserve(now, share); !ok {
		s.refusals.add(workspace)
	}
	return wait, ok
}

// Send counts a reserved request as sent.
func (s *Shares) Send(now time.Duration, workspace, _ string) {
	if b := s.buckets[workspace]; b != nil {
		b.send(now)
	}
}

// Cancel returns the reservation of a request that was not sent.
func (s *Shares) Cancel(workspace, _ string) {
	if b := s.buckets[workspace]; b != nil {
		b.cancel()
	}
}

// Refund takes back a request that was sent and did not run.
func (s *Shares) Refund(workspace, _ string) {
	if b := s.buckets[workspace]; b != nil {
		b.level++ // The next refill keeps it within the capacity.
	}
}
