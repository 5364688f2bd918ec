package dispatch

import "time"

// Report is what an upstream says of itself in an answer.
type Report struct {
	// Load holds the numbers of running and queued requests and of slots and, if known, the slowness in percent. It is nil if
	// the answer doesn't tell.
	Load []uint32
	// Limit is the number of requests per second that the upstream takes from all instances together.
	Limit Limit
	// Leaving is true if the upstream leaves and wants no new requests.
	Leaving bool
	// Pause is how long the upstream wants no requests from the instance that got the answer.
	Pause time.Duration
}

// Limit is a limit as named by an upstream. The zero value means that the answer names none, so that one named before has ended.
type Limit struct {
	// Named is true if the answer names a limit, which is then Rate.
	Named bool
	Rate  float64
	// Malformed is true if the answer names a limit that can't be read. One named before stays.
	Malformed bool
}

// Notice is what an upstream has said of itself in the answers to one instance. It is passed to pools that did not see them.
type Notice struct {
	Service, Upstream string
	// Incarnation is the start of the upstream that the notice holds for.
	Incarnation int64
	// Limit is the limit in requests per second, 0 for none.
	Limit float64
	// Age is how long ago the limit was known.
	Age time.Duration
	// Pause is how long the upstream wants no more requests from the instance.
	Pause time.Duration
}

// Notices keeps the notices of one instance. The zero value is empty. It is not safe for concurrent use.
type Notices struct {
	byUpstream map[string]*noticeEntry
}

type noticeEntry struct {
	Notice
	// limitAt is the time for which the limit is known: when an answer named it, or when the request was sent whose answer named none.
	limitAt time.Duration
	// pausedUntil is when the pause ends.
	pausedUntil time.Duration
}

// Record records an answer, received at now, to a request that was sent at sent. about names the upstream. It returns the updated
// notice, and whether it has changed.
func (n *Notices) Record(now, sent time.Duration, about Notice, report *Report) (notice Notice, changed bool) {
	entry := n.byUpstream[about.Upstream]
	if entry != nil && entry.Incarnation > about.Incarnation {
		return about, false // An answer of an earlier start has arrived late.
	}
	if entry == nil || entry.Incarnation != about.Incarnation {
		entry = &noticeEntry{
			Notice: about,
		}
	}
	limitBefore := entry.Limit
	if limit, known := nextLimit(entry.Limit, entry.limitAt, sent, report.Limit); known {
		entry.Limit, entry.limitAt = limit, sent
		if report.Limit.Named {
			entry.limitAt = now
		}
	}
	entry.pausedUntil = max(entry.pausedUntil, now+report.Pause)
	n.store(now, entry)
	return entry.at(now), entry.Limit != limitBefore || report.Pause > 0
}

// Get returns the notice of a start of an upstream, which is empty if there is none.
func (n *Notices) Get(now time.Duration, upstream string, incarnation int64) Notice {
	entry := n.byUpstream[upstream]
	if entry == nil || entry.Incarnation != incarnation {
		return Notice{}
	}
	return entry.at(now)
}

// at returns the notice as it holds at now.
func (e *noticeEntry) at(now time.Duration) Notice {
	notice := e.Notice
	notice.Pause = max(0, e.pausedUntil-now)
	notice.Age = now - e.limitAt
	return notice
}

func (n *Notices) store(now time.Duration, entry *noticeEntry) {
	if entry.empty(now) {
		delete(n.byUpstream, entry.Upstream)
		return
	}
	if n.byUpstream == nil {
		n.byUpstream = map[string]*noticeEntry{}
	}
	n.byUpstream[entry.Upstream] = entry
}

func (e *noticeEntry) empty(now time.Duration) bool {
	return e.Limit == 0 && e.pausedUntil <= now
}

// List returns the notices in force at now. Those of upstreams that present does not know are dropped.
func (n *Notices) List(now time.Duration, present func(upstream string, incarnation int64) bool) []Notice {
	var list []Notice
	for id, entry := range n.byUpstream {
		if entry.empty(now) || !present(id, entry.Incarnation) {
			delete(n.byUpstream, id)
			continue
		}
		list = append(list, entry.at(now))
	}
	return list
}

// minLimit is the lowest limit that is applied, in requests per second. Only answers tell that a limit has ended, so some requests
// must be sent.
const minLimit = 0.1

// nextLimit returns the limit after an answer to a request that was sent at sent; current was last named at namedAt. known is
// false if the answer changes nothing: it may be older than the limit.
func nextLimit(current float64, namedAt, sent time.Duration, said Limit) (limit float64, known bool) {
	switch {
	case said.Malformed:
		return 0, false
	case said.Named:
		return max(said.Rate, minLimit), true
	case current != 0 && sent < namedAt:
		return 0, false
	}
	return 0, true
}
