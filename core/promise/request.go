package promise

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// completeAnswer checks that a caller gets the complete answer to its own request. The outcome "answered" holds the number
// of bytes received (from), the length of the answer (to) and the request that it answers (detail). A truncated answer
// that the caller can detect as such is not reported as "answered".
type completeAnswer struct{}

func newCompleteAnswer() *completeAnswer { return &completeAnswer{} }

func (c *completeAnswer) name() string { return "a caller gets the whole answer to its own request" }

func (c *completeAnswer) observe(_ time.Duration, o *schema.Outcome) (bool, string) {
	if o.GetKind() != "answered" {
		return false, ""
	}
	if o.GetDetail() != "" && o.GetDetail() != o.GetRequest() {
		return true, fmt.Sprintf("request %s got the answer to %s", o.GetRequest(), o.GetDetail())
	}
	if o.GetFrom() != o.GetTo() {
		return true, fmt.Sprintf("request %s got %d of %d bytes as a complete answer", o.GetRequest(), o.GetFrom(), o.GetTo())
	}
	return true, ""
}

func (c *completeAnswer) end(time.Duration) string { return "" }

// accurateRefusal checks that a request refused as "not run" never ran. The outcome "refused-not-run" is the final result
// of a request. "ran" is a run at an upstream, before or after the refusal.
type accurateRefusal struct {
	refused map[string]bool
	ran     map[string]bool
}

func newAccurateRefusal() *accurateRefusal {
	return &accurateRefusal{
		refused: map[string]bool{},
		ran:     map[string]bool{},
	}
}

func (c *accurateRefusal) name() string { return "a refusal that says not-run is true" }

func (c *accurateRefusal) observe(_ time.Duration, o *schema.Outcome) (bool, string) {
	id := o.GetRequest()
	switch o.GetKind() {
	case "refused-not-run":
		c.refused[id] = true
		if c.ran[id] {
			return true, fmt.Sprintf("request %s ran and was then refused as not run", id)
		}
		return true, ""
	case "ran":
		c.ran[id] = true
		if c.refused[id] {
			return true, fmt.Sprintf("request %s was refused as not run and then ran", id)
		}
		return true, ""
	}
	return false, ""
}

func (c *accurateRefusal) end(time.Duration) string { return "" }

// atMostOnce checks that a request that is not idempotent runs at most once. The outcome "ran" with detail "order" is a
// run of such a request. The caller's retries of a request share the id in its request field.
type atMostOnce struct {
	ran map[string]string
}

func newAtMostOnce() *atMostOnce {
	return &atMostOnce{
		ran: map[string]string{},
	}
}

func (c *atMostOnce) name() string { return "a request that is not idempotent runs at most once" }

func (c *atMostOnce) observe(_ time.Duration, o *schema.Outcome) (bool, string) {
	if o.GetKind() != "ran" || o.GetDetail() != "order" {
		return false, ""
	}
	first, duplicate := c.ran[o.GetRequest()]
	c.ran[o.GetRequest()] = o.GetSubject()
	if duplicate {
		return true, fmt.Sprintf("request %s ran on %s and on %s", o.GetRequest(), first, o.GetSubject())
	}
	return true, ""
}

func (c *atMostOnce) end(time.Duration) string { return "" }
