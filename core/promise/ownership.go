package promise

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// soleOwner: a key has at most one owner at any time. "owns" gives a subject the range from..to until value, in
// microseconds; "disowns" takes all of a subject's ranges.
type soleOwner struct {
	owned map[string][]ownedRange
}

type ownedRange struct {
	from, to uint64
	until    time.Duration
}

func newSoleOwner() *soleOwner {
	return &soleOwner{
		owned: map[string][]ownedRange{},
	}
}

func (c *soleOwner) name() string { return "a key has at most one owner at any time" }

func (c *soleOwner) see(at time.Duration, o *schema.Outcome) (bool, string) {
	switch o.GetKind() {
	case "disowns":
		delete(c.owned, o.GetSubject())
		return false, ""
	case "owns":
	default:
		return false, ""
	}
	mine := ownedRange{
		from:  o.GetFrom(),
		to:    o.GetTo(),
		until: time.Duration(o.GetValue()) * time.Microsecond,
	}
	if mine.until <= at {
		// A grant that came after its end, as to an upstream that was frozen, gives nothing.
		return true, ""
	}
	c.owned[o.GetSubject()] = append(c.current(o.GetSubject(), at), mine)
	for subject := range c.owned {
		if subject == o.GetSubject() {
			continue
		}
		for _, other := range c.current(subject, at) {
			if other.from <= mine.to && mine.from <= other.to {
				return true, fmt.Sprintf("%s and %s both own hashes from %016x", subject, o.GetSubject(), max(other.from, mine.from))
			}
		}
	}
	return true, ""
}

// current returns the subject's ranges that have not lapsed.
func (c *soleOwner) current(subject string, at time.Duration) []ownedRange {
	kept := c.owned[subject][:0]
	for _, r := range c.owned[subject] {
		if r.until > at {
			kept = append(kept, r)
		}
	}
	c.owned[subject] = kept
	return kept
}

func (c *soleOwner) end(time.Duration) string { return "" }

// survives: an acknowledged assignment survives. "assigned" acknowledges that subject owns from..to with fence; a later
// "owns" of a part of it by another subject must have a higher fence, or else the assignment was lost.
type survives struct {
	assigned []assignment
}

type assignment struct {
	subject  string
	from, to uint64
	fence    uint64
}

func newSurvives() *survives {
	return &survives{}
}

func (c *survives) name() string { return "an acknowledged assignment survives any tolerated loss" }

func (c *survives) see(_ time.Duration, o *schema.Outcome) (bool, string) {
	next := assignment{
		subject: o.GetSubject(),
		from:    o.GetFrom(),
		to:      o.GetTo(),
		fence:   o.GetFence(),
	}
	switch o.GetKind() {
	case "assigned":
		broken := c.conflict(next)
		c.assigned = append(c.assigned, next)
		return true, broken
	case "owns":
		return len(c.assigned) > 0, c.conflict(next)
	}
	return false, ""
}

func (c *survives) conflict(next assignment) string {
	for _, a := range c.assigned {
		overlaps := a.from <= next.to && next.from <= a.to
		if overlaps && a.subject != next.subject && next.fence <= a.fence {
			return fmt.Sprintf("%s has fence %d for hashes that were assigned to %s with fence %d", next.subject, next.fence, a.subject, a.fence)
		}
	}
	return ""
}

func (c *survives) end(time.Duration) string { return "" }
