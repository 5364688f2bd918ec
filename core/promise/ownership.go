package promise

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// singleOwner checks that a key has at most one owner at any time. The outcome "owns" grants the hash range from..to to
// a subject until value, a time in microseconds. The outcome "disowns" revokes all ranges of a subject.
type singleOwner struct {
	owned map[string][]ownedRange
}

// ownedRange is a range of key hashes, both ends inclusive, and the time at which its grant expires.
type ownedRange struct {
	from, to uint64
	until    time.Duration
}

func newSingleOwner() *singleOwner {
	return &singleOwner{
		owned: map[string][]ownedRange{},
	}
}

func (c *singleOwner) name() string { return "a key has at most one owner at any time" }

func (c *singleOwner) observe(at time.Duration, o *schema.Outcome) (bool, string) {
	switch o.GetKind() {
	case "disowns":
		delete(c.owned, o.GetSubject())
		return false, ""
	case "owns":
	default:
		return false, ""
	}
	granted := ownedRange{
		from:  o.GetFrom(),
		to:    o.GetTo(),
		until: time.Duration(o.GetValue()) * time.Microsecond,
	}
	if granted.until <= at {
		// A grant that arrives after its expiry, such as at an upstream that was frozen, confers no ownership.
		return true, ""
	}
	c.owned[o.GetSubject()] = append(c.unexpired(o.GetSubject(), at), granted)
	for subject := range c.owned {
		if subject == o.GetSubject() {
			continue
		}
		for _, other := range c.unexpired(subject, at) {
			if other.from <= granted.to && granted.from <= other.to {
				return true, fmt.Sprintf("%s and %s both own hashes from %016x", subject, o.GetSubject(), max(other.from, granted.from))
			}
		}
	}
	return true, ""
}

// unexpired returns the subject's ranges that have not expired.
func (c *singleOwner) unexpired(subject string, at time.Duration) []ownedRange {
	valid := c.owned[subject][:0]
	for _, r := range c.owned[subject] {
		if r.until > at {
			valid = append(valid, r)
		}
	}
	c.owned[subject] = valid
	return valid
}

func (c *singleOwner) end(time.Duration) string { return "" }

// durableAssignment checks that acknowledged assignments survive failures. The outcome "assigned" acknowledges that a
// subject owns the hash range from..to with a fence. A later "owns" of an overlapping range by another subject must have
// a higher fence, or else the assignment was lost.
type durableAssignment struct {
	assigned []assignment
}

type assignment struct {
	subject  string
	from, to uint64
	fence    uint64
}

func newDurableAssignment() *durableAssignment {
	return &durableAssignment{}
}

func (c *durableAssignment) name() string {
	return "an acknowledged assignment survives any tolerated loss"
}

func (c *durableAssignment) observe(_ time.Duration, o *schema.Outcome) (bool, string) {
	next := assignment{
		subject: o.GetSubject(),
		from:    o.GetFrom(),
		to:      o.GetTo(),
		fence:   o.GetFence(),
	}
	switch o.GetKind() {
	case "assigned":
		violation := c.conflict(next)
		c.assigned = append(c.assigned, next)
		return true, violation
	case "owns":
		return len(c.assigned) > 0, c.conflict(next)
	}
	return false, ""
}

// conflict describes how next contradicts an earlier acknowledged assignment, or returns an empty text.
func (c *durableAssignment) conflict(next assignment) string {
	for _, a := range c.assigned {
		overlaps := a.from <= next.to && next.from <= a.to
		if overlaps && a.subject != next.subject && next.fence <= a.fence {
			return fmt.Sprintf("%s has fence %d for hashes that were assigned to %s with fence %d", next.subject, next.fence, a.subject, a.fence)
		}
	}
	return ""
}

func (c *durableAssignment) end(time.Duration) string { return "" }
