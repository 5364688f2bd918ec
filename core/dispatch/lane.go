package dispatch

import (
	"sort"
	"time"
)

// lane is the queue for one upstream, for any upstream, or for keys without an owner, in order of rank. A lane for each owner keeps the
// cost of an event independent of how many requests wait for others.
type lane struct {
	// owner alone may run the lane's tickets; nil for any upstream.
	owner *upstream
	// ownerless is true for the lane of keys without an owner.
	ownerless bool
	tickets   []*Ticket
	// dirty is true while something happened to the lane since it was looked at.
	dirty bool
}

func (l *lane) insert(t *Ticket) {
	at := l.ahead(t.rank)
	l.tickets = append(l.tickets, nil)
	copy(l.tickets[at+1:], l.tickets[at:])
	l.tickets[at] = t
	t.lane = l
}

// ahead returns the number of tickets that go before or with one of rank.
func (l *lane) ahead(rank time.Duration) int {
	return sort.Search(len(l.tickets), func(i int) bool { return l.tickets[i].rank > rank })
}

func (l *lane) remove(t *Ticket) {
	for i, other := range l.tickets {
		if other == t {
			copy(l.tickets[i:], l.tickets[i+1:])
			l.tickets[len(l.tickets)-1] = nil
			l.tickets = l.tickets[:len(l.tickets)-1]
			break
		}
	}
	t.lane = nil
}

// mark notes that a lane is to be looked at.
func (p *Pool) mark(l *lane) {
	if l == nil || l.dirty {
		return
	}
	l.dirty = true
	p.dirty = append(p.dirty, l)
}

// laneOf returns the lane in which t belongs at now.
func (p *Pool) laneOf(now time.Duration, t *Ticket) *lane {
	owner, owned := p.owner(now, t)
	switch {
	case !owned:
		return p.ownerless
	case owner == nil:
		return p.open
	}
	return owner.lane
}

// rehome moves tickets whose key has another owner than when they were queued.
func (p *Pool) rehome(now time.Duration, l *lane) {
	if p.config.Owners == nil {
		return
	}
	for i := 0; i < len(l.tickets); {
		if !p.moved(now, l.tickets[i]) {
			i++
		}
	}
}

// moved puts a waiting ticket into the lane in which it belongs by now, and reports false where it is there already.
func (p *Pool) moved(now time.Duration, t *Ticket) bool {
	right := p.laneOf(now, t)
	if right == t.lane {
		return false
	}
	t.lane.remove(t)
	right.insert(t)
	p.mark(right)
	return true
}

// lanes returns all lanes: those of owners by their upstreams' order, then the shared ones.
func (p *Pool) lanes() []*lane {
	all := make([]*lane, 0, len(p.order)+2)
	for _, u := range p.order {
		if len(u.lane.tickets) > 0 {
			all = append(all, u.lane)
		}
	}
	return append(all, p.ownerless, p.open)
}
