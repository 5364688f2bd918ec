// Package authority decides whether an instance may act as the coordinator, and when another instance may take over.
// docs/design/operators-platform.md explains why there are never two coordinators.
package authority

import "time"

const (
	// LeaseDuration is how long a renewal of the lease, or acknowledgements by all members, allow the coordinator to
	// act, counted from when the message was sent. It spans three renewals, so a single lost answer has no effect.
	LeaseDuration = 1200 * time.Millisecond
	// TakeoverDelay is how long the lease must be unchanged and the coordinator silent before another instance takes
	// over. It is LeaseDuration plus 2% for clock drift and time for a pause of the process between reading its clock
	// and writing.
	TakeoverDelay = 1500 * time.Millisecond
	// RenewInterval is the time between lease renewals, a third of LeaseDuration.
	RenewInterval = 400 * time.Millisecond
	// HeartbeatInterval is the time between the coordinator's heartbeats, a sixth of LeaseDuration.
	HeartbeatInterval = 200 * time.Millisecond
)

// Leadership tracks whether the coordinator itself may still act.
type Leadership struct {
	// renewedAt is when the last successful write of the lease was sent.
	renewedAt time.Duration
	// failingSince is when the store started to fail, 0 while it works.
	failingSince time.Duration
	// pathsLostSince is when the coordinator lost its paths to upstreams that hold keys, 0 while it has them.
	pathsLostSince time.Duration
	// startedAt is when the lease was taken. behindSince is since when the coordinator's tables are older than those of a member.
	startedAt, behindSince time.Duration
	behind                 bool
	// members are the other registered instances.
	members map[string]*member
	// resigned is permanent once set.
	resigned bool
}

type member struct {
	// lastAcknowledged is when the newest acknowledged heartbeat was sent, 0 if there is none.
	lastAcknowledged time.Duration
	// storeReached is true while the store responds to the member, since reachedSince.
	storeReached bool
	reachedSince time.Duration
	// reachesUpstreams is true if the member has the paths that the coordinator has lost.
	reachesUpstreams bool
}

// NewLeadership returns the leadership acquired by a write of the lease that was sent at sent.
func NewLeadership(sent time.Duration) *Leadership {
	return &Leadership{
		renewedAt: sent,
		startedAt: sent,
		members:   map[string]*member{},
	}
}

// SetMembers sets the names of the other registered instances.
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

// Renewed records a successful write of the lease that was sent at sent.
func (l *Leadership) Renewed(sent time.Duration) {
	l.renewedAt = max(l.renewedAt, sent)
	l.failingSince = 0
}

// RenewalFailed records that the store failed to write the lease at now.
func (l *Leadership) RenewalFailed(now time.Duration) {
	if l.failingSince == 0 {
		l.failingSince = now
	}
}

// StoreFailing returns since when writes of the lease fail. failing is false if the last one succeeded.
func (l *Leadership) StoreFailing() (since time.Duration, failing bool) {
	return l.failingSince, l.failingSince != 0
}

// Acknowledged records that a member acknowledged the heartbeat sent at sent.
func (l *Leadership) Acknowledged(name string, sent time.Duration, storeReached bool) {
	if m := l.members[name]; m != nil && sent >= m.lastAcknowledged {
		m.lastAcknowledged = sent
		if storeReached && !m.storeReached {
			m.reachedSince = sent
		}
		m.storeReached = storeReached
	}
}

// PathsLost records whether the coordinator has lost its paths to upstreams that hold keys.
func (l *Leadership) PathsLost(now time.Duration, lost bool) {
	switch {
	case !lost:
		l.pathsLostSince = 0
	case l.pathsLostSince == 0:
		l.pathsLostSince = now
	}
}

// MemberPaths records whether a member has the paths that the coordinator has lost.
func (l *Leadership) MemberPaths(name string, reachesUpstreams bool) {
	if m := l.members[name]; m != nil {
		m.reachesUpstreams = reachesUpstreams
	}
}

