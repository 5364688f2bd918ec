package replica_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/replica"
)

func TestFirstAnswerEndsAnOutageOnce(t *testing.T) {
	c := qt.New(t)
	outage := &replica.Outage{}
	_, ended := outage.Answered()
	c.Check(ended, qt.IsFalse)
	outage.Unanswered(3 * time.Second)
	outage.Unanswered(5 * time.Second)
	since, ended := outage.Answered()
	c.Check(ended, qt.IsTrue)
	c.Check(since, qt.Equals, 3*time.Second)
	_, ended = outage.Answered()
	c.Check(ended, qt.IsFalse)
}
