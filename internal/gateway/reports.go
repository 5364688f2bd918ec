package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/dispatch"
)

// parseReport returns what an upstream says of itself in the headers of an answer.
func (h *requestHandler) parseReport(header http.Header) *dispatch.Report {
	return &dispatch.Report{
		Load:  h.config.ParseLoad(header.Get(h.config.Headers.Load)),
		Limit: h.config.ParseLimit(header.Get(h.config.Headers.Limit)),
	}
}

// note records what an upstream says of itself in the answer to a ticket's request that was sent took ago. report is nil if there was
// no answer.
func (t *ticketClient) note(result ticketResult, service string, took time.Duration, report *dispatch.Report) {
	if report == nil {
		return
	}
	now := t.clock.Now()
	notice, changed := t.notices.Record(now, now-took, dispatch.Notice{
		Service:     service,
		Upstream:    result.upstream,
		Incarnation: t.view().list.Upstreams[result.upstream].Incarnation,
	}, report)
	if !changed {
		return
	}
	t.log.WithFields(logrus.Fields{
		"upstream": notice.Upstream,
		"service":  service,
		"limit":    notice.Limit,
	}).Info("upstream's notice changed")
}

func loadOf(report *dispatch.Report) []uint32 {
	if report == nil {
		return nil
	}
	return report.Load
}

func reportFrom(load []uint32) *dispatch.Report {
	return &dispatch.Report{
		Load: load,
	}
}
