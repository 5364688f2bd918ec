package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cuminlift/core/request"
)

// OpenTicket is a ticket that another pool has granted, and that an instance reports to the pool of a new coordinator.
type OpenTicket struct {
	ID uint64
	// Upstream and Incarnation are the start of the upstream that got the request, at Sent.
	Upstream    string
	Incarnation int64
	Sent        time.Duration
	Instance    string
	Identity    request.Identity
	// Ended is true if the request has left its slot. It then counts for the cold-start rate alone.
	Ended bool
}

// Restore takes over a ticket, so that the pool grants neither its slot nor its part of the cold-start rate again before End. It
// reports false if the ticket is not running in the pool afterwards, for example because its upstream has left.
func (p *Pool) Restore(now time.Duration, t OpenTicket) bool {
	if _, known := p.running[t.ID]; known {
		return p.runs(t.ID, t)
	}
	u := p.upstreams[t.Upstream]
	if u == nil || u.state.Incarnation != t.Incarnation {
		return false
	}
	if u.isCold(now) && now-t.Sent < coldRateWindow {
		u.coldSends = append(u.coldSends, t.Sent)
	}
	if t.Ended {
		return false
	}
	u.running[t.ID] = t.Sent
	u.lastSent = max(u.lastSent, t.Sent)
	p.running[t.ID] = assignment{
		upstream:    u,
		incarnation: t.Incarnation,
		sent:        t.Sent,
		instance:    t.Instance,
		identity:    t.Identity,
	}
	return true
}

// runs reports whether a ticket runs at the start of an upstream that t names.
func (p *Pool) runs(id uint64, t OpenTicket) bool {
	granted, known := p.running[id]
	return known && granted.upstream.state.ID == t.Upstream && granted.incarnation == t.Incarnation
}

// RetryUsage holds the numbers of requests and retries of one service in consecutive spans of time, the newest first.
type RetryUsage struct {
	Span              time.Duration
	Requests, Retries []uint32
}

// AddRetryUsage adds what an instance has sent before this pool knew of it. The budget then covers both, so that a change of the
// coordinator neither gives out the budget again nor takes away what earlier requests allow.
func (p *Pool) AddRetryUsage(now time.Duration, usage RetryUsage) {
	if usage.Span <= 0 {
		return
	}
	for i := range min(len(usage.Requests), len(usage.Retries)) {
		at := now - time.Duration(i)*usage.Span
		if at < 0 || now-at > p.budget.window {
			return
		}
		bucket := p.budget.bucket(at)
		bucket.requests += float64(usage.Requests[i])
		bucket.retries += float64(usage.Retries[i])
	}
}

// RetryHistory counts the requests and retries that one instance has sent, whoever granted them. The zero value counts nothing.
type RetryHistory struct {
	budget *budget
}

// NewRetryHistory returns a history of the last window, empty if that is 0.
func NewRetryHistory(window time.Duration) RetryHistory {
	if window < budgetBuckets {
		return RetryHistory{}
	}
	return RetryHistory{
		budget: newBudget(Config{
			RetryWindow: window,
		}),
	}
}

// Request counts a request.
func (h RetryHistory) Request(now time.Duration) {
	if h.budget != nil {
		h.budget.countRequest(now)
	}
}

// Retry counts a retry that is sent.
func (h RetryHistory) Retry(now time.Duration) {
	if h.budget != nil {
		h.budget.bucket(now).retries++
	}
}

// Usage returns what has been counted in the last window.
func (h RetryHistory) Usage(now time.Duration) RetryUsage {
	if h.budget == nil {
		return RetryUsage{}
	}
	usage := RetryUsage{
		Span: h.budget.window / budgetBuckets,
	}
	for i := range budgetBuckets {
		at := now - time.Duration(i)*usage.Span
		if at < 0 {
			break
		}
		bucket := h.budget.bucket(at)
		usage.Requests = append(usage.Requests, uint32(bucket.requests))
		usage.Retries = append(usage.Retries, uint32(bucket.retries))
	}
	return usage
}

// Latency is the mean time in which a start of an upstream has answered an instance.
type Latency struct {
	Service, Upstream string
	Incarnation       int64
	Mean              time.Duration
	Samples           int
}

// LearnLatency uses what an instance has measured, as long as this pool has no measurement of its own.
func (p *Pool) LearnLatency(now time.Duration, l Latency) {
	u := p.upstreams[l.Upstream]
	if u == nil || u.state.Incarnation != l.Incarnation || l.Samples <= 0 || l.Mean <= 0 {
		return
	}
	if u.latency != 0 && u.latency != u.learned {
		return
	}
	total := u.learnedSamples + l.Samples
	u.latency += time.Duration(float64(l.Mean-u.latency) * float64(l.Samples) / float64(total))
	u.learned, u.learnedSamples = u.latency, total
	u.lastSent = max(u.lastSent, now)
	p.median = 0
}

// Latencies keeps the latencies that one instance has measured. The zero value is empty. It is not safe for concurrent use.
type Latencies struct {
	byUpstream map[string]*latencyEntry
}

type latencyEntry struct {
	Latency
	at time.Duration
}

const (
	// latencyMaxAge is the age from which a measurement is not reported: the speed of upstreams changes within tens of seconds.
	latencyMaxAge = 30 * time.Second
	// maxLatencySamples is the number of samples that count, so that the mean follows changes.
	maxLatencySamples = 10
	// maxReportedLatencies bounds a report. 75 instances with 331 upstreams would otherwise send a megabyte to the new coordinator at
	// once, almost a second on a link of 10 Mbit/s, before their first requests.
	maxReportedLatencies = 50
)

// Record records that an upstream has answered in the time took. about names its service and start.
func (l *Latencies) Record(now, took time.Duration, about Latency) {
	entry := l.byUpstream[about.Upstream]
	if entry != nil && entry.Incarnation > about.Incarnation {
		return
	}
	if entry == nil || entry.Incarnation != about.Incarnation || now-entry.at > latencyMaxAge {
		entry = &latencyEntry{
			Latency: about,
		}
		if l.byUpstream == nil {
			l.byUpstream = map[string]*latencyEntry{}
		}
		l.byUpstream[about.Upstream] = entry
	}
	entry.at = now
	entry.Samples = min(entry.Samples+1, maxLatencySamples)
	entry.Mean += (took - entry.Mean) / time.Duration(entry.Samples)
}

// List returns the latest measurements. Those of upstreams that present does not know are dropped.
func (l *Latencies) List(now time.Duration, present func(upstream string, incarnation int64) bool) []Latency {
	var entries []*latencyEntry
	for id, entry := range l.byUpstream {
		if now-entry.at > latencyMaxAge || !present(id, entry.Incarnation) {
			delete(l.byUpstream, id)
			continue
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b *latencyEntry) int {
		return cmp.Or(cmp.Compare(b.at, a.at), strings.Compare(a.Upstream, b.Upstream))
	})
	var list []Latency
	for _, entry := range entries[:min(len(entries), maxReportedLatencies)] {
		list = append(list, entry.Latency)
	}
	return list
}