// TablesBehind records whether the coordinator's tables are older than those of a member although it has asked for the rows, and since
// when.
func (l *Leadership) TablesBehind(since time.Duration, behind bool) {
	l.behindSince, l.behind = since, behind
}

// Resign ends the leadership permanently.
func (l *Leadership) Resign() {
	l.resigned = true
}

// ValidUntil returns when the leadership expires unless it is extended. The time may be in the past.
func (l *Leadership) ValidUntil() time.Duration {
	if l.resigned {
		return 0
	}
	return max(l.renewedAt, l.oldestAcknowledged()) + LeaseDuration
}

func (l *Leadership) oldestAcknowledged() time.Duration {
	if len(l.members) == 0 {
		return 0
	}
	oldest := time.Duration(1<<63 - 1)
	for _, m := range l.members {
		oldest = min(oldest, m.lastAcknowledged)
	}
	return oldest
}

// Valid reports whether the instance may act as the coordinator at now.
func (l *Leadership) Valid(now time.Duration) bool {
	if l.resigned {
		return false
	}
	// The members are looked at only without a recent renewal: there may be hundreds, and this is asked before each event.
	return now < l.renewedAt+LeaseDuration || now < l.ValidUntil()
}

// termsPerEra is the number of terms that each era of the store has. Terms and fences of a later era are higher than all of earlier
// ones, also than those that were lost with changes of the store.
const termsPerEra = 1 << 32

// NextTerm returns the term with which to replace a lease of the given term and version that was read in an era of the store. A lease of
// an earlier era may have been written late, over one of this era. The version then tells that no term is given out twice: it
// rises with each lease, and only one can replace it.
func NextTerm(term, era, version uint64) uint64 {
	if first := era * termsPerEra; term < first {
		return first + version + 1
	}
	return term + 1
}

// Monitor tracks the coordinator from the point of view of another instance.
type Monitor struct {
	// lastHeartbeat is when the instance last acknowledged a heartbeat of an active coordinator.
	lastHeartbeat time.Duration
	// leaseVersion is the last known lease version, and versionSince is when this instance first saw it: when the read
	// was answered or the heartbeat arrived. It was written before then.
	leaseVersion uint64
	versionSince time.Duration
	leaseKnown   bool
	// readAt is when the lease was last read.
	readAt time.Duration
	// readFailing is true while the lease cannot be read, and readRecovered is when reading last started to work again.
	readFailing   bool
	readRecovered time.Duration
	// leaseTerm is the last known term of the lease. resignedTerm is the newest term whose holder has resigned, 0 if
	// there is none, and resignedAt is when this instance learned of it.
	leaseTerm, resignedTerm uint64
	resignedAt              time.Duration
	// era is the newest known era of the store.
	era uint64
}

// NewMonitor returns a monitor that starts at now.
func NewMonitor(now time.Duration) *Monitor {
	return &Monitor{
		lastHeartbeat: now,
	}
}

// HeartbeatReceived records the acknowledgement of a heartbeat from an active coordinator, and the lease version and
// term it contains, of an era of the store. That version was written before now, so the takeover delay may count from now.
func (m *Monitor) HeartbeatReceived(now time.Duration, era, leaseVersion, leaseTerm uint64) {
	m.lastHeartbeat = now
	if era < m.era {
		return // The coordinator doesn't know yet that its lease is lost.
	}
	m.EraChanged(era)
	m.leaseKnown = true
	m.leaseVersion = leaseVersion
	m.leaseTerm = leaseTerm
	m.versionSince = now
}

// CoordinatorResigned records at now that the holder of the lease in the given term has resigned.
func (m *Monitor) CoordinatorResigned(now time.Duration, term uint64) {
	if term > m.resignedTerm {
		m.resignedTerm = term
		m.resignedAt = now
	}
}

// resigned reports whether the holder of the lease, as far as known, has resigned.
func (m *Monitor) resigned() bool {
	return m.resignedTerm != 0 && m.resignedTerm >= m.leaseTerm
}

