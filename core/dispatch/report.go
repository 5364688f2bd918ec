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
	// Age is how long ago an answer last said so.
	Age time.Duration
}

// Notices keeps the notices of one instance. The zero value is empty. It is not safe for concurrent use.
type Notices struct {
	byUpstream map[string]*noticeEntry
}

type noticeEntry struct {
	Notice
	// limitNamedAt is when an answer last named the limit.
	limitNamedAt time.Duration
}

// Record records an answer, received at now, to a request that was sent at sent. about names the upstream. It returns the updated
// notice, and whether it has changed.
func (n *Notices) Record(now, sent time.Duration, about Notice, report *Report) (notice Notice, changed bool) {
	entry := n.byUpstream[about.Upstream]
	if entry != nil && entry.Incarnation != about.Incarnation {
		entry = nil
	}
	if entry == nil {
		entry = &noticeEntry{
			Notice: about,
		}
	}
	before := entry.Notice
	if limit, known := nextLimit(entry.Limit, entry.limitNamedAt, sent, report.Limit); known {
		entry.Limit = limit
		if report.Limit.Named {
			entry.limitNamedAt = now
		}
	}
	n.store(entry)
	return entry.Notice, entry.Notice != before
}

func (n *Notices) store(entry *noticeEntry) {
	if entry.empty() {
		delete(n.byUpstream, entry.Upstream)
		return
	}
	if n.byUpstream == nil {
		n.byUpstream = map[string]*noticeEntry{}
	}
	n.byUpstream[entry.Upstream] = entry
}

func (e *noticeEntry) empty() bool {
	return e.Limit == 0
}

// List returns the notices in force at now. Those of upstreams that present does not know are dropped.
func (n *Notices) List(now time.Duration, present func(upstream string, incarnation int64) bool) []Notice {
	var list []Notice
	for id, entry := range n.byUpstream {
		if !present(id, entry.Incarnation) {
			delete(n.byUpstream, id)
			continue
		}
		notice := entry.Notice
		notice.Age = now - entry.limitNamedAt
		list = append(list, notice)
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
