package dispatch

import (
	"sort"
	"time"
)

// queue holds the tickets waiting for one upstream, for any upstream, or for keys without an owner, in order of rank.
// With a queue per owner, the cost of an event does not depend on the number of requests waiting for other owners.
type queue struct {
	// owner is the only upstream that may run the queue's tickets, or nil if any upstream may.
	owner *upstream
	// unowned is true for the queue of tickets whose key has no owner.
	unowned bool
	tickets []*Ticket
	// dirty is true if the queue has changed since it was last processed.
	dirty bool
	// flows describes the tickets by the index of their kind, on services with mixed kinds.
	flows []flow
}

func (q *queue) insert(t *Ticket) {
	at := q.position(t.rank)
	q.tickets = append(q.tickets, nil)
	copy(q.tickets[at+1:], q.tickets[at:])
	q.tickets[at] = t
	t.queue = q
	q.adjustWaiting(t, 1)
}

// position returns the number of tickets ordered before, or equal to, a ticket with the given rank.
func (q *queue) position(rank time.Duration) int {
	return sort.Search(len(q.tickets), func(i int) bool { return q.tickets[i].rank > rank })
}

func (q *queue) remove(t *Ticket) {
	for i, other := range q.tickets {
		if other == t {
			copy(q.tickets[i:], q.tickets[i+1:])
			q.tickets[len(q.tickets)-1] = nil
			q.tickets = q.tickets[:len(q.tickets)-1]
			q.adjustWaiting(t, -1)
			break
		}
	}
	t.queue = nil
}

// markDirty schedules a queue for processing by the next call of Decide.
func (p *Pool) markDirty(q *queue) {
	if q == nil || q.dirty {
		return
	}
	q.dirty = true
	p.dirty = append(p.dirty, q)
}

// queueFor returns the queue that t belongs to at now.
func (p *Pool) queueFor(now time.Duration, t *Ticket) *queue {
	owner, owned := p.owner(now, t)
	switch {
	case !owned:
		return p.unowned
	case owner == nil:
		return p.shared
	}
	return owner.queue
}

// requeueMoved moves the tickets whose key has changed owner to their new queue.
func (p *Pool) requeueMoved(now time.Duration, q *queue) {
	if p.config.Owners == nil {
		return
	}
	for i := 0; i < len(q.tickets); {
		if !p.requeue(now, q.tickets[i]) {
			i++
		}
	}
}

// requeue moves a waiting ticket to the queue it belongs to at now. It returns false if the ticket is already there.
func (p *Pool) requeue(now time.Duration, t *Ticket) bool {
	target := p.queueFor(now, t)
	if target == t.queue {
		return false
	}
	t.queue.remove(t)
	target.insert(t)
	p.markDirty(target)
	return true
}

// queues returns the non-empty queues of the upstreams in the order of their IDs, followed by the unowned and the shared
// queue. The result is valid until the next call.
func (p *Pool) queues() []*queue {
	all := p.queueBuffer[:0]
	for _, u := range p.sorted {
		if len(u.queue.tickets) > 0 {
			all = append(all, u.queue)
		}
	}
	p.queueBuffer = append(all, p.unowned, p.shared)
	return p.queueBuffer
}
