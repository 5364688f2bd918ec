package promise

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// coldStart: an upstream that has just started gets no more than it can bear. "admitted" tells how many requests run on
// subject (value) and how many it can bear now (to).
type coldStart struct{}

func (c *coldStart) name() string { return "a started upstream gets no more than it can bear" }

func (c *coldStart) see(_ time.Duration, o *schema.Outcome) (bool, string) {
	if o.GetKind() != "admitted" {
		return false, ""
	}
	if o.GetValue() > int64(o.GetTo()) {
		return true, fmt.Sprintf("%s runs %d requests and can bear %d", o.GetSubject(), o.GetValue(), o.GetTo())
	}
	return true, ""
}

func (c *coldStart) end(time.Duration) string { return "" }

// outOfService: what was taken out gets no new work after a few seconds. "dispatched" is new work for an upstream
// (subject) in a zone (detail).
type outOfService struct {
	out, in, title string
	place          func(*schema.Outcome) string
	since          map[string]time.Duration
}

func newOutOfService(out, in, title string, place func(*schema.Outcome) string) *outOfService {
	return &outOfService{
		out:   out,
		in:    in,
		title: title,
		place: place,
		since: map[string]time.Duration{},
	}
}

func zoneOf(o *schema.Outcome) string { return o.GetDetail() }

func upstreamOf(o *schema.Outcome) string { return o.GetSubject() }

func (c *outOfService) name() string { return c.title }

func (c *outOfService) see(at time.Duration, o *schema.Outcome) (bool, string) {
	switch o.GetKind() {
	case c.out:
		c.since[o.GetSubject()] = at
	case c.in:
		delete(c.since, o.GetSubject())
	case "dispatched":
		since, out := c.since[c.place(o)]
		if out && at-since > MaxNewWorkDelay {
			return true, fmt.Sprintf("%s got request %s %v after it was taken out", c.place(o), o.GetRequest(), at-since)
		}
		return len(c.since) > 0, ""
	}
	return false, ""
}

func (c *outOfService) end(time.Duration) string { return "" }

// graceful: a planned stop cuts no request. "stop-begins" starts one of subject; "cut" is a request of subject that
// ended without its whole answer though no deadline was over; "killed" ends a process without a plan.
type graceful struct {
	stopping map[string]bool
}

func newGraceful() *graceful {
	return &graceful{
		stopping: map[string]bool{},
	}
}

func (c *graceful) name() string { return "a planned stop cuts no request in progress" }

func (c *graceful) see(_ time.Duration, o *schema.Outcome) (bool, string) {
	switch o.GetKind() {
	case "stop-begins":
		c.stopping[o.GetSubject()] = true
		return true, ""
	case "killed":
		delete(c.stopping, o.GetSubject())
	case "cut":
		if c.stopping[o.GetSubject()] {
			return true, fmt.Sprintf("the stop of %s cut request %s", o.GetSubject(), o.GetRequest())
		}
	}
	return false, ""
}

func (c *graceful) end(time.Duration) string { return "" }

// inForce: an accepted configuration is in force everywhere within seconds and never reverts. "accepted" names a version
// (fence), "in-force" the version on an instance (subject), "gone" an instance that ended or is cut off.
type inForce struct {
	accepted uint64
	since    time.Duration
	version  map[string]uint64
}

func newInForce() *inForce {
	return &inForce{
		version: map[string]uint64{},
	}
}

func (c *inForce) name() string {
	return "an accepted configuration is in force everywhere within seconds and never reverts"
}

func (c *inForce) see(at time.Duration, o *schema.Outcome) (bool, string) {
	late := c.end(at)
	switch o.GetKind() {
	case "accepted":
		if o.GetFence() <= c.accepted {
			return true, fmt.Sprintf("version %d was accepted after version %d", o.GetFence(), c.accepted)
		}
		c.accepted = o.GetFence()
		c.since = at
		return true, late
	case "in-force":
		before := c.version[o.GetSubject()]
		c.version[o.GetSubject()] = o.GetFence()
		if o.GetFence() < before {
			return true, fmt.Sprintf("%s went back from version %d to %d", o.GetSubject(), before, o.GetFence())
		}
		return true, late
	case "gone":
		delete(c.version, o.GetSubject())
	}
	return false, late
}

func (c *inForce) end(at time.Duration) string {
	if c.accepted == 0 || at-c.since <= MaxPropagation {
		return ""
	}
	for subject, version := range c.version {
		if version < c.accepted {
			return fmt.Sprintf("%s has version %d, %v after version %d was accepted", subject, version, at-c.since, c.accepted)
		}
	}
	return ""
}
