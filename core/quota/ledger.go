package quota

import "time"

// lostReserve is how long the share of an instance is reserved after its row was removed because it could not be reached. It may
// still serve callers.
const lostReserve = 30 * time.Second

// Ledger counts the requests of all instances at the coordinator, for the pools of all services. Its buckets start empty: what was
// sent before is unknown until all instances have reported. It is not safe for concurrent use.
type Ledger struct {
	limits Limits
	start  time.Duration
	// changedAt is when a member last joined or left.
	changedAt time.Duration
	// members are the registered instances, and those lost less than lostReserve ago.
	members map[string]*member
	// absent is the number of members that use their own shares.
	absent  int
	buckets map[string]*bucket
	// history counts the requests that instances have reported and that were sent since the start. It is nil once the levels are known.
	history map[string]*counts
	// complete is true once all instances have reported before the end of the first Window.
	complete bool
	refusals refusalLog
}

type member struct {
	// connected is true while the instance is connected, and joined once it has then reported what it has sent. One of the previous build
	// never reports, and has no workspaces.
	connected, joined bool
	// reported is true if a report of the instance covers the Window before it.
	reported bool
	// removedAt is when its row was removed, 0 if it is registered.
	removedAt time.Duration
}

// NewLedger returns a ledger without members.
func NewLedger(now time.Duration, limits Limits) *Ledger {
	return &Ledger{
		limits:    limits,
		start:     now,
		changedAt: now,
		members:   map[string]*member{},
		buckets:   map[string]*bucket{},
		history:   map[string]*counts{},
	}
}

// SetMembers sets the names of the registered instances.
func (l *Ledger) SetMembers(now time.Duration, names []string) {
	l.refillAll(now)
	registered := make(map[string]bool, len(names))
	for _, name := range names {
		registered[name] = true
		if l.members[name] == nil {
			l.members[name] = &member{}
		}
		l.members[name].removedAt = 0
	}
	for name, m := range l.members {
		switch {
		case registered[name]:
		case m.removedAt == 0:
			m.connected, m.joined, m.removedAt = false, false, now
		}
	}
	l.countAbsent(now)
}

// ForgetLost ends the reservation for instances that were lost long ago.
func (l *Ledger) ForgetLost(now time.Duration) {
	for name, m := range l.members {
		if m.removedAt != 0 && now-m.removedAt > lostReserve {
			l.refillAll(now)
			delete(l.members, name)
			l.countAbsent(now)
		}
	}
}

// Counts reports whether the requests of a workspace are counted.
func (l *Ledger) Counts(workspace string) bool {
	if workspace == "" {
		return false
	}
	_, _, limited := l.limits(workspace)
	return limited
}

// Connect records that an instance is connected. It no longer uses its share.
func (l *Ledger) Connect(now time.Duration, name string) {
	m := l.members[name]
	if m == nil || m.connected {
		return
	}
	l.refillAll(now)
	m.connected = true
	l.countAbsent(now)
}

// Join records that an instance is connected and what it has sent: the number of requests in each span by workspace, newest first.
// counted is how long it has counted.
func (l *Ledger) Join(now time.Duration, name string, counted time.Duration, usage map[string][]uint32) {
	m := l.members[name]
	if m == nil {
		return
	}
	l.refillAll(now)
	m.connected, m.joined = true, true
	if l.history != nil && !m.reported {
		// What this coordinator granted is not in the first report of an instance: it comes before its first request.
		for workspace, sent := range usage {
			c := l.historyOf(now, workspace)
			for age, n := range sent {
				c.add(age, n)
			}
		}
		m.reported = counted >= Window
	}
	l.countAbsent(now)
}

// Leave records that an instance is no longer connected. It then uses its share.
func (l *Ledger) Leave(now time.Duration, name string) {
	m := l.members[name]
	if m == nil || !m.connected {
		return
	}
	l.refillAll(now)
	m.connected, m.joined = false, false
	l.countAbsent(now)
}

func (l *Ledger) historyOf(now time.Duration, workspace string) *counts {
	c := l.history[workspace]
	if c == nil {
		c = &counts{}
		l.history[workspace] = c
	}
	c.advance(now)
	return c
}

