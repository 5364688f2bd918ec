package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// account is a quota that counts what pools do with it, and has room for free requests.
type account struct {
	free                              int
	reserved, sent, cancelled, refund int
}

func (a *account) Reserve(_ time.Duration, _, _ string) (time.Duration, bool) {
	if a.free == 0 {
		return 700 * time.Millisecond, false
	}
	a.free--
	a.reserved++
	return 0, true
}

func (a *account) Send(time.Duration, string, string) { a.sent++ }
func (a *account) Cancel(string, string)              { a.cancelled++ }
func (a *account) Refund(string, string)              { a.refund++ }

func quotaPool(quota dispatch.Quota, upstreams int) *dispatch.Pool {
	p := dispatch.NewPool(dispatch.Config{
		RetryRatio:  0.2,
		RetrySlack:  58,
		RetryWindow: 10 * time.Second,
		Quota:       quota,
	})
	p.SetUpstreams(0, states(upstreams))
	return p
}

func workspaceTicket(id uint64, now time.Duration, workspace string) *dispatch.Ticket {
	t := ticket(id, now)
	t.Workspace = workspace
	return t
}

// A request beyond the quota waits, is sent, or learns a time to come back that has nothing to do with its quota.
func TestRequestsBeyondTheQuotaAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	quota := &account{
		free: 1,
	}
	p := quotaPool(quota, 3)
	p.Submit(0, workspaceTicket(1, 0, "w"))
	p.Submit(0, workspaceTicket(2, 0, "w"))
	p.Submit(0, workspaceTicket(3, 0, ""))
	reasons := map[uint64]dispatch.Reason{}
	for _, d := range p.Decide(0) {
		reasons[d.Ticket.ID] = d.Reason
		if d.Reason == dispatch.OverQuota {
			c.Check(d.RetryAfter, qt.Equals, 700*time.Millisecond)
		}
	}
	c.Check(reasons, qt.DeepEquals, map[uint64]dispatch.Reason{1: "", 2: dispatch.OverQuota, 3: ""})
}

// Refused or cancelled requests use up the quota for ever, or sent ones don't.
func TestEveryReservationIsSentOrCancelled(t *testing.T) {
	c := qt.New(t)
	quota := &account{
		free: 1 << 30,
	}
	p := quotaPool(quota, 2)
	random := rand.New(rand.NewPCG(1, 1))
	const work = 100 * time.Millisecond
	ends := map[time.Duration][]uint64{}
	open := map[uint64]bool{}
	submitted, sent, id := 0, 0, uint64(0)
	for now := time.Duration(0); now < 8*time.Second; now += 5 * time.Millisecond {
		for _, ended := range ends[now] {
			p.End(now, ended, dispatch.Answered, work, nil)
		}
		for range random.IntN(3) {
			if now > 4*time.Second {
				break
			}
			id++
			submitted++
			open[id] = true
			p.Submit(now, workspaceTicket(id, now, "w"))
		}
		for _, d := range p.Decide(now) {
			delete(open, d.Ticket.ID)
			if d.Upstream != "" {
				sent++
				ends[now+work] = append(ends[now+work], d.Ticket.ID)
			}
		}
		for waiting := range open {
			if random.IntN(200) == 0 {
				p.Cancel(now, waiting)
				delete(open, waiting)
			}
		}
	}
	c.Check(p.Waiting(), qt.Equals, 0)
	c.Check(quota.reserved, qt.Equals, submitted)
	c.Check(quota.sent, qt.Equals, sent)
	c.Check(quota.sent+quota.cancelled, qt.Equals, submitted)
	c.Check(quota.cancelled > 0 && quota.sent > 0, qt.IsTrue)
}

// An attempt that did not run uses up the quota, or one that may have run is given back.
func TestOnlyAttemptsThatDidNotRunAreRefunded(t *testing.T) {
	c := qt.New(t)
	for _, end := range []struct {
		outcome dispatch.Outcome
		took    time.Duration
		refund  int
	}{
		{dispatch.Answered, time.Millisecond, 0},
		{dispatch.Erred, time.Millisecond, 0},
		{dispatch.Lost, time.Millisecond, 0},
		{dispatch.Crashed, time.Millisecond, 0},
		{dispatch.Abandoned, time.Millisecond, 0},
		{dispatch.Abandoned, 0, 1},
		{dispatch.Shed, time.Millisecond, 1},
		{dispatch.Misdirected, time.Millisecond, 1},
		{dispatch.Unreachable, time.Millisecond, 1},
	} {
		quota := &account{
			free: 1,
		}
		p := quotaPool(quota, 1)
		p.Submit(0, workspaceTicket(1, 0, "w"))
		c.Assert(p.Decide(0), qt.HasLen, 1)
		p.End(end.took, 1, end.outcome, end.took, nil)
		c.Check(quota.refund, qt.Equals, end.refund, qt.Commentf("%+v", end))
	}
	// The slot of a ticket is reclaimed because the report of its end is lost.
	quota := &account{
		free: 1,
	}
	p := quotaPool(quota, 1)
	p.Submit(0, workspaceTicket(1, 0, "w"))
	c.Assert(p.Decide(0), qt.HasLen, 1)
	p.Cancel(time.Second, 1)
	c.Check(quota.refund, qt.Equals, 0)
}
