package dispatch

import "time"

// Quota limits how many requests of each workspace are sent. The pools of all services share one.
type Quota interface {
	// Reserve reserves a request of a workspace from an instance. If there is no room for it, wait is the time after which there may
	// be.
	Reserve(now time.Duration, workspace, instance string) (wait time.Duration, ok bool)
	// Send counts a reserved request as sent, and Cancel returns the reservation of one that was not sent.
	Send(now time.Duration, workspace, instance string)
	Cancel(workspace, instance string)
	// Refund takes back a request that was sent and did not run.
	Refund(workspace, instance string)
}

// reserveQuota reserves a request of the workspace of t, if it has one.
func (p *Pool) reserveQuota(now time.Duration, t *Ticket) (wait time.Duration, ok bool) {
	if p.config.Quota == nil || t.Workspace == "" {
		return 0, true
	}
	wait, t.reserved = p.config.Quota.Reserve(now, t.Workspace, t.Instance)
	return wait, t.reserved
}

// cancelQuota returns the reservation of a ticket that is not sent.
func (p *Pool) cancelQuota(t *Ticket) {
	if t.reserved {
		t.reserved = false
		p.config.Quota.Cancel(t.Workspace, t.Instance)
	}
}

// chargeQuota counts a ticket as sent. It returns the workspace that was charged, empty for none.
func (p *Pool) chargeQuota(now time.Duration, t *Ticket) string {
	if !t.reserved {
		return ""
	}
	t.reserved = false
	p.config.Quota.Send(now, t.Workspace, t.Instance)
	return t.Workspace
}

// refundQuota takes back the charge for a request that did not run. An abandoned one did not if it took no time: its ticket was
// returned.
func (p *Pool) refundQuota(granted assignment, outcome Outcome, took time.Duration) {
	if granted.workspace == "" {
		return
	}
	switch outcome {
	case Shed, Misdirected, Unreachable:
	case Abandoned:
		if took > 0 {
			return
		}
	default:
		return
	}
	p.config.Quota.Refund(granted.workspace, granted.instance)
}

// keepCharge makes the charge for a running ticket final, because it is not known whether the request runs.
func (p *Pool) keepCharge(id uint64) {
	if granted, running := p.running[id]; running {
		granted.workspace = ""
		p.running[id] = granted
	}
}
