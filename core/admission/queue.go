package admission

import "container/heap"

// queue orders tickets by class, then deadline, then arrival.
type queue struct {
	tickets []*QueuedRequest
}

func (q *queue) Len() int { return len(q.tickets) }

func (q *queue) Less(i, j int) bool {
	a, b := q.tickets[i], q.tickets[j]
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.order < b.order
}

func (q *queue) Swap(i, j int) { q.tickets[i], q.tickets[j] = q.tickets[j], q.tickets[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.tickets = append(q.tickets, x.(*QueuedRequest)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.tickets) - 1
	t := q.tickets[last]
	q.tickets[last] = nil
	q.tickets = q.tickets[:last]
	return t
}

func (q *queue) add(t *QueuedRequest) { heap.Push(q, t) }

func (q *queue) first() *QueuedRequest {
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[0]
}

func (q *queue) take() *QueuedRequest { return heap.Pop(q).(*QueuedRequest) }

// remove takes the ticket with id out and returns it, or nil.
func (q *queue) remove(id uint64) *QueuedRequest {
	for i, t := range q.tickets {
		if t.ID == id {
			heap.Remove(q, i)
			return t
		}
	}
	return nil
}

// least returns the ticket that is shed first: the highest class, and the latest arrival in it.
func (q *queue) least() *QueuedRequest {
	var worst *QueuedRequest
	for _, t := range q.tickets {
		if worst == nil || t.Class > worst.Class || (t.Class == worst.Class && t.order > worst.order) {
			worst = t
		}
	}
	return worst
}

// ahead counts the tickets that go before t.
func (q *queue) ahead(t *QueuedRequest) int {
	n := 0
	for _, other := range q.tickets {
		if other.Class < t.Class || (other.Class == t.Class && other.Deadline <= t.Deadline) {
			n++
		}
	}
	return n
}
