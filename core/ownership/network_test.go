package ownership_test

import (
	"slices"
	"time"

	"cuminlift/schema"
)

// messageKind identifies what a message carries.
type messageKind int

// message is in flight between two parts of the simulation.
type message struct {
	kind messageKind
	// node is the instance that sent a request, or the one that receives an event.
	node     int
	from     int
	started  time.Duration
	base     uint64
	next     *schema.Ownership
	upstream int
	grant    *schema.Grant
	event    *schema.OwnershipEvent
	// due is the simulation's time from which the message may be delivered.
	due time.Duration
}

func (sim *simulation) logf(format string, values ...any) {
	if sim.log != nil {
		sim.log(format, values...)
	}
}

func (sim *simulation) send(m *message) {
	if m.kind == toNode && m.node < 0 {
		return
	}
	m.due = sim.now
	if sim.delay != nil {
		d := sim.delay(m)
		if d < 0 {
			sim.dropMessage(m)
			return
		}
		m.due = sim.now + d
	}
	sim.queue = append(sim.queue, m)
}

// dropMessage loses m. The sender of a grant or a table request gets a failure event later, as from a timeout.
func (sim *simulation) dropMessage(m *message) {
	event := failureEvent(m)
	if event != nil {
		sim.queue = append(sim.queue, &message{
			kind:  toNode,
			node:  m.node,
			from:  m.node,
			event: event,
			due:   sim.now + sim.timing.SuspectTimeout/2,
		})
	}
}

func failureEvent(m *message) *schema.OwnershipEvent {
	switch m.kind {
	case readRequest:
		return &schema.OwnershipEvent{
			Kind: schema.EventKind_read,
		}
	case writeRequest:
		return &schema.OwnershipEvent{
			Kind:     schema.EventKind_wrote,
			Sequence: m.base,
		}
	case grantRequest:
		return &schema.OwnershipEvent{
			Kind:     schema.EventKind_failed,
			Upstream: m.grant.GetUpstream(),
			Sequence: m.grant.GetSequence(),
		}
	case toNode:
		return lostAnswerEvent(m.event)
	}
	return nil
}

// lostAnswerEvent returns the event that the requester gets if its answer is lost, or nil for a view.
func lostAnswerEvent(event *schema.OwnershipEvent) *schema.OwnershipEvent {
	switch event.GetKind() {
	case schema.EventKind_read, schema.EventKind_wrote:
		return &schema.OwnershipEvent{
			Kind:     event.GetKind(),
			Sequence: event.GetSequence(),
		}
	case schema.EventKind_replied:
		return &schema.OwnershipEvent{
			Kind:     schema.EventKind_failed,
			Upstream: event.GetReply().GetUpstream(),
			Sequence: event.GetReply().GetSequence(),
		}
	}
	return nil
}

// reply sends an event back to the node that made the request.
func (sim *simulation) reply(m *message, event *schema.OwnershipEvent) {
	sim.send(&message{
		kind:  toNode,
		node:  m.node,
		from:  m.node,
		event: event,
	})
}

// deliver delivers one message.
func (sim *simulation) deliver(m *message) {
	sender := sim.nodes[m.from]
	switch m.kind {
	case readRequest:
		sim.read(m)
	case writeRequest:
		sim.write(m)
	case toNode:
		cut := m.from != m.node && (sender.isolated || sim.nodes[m.node].isolated)
		if !cut {
			sim.step(m.node, m.event)
		}
	case grantRequest:
		h := sim.holders[m.upstream]
		cut := h.zone != sender.member.GetZone() && (sender.isolated || sim.cutZones[h.zone])
		if h.dead || cut {
			sim.reply(m, failureEvent(m))
			break
		}
		if h.frozen {
			h.inbox = append(h.inbox, m)
			break
		}
		sim.receiveGrant(h, m)
	}
	sim.checkOverlap()
}

func (sim *simulation) read(m *message) {
	if sim.platformDown || sim.nodes[m.node].blocked {
		sim.reply(m, failureEvent(m))
		return
	}
	sim.reply(m, &schema.OwnershipEvent{
		Kind:      schema.EventKind_read,
		Outcome:   schema.WriteOutcome_committed,
		StartedUs: m.started.Microseconds(),
		Document:  sim.document,
		Alive:     sim.aliveCounters,
	})
}

func (sim *simulation) write(m *message) {
	if sim.platformDown || sim.nodes[m.node].blocked {
		sim.reply(m, failureEvent(m))
		return
	}
	event := &schema.OwnershipEvent{
		Kind:     schema.EventKind_wrote,
		Outcome:  schema.WriteOutcome_conflict,
		Document: sim.document,
		Sequence: m.base,
	}
	if m.base == sim.document.GetVersion() {
		sim.document = m.next
		sim.writes++
		sim.logf("%v entry-%d writes %d: %s: %v", sim.now, m.node, m.base+1, m.next.GetReason(), m.next.GetSlices())
		event.Outcome = schema.WriteOutcome_committed
		event.Document = nil
	}
	if sim.answersToLose > 0 {
		sim.answersToLose--
		event = failureEvent(m)
		if sim.mutant.lostIsConflict {
			event.Outcome = schema.WriteOutcome_conflict
		}
	}
	sim.reply(m, event)
}

// deliverDue delivers the messages that are due, in the order in which they were sent.
func (sim *simulation) deliverDue() {
	for {
		i := slices.IndexFunc(sim.queue, func(m *message) bool { return m.due <= sim.now })
		if i < 0 {
			return
		}
		m := sim.queue[i]
		sim.queue = slices.Delete(slices.Clone(sim.queue), i, i+1)
		sim.deliver(m)
	}
}
