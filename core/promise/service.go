package promise

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// coldStartLimit checks that an upstream that has just started is not overloaded. The outcome "admitted" holds the number
// of requests that run on the subject (value) and its current limit (to).
type coldStartLimit struct{}

func (c *coldStartLimit) name() string { return "a started upstream gets no more than it can bear" }

func (c *coldStartLimit) observe(_ time.Duration, o *schema.Outcome) (bool, string) {
	if o.GetKind() != "admitted" {
		return false, ""
	}
	if o.GetValue() > int64(o.GetTo()) {
		return true, fmt.Sprintf("%s runs %d requests, above its limit of %d", o.GetSubject(), o.GetValue(), o.GetTo())
	}
	return true, ""
}

func (c *coldStartLimit) end(time.Duration) string { return "" }

// outOfService checks that a zone or an upstream gets no new work later than MaxNewWorkDelay after it was taken out of
// service or began to drain. The outcome "dispatched" is new work for an upstream (subject) in a zone (detail). The
// fields out and in are the outcomes at which a subject goes out of service and returns.
type outOfService struct {
	out, in, title string
	subjectOf      func(*schema.Outcome) string
	since          map[string]time.Duration
}

func newOutOfService(out, in, title string, subjectOf func(*schema.Outcome) string) *outOfService {
	return &outOfService{
		out:       out,
		in:        in,
		title:     title,
		subjectOf: subjectOf,
		since:     map[string]time.Duration{},
	}
}

func zoneOf(o *schema.Outcome) string { return o.GetDetail() }

func upstreamOf(o *schema.Outcome) string { return o.GetSubject() }

func (c *outOfService) name() string { return c.title }

func (c *outOfService) observe(at time.Duration, o *schema.Outcome) (bool, string) {
	switch o.GetKind() {
	case c.out:
		c.since[o.GetSubject()] = at
	case c.in:
		delete(c.since, o.GetSubject())
	case "dispatched":
		since, out := c.since[c.subjectOf(o)]
		if out && at-since > MaxNewWorkDelay {
			return true, fmt.Sprintf("%s got request %s %v after it was taken out of service", c.subjectOf(o), o.GetRequest(), at-since)
		}
		return len(c.since) > 0, ""
	}
	return false, ""
}

func (c *outOfService) end(time.Duration) string { return "" }

// gracefulStop checks that a planned stop interrupts no request. The outcome "stop-begins" starts the stop of a subject.
// "cut" is a request of the subject that ended before its deadline without a complete answer. "killed" ends a process
// without a planned stop.
type gracefulStop struct {
	stopping map[string]bool
}

func newGracefulStop() *gracefulStop {
	return &gracefulStop{
		stopping: map[string]bool{},
	}
}

func (c *gracefulStop) name() string { return "a planned stop cuts no request in progress" }

func (c *gracefulStop) observe(_ time.Duration, o *schema.Outcome) (bool, string) {
	switch o.GetKind() {
	case "stop-begins":
		c.stopping[o.GetSubject()] = true
		return true, ""
	case "killed":
		delete(c.stopping, o.GetSubject())
	case "cut":
		if c.stopping[o.GetSubject()] {
			return true, fmt.Sprintf("the planned stop of %s interrupted request %s", o.GetSubject(), o.GetRequest())
		}
	}
	return false, ""
}

func (c *gracefulStop) end(time.Duration) string { return "" }

// configurationPropagation checks that an accepted configuration is in force on all instances within MaxPropagation and
// is never reverted. The outcome "accepted" holds a version (fence), "in-force" the version on an instance (subject), and
// "gone" an instance that ended or is partitioned.
type configurationPropagation struct {
	accepted   uint64
	acceptedAt time.Duration
	version    map[string]uint64
}

func newConfigurationPropagation() *configurationPropagation {
	return &configurationPropagation{
		version: map[string]uint64{},
	}
}

func (c *configurationPropagation) name() string {
	return "an accepted configuration is in force everywhere within seconds and never reverts"
}

func (c *configurationPropagation) observe(at time.Duration, o *schema.Outcome) (bool, string) {
	violation := c.end(at)
	switch o.GetKind() {
	case "accepted":
		if o.GetFence() <= c.accepted {
			return true, fmt.Sprintf("version %d was accepted after version %d", o.GetFence(), c.accepted)
		}
		c.accepted = o.GetFence()
		c.acceptedAt = at
		return true, violation
	case "in-force":
		before := c.version[o.GetSubject()]
		c.version[o.GetSubject()] = o.GetFence()
		if o.GetFence() < before {
			return true, fmt.Sprintf("%s reverted from version %d to %d", o.GetSubject(), before, o.GetFence())
		}
		return true, violation
	case "gone":
		delete(c.version, o.GetSubject())
	}
	return false, violation
}

func (c *configurationPropagation) end(at time.Duration) string {
	if c.accepted == 0 || at-c.acceptedAt <= MaxPropagation {
		return ""
	}
	for subject, version := range c.version {
		if version < c.accepted {
			return fmt.Sprintf("%s has version %d, %v after version %d was accepted", subject, version, at-c.acceptedAt, c.accepted)
		}
	}
	return ""
}
