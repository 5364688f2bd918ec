// Package authority decides whether an instance may act as the coordinator, and when another one may take over. The
// argument stands in docs/design/operators-platform.md.
package authority

import "time"

const (
	// LeaseDuration is how long a renewal of the lease, or an acknowledgement of all, allows the coordinator to act, counted
	// from when it was sent. Three renewals fit in, so one lost answer does no harm.
	LeaseDuration = 1200 * time.Millisecond
	// TakeoverDelay is how long the lease must stand still and the coordinator be silent before another instance takes it: Lasting with
	// 2% for clocks that run at different rates, and a pause of the process between its look at the clock and its write.
	TakeoverDelay = 1500 * time.Millisecond
	// RenewInterval is the time between renewals: a third of Lasting.
	RenewInterval = 400 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats of the coordinator: a sixth of Lasting.
	HeartbeatInterval = 200 * time.Millisecond
)

// Leadership is the coordinator's own right to act.
type Leadership struct {
	// stored is when the last successful write of the lease was sent.
	stored time.Duration
	// refusedSince is when the store began to fail, 0 while it answers.
	refusedSince time.Duration
	// members are the registered instances other than this one.
	members map[string]*member
	// resigned is set once and stays.
	resigned bool
}

type member struct {
	// acknowledged is when the newest heartbeat that it acknowledged was sent, 0 for none.
	acknowledged time.Duration
	storeReached bool
}

// NewLeadership returns the right that follows from a write of the lease sent at sent.
func NewLeadership(sent time.Duration) *Leadership {
	return &Leadership{
		stored:  sent,
		members: map[string]*member{},
	}
}

// SetMembers tells which other instances are registered, by name.
func (l *Leadership) SetMembers(names []string) {
	next := map[string]*member{}
	for _, name := range names {
		next[name] = l.members[name]
		if next[name] == nil {
			next[name] = &member{}
		}
	}
	l.members = next
}

// Renewed notes a successful write of the lease that was sent at sent.
func (l *Leadership) Renewed(sent time.Duration) {
	l.stored = max(l.stored, sent)
	l.refusedSince = 0
}

// RenewalFailed notes that the store did not take a write at now.
func (l *Leadership) RenewalFailed(now time.Duration) {
	if l.refusedSince == 0 {
		l.refusedSince = now
	}
}

// StoreFailing reports whether the store did not take the last write.
func (l *Leadership) StoreFailing() bool {
	return l.refusedSince != 0
}

// Acknowledged notes that a member acknowledged the heartbeat sent at sent.
func (l *Leadership) Acknowledged(name string, sent time.Duration, storeReached bool) {
	if m := l.members[name]; m != nil && sent >= m.acknowledged {
		m.acknowledged = sent
		m.storeReached = storeReached
	}
}

// Resign ends the right for good.
func (l *Leadership) Resign() {
	l.resigned = true
}

// ValidUntil returns when the right ends if nothing more is heard; it may be past.
func (l *Leadership) ValidUntil() time.Duration {
	if l.resigned {
		return 0
	}
	return max(l.stored, l.oldestAcknowledged()) + LeaseDuration
}

func (l *Leadership) oldestAcknowledged() time.Duration {
	if len(l.members) == 0 {
		return 0
	}
	oldest := time.Duration(1<<63 - 1)
	for _, m := range l.members {
		oldest = min(oldest, m.acknowledged)
	}
	return oldest
}

// Valid reports whether the instance may act at now.
func (l *Leadership) Valid(now time.Duration) bool {
	return now < l.ValidUntil()
}

// resignAfter is how long the store must fail here while others reach it before the coordinator hands over: longer
// than one slow answer.
const resignAfter = 700 * time.Millisecond

// ShouldResign reports whether another instance would do better: the store fails here and answers there.
func (l *Leadership) ShouldResign(now time.Duration) bool {
	if l.refusedSince == 0 || now-l.refusedSince < resignAfter {
		return false
	}
	for _, m := range l.members {
		if m.storeReached && now-m.acknowledged < LeaseDuration {
			return true
		}
	}
	return false
}

// Monitor is another instance's view of the coordinator.
type Monitor struct {
	// heard is when it last acknowledged a heartbeat of a coordinator that acts.
	heard time.Duration
	// version is that of the lease as last read, and since when it stood at that version.
	version uint64
	since   time.Duration
	known   bool
	// failing is true while the lease can't be read, and back when it could be again.
	failing bool
	back    time.Duration
	// term is the lease's as last read, and resigned the newest term whose holder said that it stopped, 0 for none.
	term, resigned uint64
}

// NewMonitor returns a watch that begins at now.
func NewMonitor(now time.Duration) *Monitor {
	return &Monitor{
		heard: now,
	}
}

// HeartbeatReceived notes the acknowledgement of a heartbeat of a coordinator that acts, and the lease's version and term that it told: the lease
// stood there no earlier than that, so the time from then on counts as silence.
func (w *Monitor) HeartbeatReceived(now time.Duration, version, term uint64) {
	w.heard = now
	w.known = true
	w.version = version
	w.term = term
	w.since = now
}

// CoordinatorResigned notes that the holder of the lease of a term stopped for good.
func (w *Monitor) CoordinatorResigned(term uint64) {
	w.resigned = max(w.resigned, term)
}

// ShouldReadLease reports whether the lease should be read: the coordinator is silent. rank spreads the instances, so that
// not all read and write at once.
func (w *Monitor) ShouldReadLease(now time.Duration, rank int) bool {
	if w.resigned > w.term {
		return true
	}
	return now-w.heard > 2*HeartbeatInterval+time.Duration(rank)*HeartbeatInterval/4
}

// LeaseReadFailed notes that the store did not tell the lease.
func (w *Monitor) LeaseReadFailed() {
	w.failing = true
}

// LeaseRead notes the lease's version and term, 0 for none, in an answer to a read that was sent at sent.
func (w *Monitor) LeaseRead(sent time.Duration, version, term uint64) {
	if w.failing {
		w.failing = false
		w.back = sent
	}
	if w.known && version == w.version {
		return
	}
	w.known = true
	w.version = version
	w.term = term
	w.since = sent
}

// NextLeaseRead returns when it is of use to read the lease again.
func (w *Monitor) NextLeaseRead(rank int) time.Duration {
	if !w.known {
		return 0
	}
	return max(w.since+takeAfter(rank), w.turn(rank))
}

// turn returns when the instance may take the lease after the store was away, when all have been waiting for long enough.
func (w *Monitor) turn(rank int) time.Duration {
	if w.back == 0 {
		return 0
	}
	return w.back + time.Duration(rank)*HeartbeatInterval/4
}

// takeAfter spreads the instances, so that the first one's write is seen by the others.
func takeAfter(rank int) time.Duration {
	return TakeoverDelay + time.Duration(rank)*HeartbeatInterval/4
}

// CanTakeLease reports whether the lease at the version last read may be taken at now by compare-and-set.
func (w *Monitor) CanTakeLease(now time.Duration, rank int) (version uint64, ok bool) {
	if !w.known {
		return 0, false
	}
	if w.version == 0 || (w.resigned != 0 && w.term == w.resigned) {
		return w.version, true
	}
	if now < w.turn(rank) {
		return 0, false
	}
	wait := takeAfter(rank)
	return w.version, now-w.since >= wait && now-w.heard >= wait
}