// lastHolderResigned reports whether the known lease is that of the last coordinator, who has resigned. That of an earlier era may have
// been written late, over the lease of a successor.
func (m *Monitor) lastHolderResigned() bool {
	return m.resigned() && m.leaseTerm == m.resignedTerm && m.leaseTerm >= m.era*termsPerEra
}

// ShouldReadLease reports whether to read the lease because the coordinator is silent or has resigned. rank staggers
// the instances, so that they do not all read and write at once.
func (m *Monitor) ShouldReadLease(now time.Duration, rank int) bool {
	if m.resigned() {
		return now >= m.resignedAt+rankDelay(rank)
	}
	return now-m.lastHeartbeat > 2*HeartbeatInterval+rankDelay(rank)
}

// LeaseReadFailed records a failure to read the lease.
func (m *Monitor) LeaseReadFailed() {
	m.readFailing = true
}

// LeaseRead records the lease's version, 0 if there is no lease, and term, as returned by a read that was answered at
// answered. The store may have executed the read at any time before, so the version may be younger than the read.
func (m *Monitor) LeaseRead(answered time.Duration, leaseVersion, leaseTerm uint64) {
	m.readAt = answered
	if m.readFailing {
		m.readFailing = false
		m.readRecovered = answered
	}
	if m.leaseKnown && leaseVersion == m.leaseVersion {
		return
	}
	m.leaseKnown = true
	m.leaseVersion = leaseVersion
	m.leaseTerm = leaseTerm
	m.versionSince = answered
}

// EraChanged records that the store has come back from an older copy. Versions read before may be given out again, so that an unchanged
// one says nothing.
func (m *Monitor) EraChanged(era uint64) {
	if era <= m.era {
		return
	}
	m.era = era
	m.leaseKnown = false
}

// maxEarlyReaders is about how many instances read the lease as soon as the coordinator is silent, if all come first in the order of
// takeover.
const maxEarlyReaders = 64

// readsEarly reports whether an instance of a rank is among them, of a number of instances.
func readsEarly(rank, instances int) bool {
	return First(rank) && rank < max(1, rankCount*maxEarlyReaders/max(1, instances))
}

// NextLeaseRead returns the earliest time at which reading the lease again may allow a takeover, then or later. The last heartbeats may
// not have told the last renewal. Whoever finds that out when the coordinator falls silent needs not wait for another takeover delay. Of
// many instances, only some look.
func (m *Monitor) NextLeaseRead(rank, instances int) time.Duration {
	if !m.leaseKnown || m.resigned() || (readsEarly(rank, instances) && m.readAt <= m.lastHeartbeat) {
		return 0
	}
	return max(m.versionSince+rankedTakeoverDelay(rank), m.earliestTakeover(rank))
}

// earliestTakeover returns the earliest time at which the instance may take the lease after a failure of the store. By
// then the takeover delay of every instance has passed, so they must be staggered again.
func (m *Monitor) earliestTakeover(rank int) time.Duration {
	if m.readRecovered == 0 {
		return 0
	}
	return m.readRecovered + rankDelay(rank)
}

// rankDelay staggers the instances, so that the others see the write of the first one.
func rankDelay(rank int) time.Duration {
	return time.Duration(rank) * HeartbeatInterval / 4
}

func rankedTakeoverDelay(rank int) time.Duration {
	return TakeoverDelay + rankDelay(rank)
}

// CanTakeLease reports whether the instance may take the lease at now, by a compare-and-set on the returned version.
func (m *Monitor) CanTakeLease(now time.Duration, rank int) (leaseVersion uint64, ok bool) {
	if !m.leaseKnown {
		return 0, false
	}
	// A store that tells its era may have lost the first lease.
	if (m.leaseVersion == 0 && m.era == 0) || m.lastHolderResigned() {
		return m.leaseVersion, true
	}
	if now < m.earliestTakeover(rank) {
		return 0, false
	}
	wait := rankedTakeoverDelay(rank)
	return m.leaseVersion, now-m.versionSince >= wait && now-m.lastHeartbeat >= wait
}
