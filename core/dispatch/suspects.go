package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cuminlift/core/request"
)

// Crash is the end of one start of an upstream while it ran a request.
type Crash struct {
	Upstream    string
	Incarnation int64
	// Sent is when the request was sent, and Ended when the upstream was found to have ended.
	Sent, Ended time.Duration
}

// Suspicion holds the crashes of the upstreams that ran requests with a fingerprint. Without crashes it tells that the
// request has been cleared.
type Suspicion struct {
	Fingerprint uint64
	Crashes     []Crash
}

const (
	// crashesBeforeQuarantine is the number of crashes, one after the other, after which a request is rejected.
	crashesBeforeQuarantine = 3
	// firstQuarantine is how long it is rejected. Then it is tried once; each further crash multiplies the time by
	// quarantineGrowth, up to maxQuarantine.
	firstQuarantine  = 10 * time.Second
	quarantineGrowth = 6
	maxQuarantine    = time.Hour
	// crashMemory is how long after its quarantine, or its last crash, a request stays suspected.
	crashMemory = 10 * time.Minute
	// maxSuspects bounds the fingerprints, and maxCrashes the crashes of each.
	maxSuspects = 4096
	maxCrashes  = 8
	// trialWait is the Retry-After of a request whose trial has to wait for a coordinator.
	trialWait = time.Second
	// announcedCrashes is the number of crashes from which on all instances are told. Of fewer, only the one that has seen them knows.
	announcedCrashes = 2
)

// Suspects knows the requests that were at work at upstreams that crashed. Most of them are innocent: they ran beside the one
// that is the cause, or the upstream ended for another reason. A suspect is therefore tried by one upstream at a time, and each
// upstream tries one suspect at a time, until it is answered or has crashed several upstreams one after the other. Crashes that
// overlap, as when many upstreams end at once, count as one. The zero value is empty. It is not safe for concurrent use.
type Suspects struct {
	entries map[uint64]*suspect
	// trials counts the suspects in progress by fingerprint.
	trials map[uint64]int
	// changed holds the fingerprints that have changed since the last call of TakeAnnouncements.
	changed map[uint64]bool
	// excused holds the starts of upstreams that ended for lack of memory, the latest last.
	excused []Crash
}

type suspect struct {
	// crashes are ordered by Ended.
	crashes   []Crash
	announced bool
}

// Record records that an upstream crashed while it ran a request.
func (s *Suspects) Record(now time.Duration, id request.Identity, crash Crash) {
	for _, fingerprint := range fingerprints(id) {
		s.add(now, fingerprint, []Crash{crash})
	}
}

// Answered records that an upstream has answered a request that was sent to it at sent. Neither has the request crashed it, nor had
// it crashed before.
func (s *Suspects) Answered(id request.Identity, upstream string, incarnation int64, sent time.Duration) {
	if len(s.entries) == 0 {
		return
	}
	for _, fingerprint := range fingerprints(id) {
		s.set(fingerprint, nil)
	}
	for fingerprint, entry := range s.entries {
		alive := func(c Crash) bool {
			return c.Upstream == upstream && c.Incarnation == incarnation && c.Ended <= sent
		}
		if slices.ContainsFunc(entry.crashes, alive) {
			s.set(fingerprint, slices.DeleteFunc(slices.Clone(entry.crashes), alive))
		}
	}
}

// Verdict is what the crashes under a request mean for its next attempt.
type Verdict struct {
	// Suspected is true if an upstream crashed under the request.
	Suspected bool
	// OnTrial is true if the request has been in quarantine since it was last answered. It is tried only where all of its attempts
	// are known.
	OnTrial bool
	// Quarantine is how long the request is to be rejected.
	Quarantine time.Duration
}

// Verdict returns the verdict on a request.
func (s *Suspects) Verdict(now time.Duration, id request.Identity) Verdict {
	var v Verdict
	if len(s.entries) == 0 {
		return v
	}
	for _, fingerprint := range fingerprints(id) {
		entry := s.entries[fingerprint]
		if entry == nil || entry.expired(now) {
			continue
		}
		until := entry.quarantinedUntil()
		v.Suspected = true
		v.OnTrial = v.OnTrial || until != 0
		v.Quarantine = max(v.Quarantine, until-now)
	}
	return v
}

// verdict returns the verdict on a ticket. Instances without a coordinator don't know of each other's attempts, and leave the trial of a
// request that has been in quarantine to the next coordinator.
func (p *Pool) verdict(now time.Duration, t *Ticket) Verdict {
	v := p.config.Suspects.Verdict(now, t.Identity)
	if v.OnTrial && !p.config.Share.unrestricted() {
		v.Quarantine = max(v.Quarantine, trialWait)
	}
	return v
}

// crashedInTurn returns the number of upstreams that the request has crashed one after the other.
func (s Suspicion) crashedInTurn() int {
	n := 0
	last := time.Duration(-1 << 62)
	for _, c := range s.Crashes {
		if c.Sent >= last {
			n++
			last = c.Ended
		}
	}
	return n
}

// Quarantine returns how many upstreams the request has crashed one after the other, and until when it is rejected, 0 for not at
// all.
func (s Suspicion) Quarantine() (crashes int, until time.Duration) {
	crashes = s.crashedInTurn()
	if crashes < crashesBeforeQuarantine {
		return crashes, 0
	}
	length := firstQuarantine
	for range crashes - crashesBeforeQuarantine {
		length = min(length*quarantineGrowth, maxQuarantine)
	}
	return crashes, s.Crashes[len(s.Crashes)-1].Ended + length
}

func (e *suspect) quarantinedUntil() time.Duration {
	_, until := Suspicion{
		Crashes: e.crashes,
	}.Quarantine()
	return until
}

