package dispatch

import "time"

// heldBytes tracks the request bodies that one start of an upstream holds, and what it can hold. An upstream ends when the requests
// that it holds exceed its memory, which it does not tell.
type heldBytes struct {
	// bytes is the size of the bodies of requests that were sent and have not ended, and requests the number of those with a body.
	bytes    int64
	requests int
	// proven is the largest amount that was held when a request was sent that was answered since.
	proven int64
	// ended is true once this start has ended.
	ended bool
}

const (
	// firstHeldBytes is the bound of an upstream that has just started. It exceeds what requests of usual size take.
	firstHeldBytes = 4 << 20
	// heldGrowth is the multiple of the proven amount up to which an upstream is tried.
	heldGrowth = 2
	// crashCeiling is the share, in percent, of the amount under which an upstream ended that upstreams of its service are given for
	// crashCeilingTTL. What the upstream itself had held before says nothing of its next start, but that one is not tried at once with
	// as much as ended the last one: all of a service end in turn otherwise.
	crashCeiling    = 80
	crashCeilingTTL = time.Minute
	// minCrashBytes is the amount from which on it can be the cause of an upstream's end.
	minCrashBytes = 256 << 10
	// maxExcused bounds the excused ends of upstreams that are remembered.
	maxExcused = 256
)

// heldCeiling is the bound that the end of an upstream has taught the service.
type heldCeiling struct {
	bytes int64
	until time.Duration
}

func (h *heldBytes) bound(now time.Duration, ceiling heldCeiling) int64 {
	bound := max(firstHeldBytes, heldGrowth*h.proven)
	if now < ceiling.until {
		bound = min(bound, max(ceiling.bytes, h.proven))
	}
	return bound
}

// mayHold reports whether u may be sent t beside what it holds. A request is never too large for an upstream that holds none.
func (p *Pool) mayHold(now time.Duration, t *Ticket, u *upstream) bool {
	if !p.config.BoundHeldBytes || t.BodyBytes == 0 || u.held.requests == 0 {
		return true
	}
	return u.held.bytes+int64(t.BodyBytes) <= u.held.bound(now, p.heldCeiling)
}

// hold records that u was sent t.
func (u *upstream) hold(t *Ticket) heldTicket {
	if t.BodyBytes == 0 {
		return heldTicket{}
	}
	u.held.bytes += int64(t.BodyBytes)
	u.held.requests++
	return heldTicket{
		by:     u.held,
		bytes:  int64(t.BodyBytes),
		atSend: u.held.bytes,
	}
}

// heldTicket is the part of a running ticket in what its upstream holds. The zero value is that of one without a body.
type heldTicket struct {
	by     *heldBytes
	bytes  int64
	atSend int64
}

// endHeld learns from the end of a ticket. It is called before anything else learns from it.
func (p *Pool) endHeld(now time.Duration, granted assignment, outcome Outcome) {
	h := granted.held.by
	if outcome == Crashed && p.config.BoundHeldBytes {
		p.learnCrash(now, granted.upstream, granted.incarnation, h)
	}
	if h == nil {
		return
	}
	h.bytes -= granted.held.bytes
	h.requests--
	if outcome == Answered || outcome == Erred {
		h.proven = max(h.proven, granted.held.atSend)
	}
}

// learnCrash bounds the upstreams of the service if one has ended with more than it was known to hold. Its requests are not
// suspected then. A request that is the only one with a body stays suspected, and so does one that ends an upstream under less than
// that has held before, to which the bound leads.
func (p *Pool) learnCrash(now time.Duration, u *upstream, incarnation int64, h *heldBytes) {
	if h == nil || h.ended || h.requests < 2 || h.bytes < minCrashBytes || h.bytes <= h.proven {
		return
	}
	h.ended = true
	p.config.Suspects.excuse(u.state.ID, incarnation)
	ceiling := h.bytes * crashCeiling / 100
	if now < p.heldCeiling.until {
		ceiling = min(ceiling, p.heldCeiling.bytes)
	}
	p.heldCeiling = heldCeiling{
		bytes: ceiling,
		until: now + crashCeilingTTL,
	}
}

// excuse forgets that a start of an upstream has ended under its requests, because it ended for lack of memory.
func (s *Suspects) excuse(upstream string, incarnation int64) {
	crash := Crash{
		Upstream:    upstream,
		Incarnation: incarnation,
	}
	if len(s.excused) >= maxExcused {
		s.excused = s.excused[1:]
	}
	s.excused = append(s.excused, crash)
	for fingerprint, entry := range s.entries {
		s.set(fingerprint, withoutStart(entry.crashes, crash))
	}
}

// isExcused reports whether a crash is not the fault of the requests under it.
func (s *Suspects) isExcused(crash Crash) bool {
	for _, excused := range s.excused {
		if crash.sameStart(excused) {
			return true
		}
	}
	return false
}

// withoutStart returns the crashes of other starts of upstreams.
func withoutStart(crashes []Crash, start Crash) []Crash {
	var rest []Crash
	for _, crash := range crashes {
		if !crash.sameStart(start) {
			rest = append(rest, crash)
		}
	}
	return rest
}
