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

func (sm *simulation) logf(format string, values ...any) {
	if sm.log != nil {
		sm.log(format, values...)
	}
}

func (sm *simulation) send(m *message) {
	if m.kind == toNode && m.node < 0 {
		return
	}
	m.due = sm.now
	if sm.delay != nil {
		d := sm.delay(m)
		if d < 0 {
			sm.dropMessage(m)
			return
		}
		m.due = sm.now + d
	}
	sm.queue = append(sm.queue, m)
}

// dropMessage loses m. The sender of a grant or a table request gets a failure event later, as from a timeout.
func (sm *simulation) dropMessage(m *message) {
	event := failureEvent(m)
	if event != nil {
		sm.queue = append(sm.queue, &message{
			kind:  toNode,
			node:  m.node,
			from:  m.node,
			event: event,
			due:   sm.now + sm.timing.SuspectTimeout/2,
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
func (sm *simulation) reply(m *message, event *schema.OwnershipEvent) {
	sm.send(&message{
		kind:  toNode,
		node:  m.node,
		from:  m.node,
		event: event,
	})
}

// deliver delivers one message.
func (sm *simulation) deliver(m *message) {
	sender := sm.nodes[m.from]
	switch m.kind {
	case readRequest:
		sm.read(m)
	case writeRequest:
		sm.write(m)
	case toNode:
		cut := m.from != m.node && (sender.isolated || sm.nodes[m.node].isolated)
		if !cut {
			sm.step(m.node, m.event)
		}
	case grantRequest:
		h := sm.holders[m.upstream]
		cut := h.zone != sender.member.GetZone() && (sender.isolated || sm.cutZones[h.zone])
		if h.dead || cut {
			sm.reply(m, failureEvent(m))
			break
		}
		if h.frozen {
			h.inbox = append(h.inbox, m)
			break
		}
		sm.receiveGrant(h, m)
	}
	sm.checkOverlap()
}

func (sm *simulation) read(m *message) {
	if sm.platformDown || sm.nodes[m.node].blocked {
		sm.reply(m, failureEvent(m))
		return
	}
	sm.reply(m, &schema.OwnershipEvent{
		Kind:      schema.EventKind_read,
		Outcome:   schema.WriteOutcome_committed,
		StartedUs: m.started.Microseconds(),
		Document:  sm.document,
		Alive:     sm.aliveCounters,
	})
}

func (sm *simulation) write(m *message) {
	if sm.platformDown || sm.nodes[m.node].blocked {
		sm.reply(m, failureEvent(m))
		return
	}
	event := &schema.OwnershipEvent{
		Kind:     schema.EventKind_wrote,
		Outcome:  schema.WriteOutcome_conflict,
		Document: sm.document,
		Sequence: m.base,
	}
	if m.base == sm.document.GetVersion() {
		sm.document = m.next
		sm.writes++
		sm.logf("%v entry-%d writes %d: %s: %v", sm.now, m.node, m.base+1, m.next.GetReason(), m.next.GetSlices())
		event.Outcome = schema.WriteOutcome_committed
		event.Document = nil
	}
	if sm.answersToLose > 0 {
		sm.answersToLose--
		event = failureEvent(m)
		if sm.mutant.lostIsConflict {
			event.Outcome = schema.WriteOutcome_conflict
		}
	}
	sm.reply(m, event)
}

// deliverDue delivers the messages that are due, in the order in which they were sent.
func (sm *simulation) deliverDue() {
	for {
		i := slices.IndexFunc(sm.queue, func(m *message) bool { return m.due <= sm.now })
		if i < 0 {
			return
		}
		m := sm.queue[i]
		sm.queue = slices.Delete(slices.Clone(sm.queue), i, i+1)
		sm.deliver(m)
	}
}
