package ownership_test

import (
	"slices"
	"time"

	"cuminlift/schema"
)

// messageKind says what a message in flight carries.
type messageKind int

// message is in flight between two fakes.
type message struct {
	kind messageKind
	// node is the instance that sent a request, or the one that gets an event.
	node     int
	from     int
	started  time.Duration
	base     uint64
	next     *schema.Ownership
	upstream int
	grant    *schema.Grant
	event    *schema.OwnershipEvent
	// due is the world's time from which the message may arrive.
	due time.Duration
}

func (w *world) note(format string, values ...any) {
	if w.log != nil {
		w.log(format, values...)
	}
}

func (w *world) send(m *message) {
	if m.kind == toNode && m.node < 0 {
		return
	}
	m.due = w.now
	if w.delay != nil {
		d := w.delay(m)
		if d < 0 {
			w.lost(m)
			return
		}
		m.due = w.now + d
	}
	w.queue = append(w.queue, m)
}

// lost tells the sender of a grant or a table request that no answer came, as a timeout would.
func (w *world) lost(m *message) {
	event := failure(m)
	if event != nil {
		w.queue = append(w.queue, &message{
			kind:  toNode,
			node:  m.node,
			from:  m.node,
			event: event,
			due:   w.now + w.timing.SuspectTimeout/2,
		})
	}
}

func failure(m *message) *schema.OwnershipEvent {
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
		return lostAnswer(m.event)
	}
	return nil
}

// lostAnswer returns what the asker learns when its answer is lost, nil for a view.
func lostAnswer(event *schema.OwnershipEvent) *schema.OwnershipEvent {
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

// answer sends an event back to the node that asked.
func (w *world) answer(m *message, event *schema.OwnershipEvent) {
	w.send(&message{
		kind:  toNode,
		node:  m.node,
		from:  m.node,
		event: event,
	})
}

// deliver lets one message arrive.
func (w *world) deliver(m *message) {
	sender := w.nodes[m.from]
	switch m.kind {
	case readRequest:
		w.read(m)
	case writeRequest:
		w.write(m)
	case toNode:
		cut := m.from != m.node && (sender.isolated || w.nodes[m.node].isolated)
		if !cut {
			w.step(m.node, m.event)
		}
	case grantRequest:
		h := w.holders[m.upstream]
		cut := h.zone != sender.member.GetZone() && (sender.isolated || w.cutZones[h.zone])
		if h.dead || cut {
			w.answer(m, failure(m))
			break
		}
		if h.frozen {
			h.inbox = append(h.inbox, m)
			break
		}
		w.take(h, m)
	}
	w.check()
}

func (w *world) read(m *message) {
	if w.down || w.nodes[m.node].blocked {
		w.answer(m, failure(m))
		return
	}
	w.answer(m, &schema.OwnershipEvent{
		Kind:      schema.EventKind_read,
		Outcome:   schema.WriteOutcome_committed,
		StartedUs: m.started.Microseconds(),
		Document:  w.document,
		Alive:     w.alive,
	})
}

func (w *world) write(m *message) {
	if w.down || w.nodes[m.node].blocked {
		w.answer(m, failure(m))
		return
	}
	event := &schema.OwnershipEvent{
		Kind:     schema.EventKind_wrote,
		Outcome:  schema.WriteOutcome_conflict,
		Document: w.document,
		Sequence: m.base,
	}
	if m.base == w.document.GetVersion() {
		w.document = m.next
		w.writes++
		w.note("%v entry-%d writes %d: %s: %v", w.now, m.node, m.base+1, m.next.GetReason(), m.next.GetSlices())
		event.Outcome = schema.WriteOutcome_committed
		event.Document = nil
	}
	if w.loseAnswers > 0 {
		w.loseAnswers--
		event = failure(m)
		if w.mutant.lostIsConflict {
			event.Outcome = schema.WriteOutcome_conflict
		}
	}
	w.answer(m, event)
}

// settle delivers what is due, in order of sending.
func (w *world) settle() {
	for {
		i := slices.IndexFunc(w.queue, func(m *message) bool { return m.due <= w.now })
		if i < 0 {
			return
		}
		m := w.queue[i]
		w.queue = slices.Delete(slices.Clone(w.queue), i, i+1)
		w.deliver(m)
	}
}