func (e *suspect) expired(now time.Duration) bool {
	return now > max(e.crashes[len(e.crashes)-1].Ended, e.quarantinedUntil())+crashMemory
}

// beginTrial records that a suspect is sent, and endTrial that this attempt has ended.
func (s *Suspects) beginTrial(id request.Identity) {
	if s.trials == nil {
		s.trials = map[uint64]int{}
	}
	for _, fingerprint := range fingerprints(id) {
		s.trials[fingerprint]++
	}
}

func (s *Suspects) endTrial(id request.Identity) {
	for _, fingerprint := range fingerprints(id) {
		if s.trials[fingerprint]--; s.trials[fingerprint] <= 0 {
			delete(s.trials, fingerprint)
		}
	}
}

// inTrial reports whether an upstream runs the suspect now.
func (s *Suspects) inTrial(id request.Identity) bool {
	for _, fingerprint := range fingerprints(id) {
		if s.trials[fingerprint] > 0 {
			return true
		}
	}
	return false
}

// Merge adds what another instance knows.
func (s *Suspects) Merge(now time.Duration, list []Suspicion) {
	for _, suspicion := range list {
		if suspicion.Fingerprint != 0 {
			s.add(now, suspicion.Fingerprint, suspicion.Crashes)
		}
	}
}

// Replace takes over what the coordinator knows.
func (s *Suspects) Replace(list []Suspicion) {
	for _, suspicion := range list {
		if suspicion.Fingerprint != 0 {
			s.set(suspicion.Fingerprint, sortCrashes(suspicion.Crashes))
		}
	}
}

// TakeAnnouncements returns what has changed since the last call and concerns all instances.
func (s *Suspects) TakeAnnouncements() []Suspicion {
	var list []Suspicion
	for fingerprint := range s.changed {
		entry := s.entries[fingerprint]
		if entry == nil {
			list = append(list, Suspicion{
				Fingerprint: fingerprint,
			})
			continue
		}
		suspicion := Suspicion{
			Fingerprint: fingerprint,
			Crashes:     entry.crashes,
		}
		if entry.announced || suspicion.crashedInTurn() >= announcedCrashes {
			entry.announced = true
			list = append(list, suspicion)
		}
	}
	clear(s.changed)
	return list
}

// List returns all suspicions in force at now.
func (s *Suspects) List(now time.Duration) []Suspicion {
	s.forget(now)
	var list []Suspicion
	for fingerprint, entry := range s.entries {
		list = append(list, Suspicion{
			Fingerprint: fingerprint,
			Crashes:     entry.crashes,
		})
	}
	return list
}

// Of returns the suspicions of a request.
func (s *Suspects) Of(id request.Identity) []Suspicion {
	var list []Suspicion
	for _, fingerprint := range fingerprints(id) {
		if entry := s.entries[fingerprint]; entry != nil {
			list = append(list, Suspicion{
				Fingerprint: fingerprint,
				Crashes:     entry.crashes,
			})
		}
	}
	return list
}

// add adds crashes that are not known yet.
func (s *Suspects) add(now time.Duration, fingerprint uint64, crashes []Crash) {
	var known []Crash
	if entry := s.entries[fingerprint]; entry != nil {
		known = slices.Clone(entry.crashes)
	}
	before := len(known)
	for _, crash := range crashes {
		if !slices.ContainsFunc(known, crash.sameStart) && !s.isExcused(crash) {
			known = append(known, crash)
		}
	}
	if len(known) == before {
		return
	}
	if before == 0 && len(s.entries) >= maxSuspects {
		s.forget(now)
		s.dropOldest()
	}
	known = sortCrashes(known)
	s.set(fingerprint, known[max(0, len(known)-maxCrashes):])
}

// sameStart reports whether both are crashes of the same start of an upstream.
func (c Crash) sameStart(other Crash) bool {
	return c.Upstream == other.Upstream && c.Incarnation == other.Incarnation
}

func sortCrashes(crashes []Crash) []Crash {
	slices.SortStableFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.Ended, b.Ended) })
	return crashes
}

// set replaces the crashes of a fingerprint. Without any, it is cleared.
func (s *Suspects) set(fingerprint uint64, crashes []Crash) {
	entry := s.entries[fingerprint]
	if entry == nil && len(crashes) == 0 {
		return
	}
	if s.entries == nil {
		s.entries, s.changed = map[uint64]*suspect{}, map[uint64]bool{}
	}
	if len(crashes) == 0 {
		delete(s.entries, fingerprint)
		if !entry.announced {
			delete(s.changed, fingerprint) // Nobody was told.
			return
		}
	} else {
		if entry == nil {
			entry = &suspect{}
			s.entries[fingerprint] = entry
		}
		entry.crashes = crashes
	}
	s.changed[fingerprint] = true
}

// forget drops the suspicions that are too old.
func (s *Suspects) forget(now time.Duration) {
	for fingerprint, entry := range s.entries {
		if entry.expired(now) {
			delete(s.entries, fingerprint)
			delete(s.changed, fingerprint)
		}
	}
}

// dropOldest makes room for one more suspicion.
func (s *Suspects) dropOldest() {
	if len(s.entries) < maxSuspects {
		return
	}
	oldest, at := uint64(0), time.Duration(1<<63-1)
	for fingerprint, entry := range s.entries {
		if last := max(entry.crashes[len(entry.crashes)-1].Ended, entry.quarantinedUntil()); last < at {
			oldest, at = fingerprint, last
		}
	}
	s.set(oldest, nil)
}

func fingerprints(id request.Identity) []uint64 {
	switch {
	case id.Content == 0:
		return nil
	case id.Caller == 0 || id.Caller == id.Content:
		return []uint64{id.Content}
	}
	return []uint64{id.Content, id.Caller}
}
