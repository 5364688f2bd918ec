package promise

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// wholeAnswer: a caller gets the whole answer to its own request. "answered" tells for request how many bytes came
// (from), how many there are (to), and whose answer it is (detail, a request). A cut answer that the caller can see to
// be cut is no "answered".
type wholeAnswer struct{}

func newWholeAnswer() *wholeAnswer { return &wholeAnswer{} }

func (c *wholeAnswer) name() string { return "a caller gets the whole answer to its own request" }

func (c *wholeAnswer) see(_ time.Duration, o *schema.Outcome) (bool, string) {
	if o.GetKind() != "answered" {
		return false, ""
	}
	if o.GetDetail() != "" && o.GetDetail() != o.GetRequest() {
		return true, fmt.Sprintf("request %s got the answer to %s", o.GetRequest(), o.GetDetail())
	}
	if o.GetFrom() != o.GetTo() {
		return true, fmt.Sprintf("request %s got %d of %d bytes and took them for the whole", o.GetRequest(), o.GetFrom(), o.GetTo())
	}
	return true, ""
}

func (c *wholeAnswer) end(time.Duration) string { return "" }

// trueRefusal: a refusal that says "not run" is true. "refused-not-run" is the final word on request; "ran" is a run at
// an upstream, before or after.
type trueRefusal struct {
	refused map[string]bool
	ran     map[string]bool
}

func newTrueRefusal() *trueRefusal {
	return &trueRefusal{
		refused: map[string]bool{},
		ran:     map[string]bool{},
	}
}

func (c *trueRefusal) name() string { return "a refusal that says not-run is true" }

func (c *trueRefusal) see(_ time.Duration, o *schema.Outcome) (bool, string) {
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

func (c *trueRefusal) end(time.Duration) string { return "" }

// atMostOnce: a request that is not idempotent runs at most once. "ran" with detail "order" is a run of one; its
// request is the name that repeats by the caller share.
type atMostOnce struct {
	ran map[string]string
}

func newAtMostOnce() *atMostOnce {
	return &atMostOnce{
		ran: map[string]string{},
	}
}

func (c *atMostOnce) name() string { return "a request that is not idempotent runs at most once" }

func (c *atMostOnce) see(_ time.Duration, o *schema.Outcome) (bool, string) {
	if o.GetKind() != "ran" || o.GetDetail() != "order" {
		return false, ""
	}
	first, twice := c.ran[o.GetRequest()]
	c.ran[o.GetRequest()] = o.GetSubject()
	if twice {
		return true, fmt.Sprintf("request %s ran on %s and on %s", o.GetRequest(), first, o.GetSubject())
	}
	return true, ""
}

func (c *atMostOnce) end(time.Duration) string { return "" }
