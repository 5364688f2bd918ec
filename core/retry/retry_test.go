package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/retry"
)

func TestBudgetIsARatioOfRequests(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(0.1)
	withdrawn := 0
	for range 10000 {
		b.Deposit()
		if b.TryWithdraw() {
			withdrawn++
		}
	}
	c.Assert(withdrawn >= 1000 && withdrawn <= 1001, qt.IsTrue, qt.Commentf("%d", withdrawn))
}

func TestBudgetIsCapped(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(0.1)
	for range 100000 {
		b.Deposit()
	}
	withdrawn := 0
	for b.TryWithdraw() {
		withdrawn++
	}
	c.Assert(withdrawn, qt.Equals, 20)
}

func TestBackoffHasFullJitterBelowItsCap(t *testing.T) {
	c := qt.New(t)
	b := retry.Backoff{
		Base: 10 * time.Millisecond,
		Cap:  time.Second,
	}
	c.Assert(b.Delay(1, 0), qt.Equals, time.Duration(0))
	c.Assert(b.Delay(3, 0.5), qt.Equals, 20*time.Millisecond)
	c.Assert(b.Delay(60, 0.999) < time.Second, qt.IsTrue)
}
