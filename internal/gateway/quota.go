package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/dispatch"
	"cuminlift/core/quota"
	"cuminlift/schema"
)

// quotaLimits returns the quotas of the configuration in force.
func quotaLimits(currentView func() *view) quota.Limits {
	return func(workspace string) (rate, burst float64, limited bool) {
		table := currentView().table
		if table == nil {
			return 0, 0, false
		}
		return table.Workspaces.Quota(workspace)
	}
}

// noteGranted counts a granted request for the next coordinator.
func (t *ticketClient) noteGranted(now time.Duration, request *schema.TicketRequest) {
	if request.GetWorkspace() != "" {
		t.usage.Sent(now, request.GetWorkspace())
	}
}

// countReply counts a granted request against this instance's share of the quota, because the coordinator did not: it is of the
// previous build, or has an older configuration. It returns a refusal if the share is used up.
func (t *ticketClient) countReply(result ticketResult, request *schema.TicketRequest) ticketResult {
	name, workspace := t.config.Settings.Name, request.GetWorkspace()
	if workspace == "" {
		return result
	}
	now := t.clock.Now()
	wait, ok := t.shares.Reserve(now, workspace, name)
	if ok {
		t.shares.Send(now, workspace, name)
		return result
	}
	t.logRefusals(now)
	t.reportEndLocked(result, request.GetService(), schema.TicketOutcome_abandoned, 0, nil)
	return ticketResult{
		id:         result.id,
		reason:     string(dispatch.OverQuota),
		retryAfter: wait,
	}
}

// logRefusals logs which workspaces have exceeded their quotas. shares is true if the instance decided by its own shares.
func logRefusals(log *logrus.Entry, refusals []quota.Refusal, shares bool) {
	for _, r := range refusals {
		log.WithFields(logrus.Fields{
			"reason":    string(dispatch.OverQuota),
			"workspace": r.Workspace,
			"rate":      r.Rate,
			"burst":     r.Burst,
			"refused":   r.Refused,
			"count":     r.Sent,
			"age":       r.Age,
			"shares":    shares,
		}).Info("requests beyond the quota refused")
	}
}

// logRefusals does so for this instance's shares, once per queueLogInterval.
func (t *ticketClient) logRefusals(now time.Duration) {
	if now-t.refusalsLoggedAt >= queueLogInterval {
		t.refusalsLoggedAt = now
		logRefusals(t.log, t.shares.Refusals(now), true)
	}
}

// sendUsage tells a new coordinator what this instance has sent for each workspace. It must go before the first request.
func (t *ticketClient) sendUsage(now time.Duration) {
	message := &schema.QuotaUsage{
		CountedMs: uint32(min(now-t.startedAt, 2*quota.Window).Milliseconds()),
	}
	for workspace, sent := range t.usage.List(now) {
		message.Workspaces = append(message.Workspaces, &schema.WorkspaceUsage{
			Workspace: workspace,
			SpanMs:    uint32(quota.Span.Milliseconds()),
			Sent:      sent,
		})
	}
	t.frameConn.Send(&schema.Frame{
		Body: &schema.Frame_QuotaUsage{
			QuotaUsage: message,
		},
	})
}

// decodeUsage returns the requests in spans of quota.Span by workspace, newest first. Those of longer or shorter spans count as sent
// at the end of theirs.
func decodeUsage(message *schema.QuotaUsage) map[string][]uint32 {
	usage := map[string][]uint32{}
	for _, entry := range message.GetWorkspaces() {
		span := time.Duration(entry.GetSpanMs()) * time.Millisecond
		sent := make([]uint32, int(quota.Window/quota.Span)+1)
		for i, n := range entry.GetSent() {
			if index := time.Duration(i) * span / quota.Span; index >= 0 && index < time.Duration(len(sent)) {
				sent[index] += n
			}
		}
		usage[entry.GetWorkspace()] = sent
	}
	return usage
}