// refillAll brings all buckets up to date before the members change.
func (l *Ledger) refillAll(now time.Duration) {
	for workspace, b := range l.buckets {
		if rate, burst, limited := l.limits(workspace); limited {
			l.refill(now, b, rate, burst)
		}
	}
}

func (l *Ledger) refill(now time.Duration, b *bucket, rate, burst float64) {
	part := l.part(rate, burst)
	b.refill(now, rate*part, max(1, capacity(rate, burst)*part))
}

// part returns the fraction of a quota that is not reserved for absent instances. If a quota is too small for all instances to have
// shares, all that have one may be absent; the coordinator then uses what the tolerance leaves.
func (l *Ledger) part(rate, burst float64) float64 {
	if l.absent == 0 {
		return 1
	}
	active := holders(rate, burst, len(l.members))
	part := max(0, 1-float64(l.absent)/float64(active))
	if active < len(l.members) {
		left := bound(rate, burst) - rate*Window.Seconds() - float64(active)
		part = max(part, left/(rate*Window.Seconds()+capacity(rate, burst)))
	}
	return part
}

func (l *Ledger) countAbsent(now time.Duration) {
	l.absent, l.changedAt = 0, now
	known := len(l.members) > 0
	for _, m := range l.members {
		if !m.connected {
			l.absent++
		}
		known = known && m.reported
	}
	switch {
	case l.history == nil:
	case now-l.start > Window:
		l.history = nil
	case known:
		l.restoreLevels(now)
	}
}

// restoreLevels sets the levels of the buckets once it is known what was sent in the last Window.
func (l *Ledger) restoreLevels(now time.Duration) {
	history := l.history
	l.history = nil
	for workspace, c := range history {
		rate, burst, limited := l.limits(workspace)
		if !limited {
			continue
		}
		b := l.bucket(now, workspace, rate, burst)
		c.advance(now)
		total, excess := 0.0, 0.0
		for age, n := range c.list() {
			total += float64(n)
			excess = max(excess, total-rate*(time.Duration(max(0, age-1))*Span).Seconds())
		}
		b.level = max(b.level, capacity(rate, burst)-excess)
		l.refill(now, b, rate, burst)
	}
	for workspace, b := range l.buckets {
		if rate, burst, limited := l.limits(workspace); limited && history[workspace] == nil {
			b.level = capacity(rate, burst)
			l.refill(now, b, rate, burst)
		}
	}
	l.complete = true
}

// bucket returns the bucket of a workspace, up to date.
func (l *Ledger) bucket(now time.Duration, workspace string, rate, burst float64) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{
			at: l.changedAt, // Members that joined later have used their shares before.
		}
		if l.complete {
			b.level = capacity(rate, burst)
		}
		l.buckets[workspace] = b
	}
	l.refill(now, b, rate, burst)
	return b
}

// Reserve reserves a request of an instance. If there is no room for it, wait is the time after which there may be.
func (l *Ledger) Reserve(now time.Duration, workspace, instance string) (wait time.Duration, ok bool) {
	rate, burst, limited := l.limits(workspace)
	if !limited {
		return 0, true
	}
	if m := l.members[instance]; m == nil || !m.joined {
		l.refusals.add(workspace)
		return Window / 2, false // It reports before its first request, unless it is of the previous build.
	}
	wait, ok = l.bucket(now, workspace, rate, burst).reserve(now, rate*l.part(rate, burst))
	if !ok {
		l.refusals.add(workspace)
	}
	return wait, ok
}

// Send counts a reserved request as sent.
func (l *Ledger) Send(now time.Duration, workspace, _ string) {
	b := l.buckets[workspace]
	if b == nil {
		return // It has no limit.
	}
	b.send(now)
	if l.history != nil {
		l.historyOf(now, workspace).add(0, 1)
	}
}

// Cancel returns the reservation of a request that was not sent.
func (l *Ledger) Cancel(workspace, _ string) {
	if b := l.buckets[workspace]; b != nil {
		b.cancel()
	}
}

// Refund takes back a request that was sent and did not run.
func (l *Ledger) Refund(workspace, _ string) {
	if b := l.buckets[workspace]; b != nil {
		b.level++ // The next refill keeps it within the capacity.
	}
}
