package admission

import "container/heap"

// queue is a priority queue ordered by class, then deadline, then arrival.
type queue struct {
	requests []*QueuedRequest
}

func (q *queue) Len() int { return len(q.requests) }

func (q *queue) Less(i, j int) bool {
	a, b := q.requests[i], q.requests[j]
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.sequence < b.sequence
}

func (q *queue) Swap(i, j int) { q.requests[i], q.requests[j] = q.requests[j], q.requests[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.requests = append(q.requests, x.(*QueuedRequest)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.requests) - 1
	r := q.requests[last]
	q.requests[last] = nil
	q.requests = q.requests[:last]
	return r
}

func (q *queue) add(r *QueuedRequest) { heap.Push(q, r) }

func (q *queue) first() *QueuedRequest {
	if len(q.requests) == 0 {
		return nil
	}
	return q.requests[0]
}

func (q *queue) take() *QueuedRequest { return heap.Pop(q).(*QueuedRequest) }

// remove removes and returns the request with the given ID, or returns nil.
func (q *queue) remove(id uint64) *QueuedRequest {
	for i, r := range q.requests {
		if r.ID == id {
			heap.Remove(q, i)
			return r
		}
	}
	return nil
}

// lowestPriority returns the request to shed first, the latest arrival of the highest class, or nil.
func (q *queue) lowestPriority() *QueuedRequest {
	var lowest *QueuedRequest
	for _, r := range q.requests {
		if lowest == nil || r.Class > lowest.Class || (r.Class == lowest.Class && r.sequence > lowest.sequence) {
			lowest = r
		}
	}
	return lowest
}

// ahead counts the requests that would be dispatched before r.
func (q *queue) ahead(r *QueuedRequest) int {
	n := 0
	for _, other := range q.requests {
		if other.Class < r.Class || (other.Class == r.Class && other.Deadline <= r.Deadline) {
			n++
		}
	}
	return n
}
