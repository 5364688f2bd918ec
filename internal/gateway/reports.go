package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/dispatch"
	"cuminlift/schema"
)

// parseReport returns what an upstream says of itself in the head of an answer.
func (h *requestHandler) parseReport(status int, header http.Header) *dispatch.Report {
	report := &dispatch.Report{
		Load:  h.config.ParseLoad(header.Get(h.config.Headers.Load)),
		Limit: h.config.ParseLimit(header.Get(h.config.Headers.Limit)),

		Leaving: h.config.ParseLeaving(header.Get(h.config.Headers.Leaving)),
	}
	if status == http.StatusServiceUnavailable {
		report.Pause = h.config.ParsePause(header.Get(h.config.Headers.Pause))
	}
	return report
}

// note records what an upstream says of itself in the answer to a ticket's request that was sent took ago. report is nil if there was
// no answer.
func (t *ticketClient) note(result ticketResult, service string, took time.Duration, report *dispatch.Report) {
	if report == nil {
		return
	}
	now := t.clock.Now()
	about := dispatch.Notice{
		Service:     service,
		Upstream:    result.upstream,
		Incarnation: result.incarnation,
	}
	if report.Leaving {
		t.departures.noteLeaving(about.Upstream, about.Incarnation)
	}
	notice, changed := t.notices.Record(now, now-took, about, report)
	if !changed {
		return
	}
	if pool := t.localPools[service]; pool != nil {
		pool.ApplyNotice(now, t.config.Settings.Name, notice)
	}
	t.log.WithFields(logrus.Fields{
		"upstream": notice.Upstream,
		"service":  service,
		"limit":    notice.Limit,
		"pause":    notice.Pause,
	}).Info("upstream's notice changed")
}

// returnUnwanted returns a ticket whose upstream has said to this instance that it wants no request, and tells whoever granted it. It
// reports false if the ticket may be used. The upstream may have said so while the ticket was on its way, or to this instance alone.
func (t *ticketClient) returnUnwanted(result ticketResult, service string) bool {
	leaving := t.departures.leaving(result.upstream, result.incarnation)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	notice := t.notices.Get(t.clock.Now(), result.upstream, result.incarnation)
	if !leaving && notice.Pause == 0 {
		return false
	}
	frame := departureFrame(result.upstream, result.incarnation)
	if !leaving {
		frame = noticeFrame(notice)
	}
	if !result.local && t.frameConn != nil {
		t.frameConn.Send(frame)
	}
	t.reportEndLocked(result, service, schema.TicketOutcome_abandoned, 0, nil)
	return true
}

// unwanted reports whether an upstream has said to this instance that it wants no requests.
func (t *ticketClient) unwanted(upstream string, incarnation int64) bool {
	if t.departures.leaving(upstream, incarnation) {
		return true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.notices.Get(t.clock.Now(), upstream, incarnation).Pause > 0
}

// noteRelayed records what an upstream says of itself in the answer to a request that this instance has sent for another one.
func (t *ticketClient) noteRelayed(result ticketResult, service string, took time.Duration, report *dispatch.Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.note(result, service, took, report)
}

// applyNotices passes on to a new local pool what upstreams have said to this instance.
func (t *ticketClient) applyNotices(now time.Duration, pool *syncedPool, service string) {
	for _, notice := range t.currentNotices(now) {
		if notice.Service == service {
			pool.ApplyNotice(now, t.config.Settings.Name, notice)
		}
	}
}

// sendNotices tells a new coordinator what upstreams have said to this instance, which requests crash them, and what requests cost. It must go before the
// first request.
func (t *ticketClient) sendNotices(now time.Duration) {
	for _, frame := range t.departures.departureNotices() {
		t.frameConn.Send(frame)
	}
	for _, notice := range t.currentNotices(now) {
		t.frameConn.Send(noticeFrame(notice))
	}
	t.sendSuspicions(now, t.suspects.List(now))
	t.sendCosts()
}

func (t *ticketClient) currentNotices(now time.Duration) []dispatch.Notice {
	upstreams := t.view().list.Upstreams
	return t.notices.List(now, func(id string, incarnation int64) bool {
		u, known := upstreams[id]
		return known && u.Incarnation == incarnation
	})
}

func departureFrame(id string, incarnation int64) *schema.Frame {
	return &schema.Frame{
		Body: &schema.Frame_Notice{
			Notice: &schema.UpstreamNotice{
				Upstream: id,
				Born:     incarnation,
				Leaving:  true,
			},
		},
	}
}

func noticeFrame(notice dispatch.Notice) *schema.Frame {
	return &schema.Frame{
		Body: &schema.Frame_Notice{
			Notice: &schema.UpstreamNotice{
				Service:  notice.Service,
				Upstream: notice.Upstream,
				Born:     notice.Incarnation,
				Limit:    notice.Limit,
				AgeMs:    uint32(min(notice.Age.Milliseconds(), math.MaxUint32)),
				PauseMs:  uint32(notice.Pause.Milliseconds()),
			},
		},
	}
}

func decodeNotice(notice *schema.UpstreamNotice) dispatch.Notice {
	return dispatch.Notice{
		Service:     notice.GetService(),
		Upstream:    notice.GetUpstream(),
		Incarnation: notice.GetBorn(),
		Limit:       notice.GetLimit(),
		Age:         time.Duration(notice.GetAgeMs()) * time.Millisecond,
		Pause:       time.Duration(notice.GetPauseMs()) * time.Millisecond,
	}
}

func loadOf(report *dispatch.Report) []uint32 {
	if report == nil {
		return nil
	}
	return report.Load
}

func encodeReport(report *dispatch.Report) *schema.UpstreamReport {
	if report == nil {
		return nil
	}
	return &schema.UpstreamReport{
		Limited:        report.Limit.Named,
		Limit:          report.Limit.Rate,
		LimitMalformed: report.Limit.Malformed,
		Leaving:        report.Leaving,
		PauseMs:        uint32(report.Pause.Milliseconds()),
	}
}

// decodeReport returns nil if there was no answer. An instance of an earlier version sends the load alone.
func decodeReport(load []uint32, report *schema.UpstreamReport) *dispatch.Report {
	if report == nil {
		if load == nil {
			return nil
		}
		return &dispatch.Report{
			Load: load,
			Limit: dispatch.Limit{
				Malformed: true,
			},
		}
	}
	return &dispatch.Report{
		Load: load,
		Limit: dispatch.Limit{
			Named:     report.GetLimited(),
			Rate:      report.GetLimit(),
			Malformed: report.GetLimitMalformed(),
		},
		Pause: time.Duration(report.GetPauseMs()) * time.Millisecond,
	}
}
