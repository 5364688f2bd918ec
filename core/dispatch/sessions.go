package dispatch

import "time"

// Sessions keeps the tickets that instances have open in the pools of one coordinator. It is not safe for concurrent use.
type Sessions struct {
	// grace is how long after its deadline a running ticket ends if its instance has not told its end.
	grace time.Duration
	// lastID is the last ID that a pool was given.
	lastID uint64
	// tickets holds the open tickets by their IDs in the pools.
	tickets map[uint64]*sessionTicket
}

// Session is the part of Sessions that belongs to one instance. Its tickets are those of the instance's incarnation, its last start, by
// the IDs that this gives them. What an earlier incarnation has left runs on until it has expired: its requests may still be at
// upstreams.
type Session struct {
	sessions *Sessions
	// send passes the decision on a ticket to the instance.
	send func(id uint64, decision Decision)
	// incarnation is empty until the instance has told it, and for one of an earlier build.
	incarnation string
	tickets     map[uint64]*sessionTicket
}

// sessionTicket is an open ticket.
type sessionTicket struct {
	SessionTicket
	session *Session
	// localID is the instance's ID.
	localID uint64
	// expires is when a running ticket ends at the latest, 0 for one that waits.
	expires time.Duration
	// told is true if the instance has told on its present connection that the ticket is open.
	told bool
}

// SessionTicket tells where an open ticket is.
type SessionTicket struct {
	Service string
	Pool    *Pool
	// ID is the ID in the pool.
	ID uint64
}

// NewSessions returns Sessions without any.
func NewSessions(grace time.Duration) *Sessions {
	return &Sessions{
		grace:   grace,
		tickets: map[uint64]*sessionTicket{},
	}
}

// Open starts the session of an instance. send passes the decision on a ticket to the instance; id is the instance's.
func (s *Sessions) Open(send func(id uint64, decision Decision)) *Session {
	return &Session{
		sessions: s,
		send:     send,
		tickets:  map[uint64]*sessionTicket{},
	}
}

// Len returns the number of open tickets, including those of earlier incarnations.
func (s *Sessions) Len() int { return len(s.tickets) }

// Deliver passes a decision of a pool to the instance that asked for the ticket. A granted ticket that nobody asks for any more is
// canceled.
func (s *Sessions) Deliver(now time.Duration, pool *Pool, decision Decision) {
	t := s.tickets[decision.Ticket.ID]
	if t == nil {
		pool.Cancel(now, decision.Ticket.ID)
		return
	}
	if decision.Upstream == "" {
		t.forget()
	} else {
		t.expires = decision.Ticket.Deadline + s.grace
	}
	t.session.send(t.localID, decision)
}

// Expire ends the running tickets whose ends were not told in time.
func (s *Sessions) Expire(now time.Duration) {
	for _, t := range s.tickets {
		if t.expires != 0 && now > t.expires {
			t.end(now)
		}
	}
}

// Submit submits a ticket under the instance's ID, which is replaced by that of the pool. An open ticket with the same ID has ended.
func (s *Session) Submit(now time.Duration, service string, pool *Pool, ticket *Ticket) {
	if earlier := s.tickets[ticket.ID]; earlier != nil {
		earlier.end(now)
	}
	ticket.ID = s.add(service, pool, ticket.ID).ID
	pool.Submit(now, ticket)
}

func (s *Session) add(service string, pool *Pool, localID uint64) *sessionTicket {
	s.sessions.lastID++
	t := &sessionTicket{
		SessionTicket: SessionTicket{
			Service: service,
			Pool:    pool,
			ID:      s.sessions.lastID,
		},
		session: s,
		localID: localID,
	}
	s.tickets[localID] = t
	s.sessions.tickets[t.ID] = t
	return t
}

// forget removes a ticket that has ended.
func (t *sessionTicket) forget() {
	delete(t.session.sessions.tickets, t.ID)
	if t.session.tickets[t.localID] == t {
		delete(t.session.tickets, t.localID)
	}
}

// end ends a ticket whose outcome is not known.
func (t *sessionTicket) end(now time.Duration) {
	t.forget()
	t.Pool.Cancel(now, t.ID)
}

// Find returns the open ticket with the instance's ID.
func (s *Session) Find(id uint64) (ticket SessionTicket, ok bool) {
	t := s.tickets[id]
	if t == nil {
		return SessionTicket{}, false
	}
	return t.SessionTicket, true
}

// Take returns and removes the open ticket with the instance's ID. The caller ends it in its pool.
func (s *Session) Take(id uint64) (ticket SessionTicket, ok bool) {
	t := s.tickets[id]
	if t == nil {
		return SessionTicket{}, false
	}
	t.forget()
	return t.SessionTicket, true
}

// Disconnect cancels the tickets that wait: the instance submits their requests elsewhere. Running ones go on.
func (s *Session) Disconnect(now time.Duration) {
	for _, t := range s.tickets {
		t.told = false
		if t.expires == 0 {
			t.end(now)
		}
	}
}

// Identify records which incarnation of the instance has connected. What another one has left can't be told by it any more. An instance
// of an earlier build tells none.
func (s *Session) Identify(incarnation string) {
	if s.incarnation != incarnation {
		s.incarnation = incarnation
		s.tickets = map[uint64]*sessionTicket{}
	}
}

// Restore takes over a running ticket that the instance has told, under its own ID, until its deadline at the latest. It reports false if
// the ticket is not running in the pool afterwards.
func (s *Session) Restore(now time.Duration, service string, pool *Pool, ticket OpenTicket, deadline time.Duration) bool {
	t := s.tickets[ticket.ID]
	if t != nil && (t.Pool != pool || !pool.runs(t.ID, ticket)) {
		t.end(now) // It was granted anew, or is that of an earlier start which didn't tell that it was another.
		t = nil
	}
	if ticket.Ended {
		if ticket.ID = 0; t == nil {
			pool.Restore(now, ticket) // It counts for the cold start alone.
		}
		return false
	}
	known := t != nil
	if !known {
		t = s.add(service, pool, ticket.ID)
	}
	ticket.ID = t.ID
	if !known && !pool.Restore(now, ticket) {
		t.forget()
		return false
	}
	t.expires = deadline + s.sessions.grace
	t.told = true
	return true
}

// Complete records that the instance has told all its tickets that hold a slot since it has connected, and those whose responses have
// begun. All others have ended while it was not connected. It returns their number.
func (s *Session) Complete(now time.Duration, answering []uint64) (ended int) {
	if s.incarnation == "" {
		return 0 // An earlier build.
	}
	for _, id := range answering {
		if t := s.tickets[id]; t != nil {
			t.Pool.Vacate(now, t.ID)
			t.told = true
		}
	}
	for _, t := range s.tickets {
		if !t.told && t.expires != 0 {
			t.end(now)
			ended++
		}
	}
	return ended
}
