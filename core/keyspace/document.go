package keyspace

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// AssignmentError reports an invalid assignment.
type AssignmentError struct {
	Problem string
}

func (e *AssignmentError) Error() string {
	return "invalid key assignment: " + e.Problem + ": once all grants of the service's keys have expired, delete the assignment's rows to assign the keys again"
}

// Validate returns an *AssignmentError if NewManager cannot use the assignment.
func Validate(recorded *schema.Assignment, keys uint32) error {
	m := recorded.GetMap()
	ranges := len(m.GetWidths())
	if len(m.GetOwners()) != ranges || len(recorded.GetFences()) != ranges {
		return &AssignmentError{
			Problem: "the lists differ in length",
		}
	}
	total := uint64(0)
	for i, width := range m.GetWidths() {
		if width == 0 || int(m.GetOwners()[i]) >= len(m.GetHolders()) {
			return &AssignmentError{
				Problem: fmt.Sprintf("range %d is empty or has no holder", i),
			}
		}
		total += uint64(width)
	}
	if ranges > 0 && total != uint64(keys) {
		return &AssignmentError{
			Problem: fmt.Sprintf("it covers %d of %d keys", total, keys),
		}
	}
	for _, p := range recorded.GetPriors() {
		if int(p.GetRange()) >= ranges || int(p.GetHolder()) >= len(m.GetHolders()) {
			return &AssignmentError{
				Problem: "a prior holder refers to an unknown range or holder",
			}
		}
	}
	return nil
}

// restore creates the spans of a recorded assignment. Its holders may own their keys until the given time.
func (k *Manager) restore(recorded *schema.Assignment, until time.Duration) {
	m := recorded.GetMap()
	claimOf := func(position uint32, fence uint64) claim {
		h := m.GetHolders()[position]
		return claim{
			holder: holder{
				id:          h.GetUpstream(),
				incarnation: h.GetBorn(),
				fence:       fence,
			},
			heldUntil:       until,
			unansweredUntil: until,
		}
	}
	from := uint32(0)
	for i, width := range m.GetWidths() {
		k.spans = append(k.spans, k.newSpan(from, from+width-1, claimOf(m.GetOwners()[i], recorded.GetFences()[i])))
		from += width
	}
	for _, p := range recorded.GetPriors() {
		s := k.spans[p.GetRange()]
		s.priors = append(s.priors, &prior{
			claim: claimOf(p.GetHolder(), p.GetFence()),
		})
	}
}

// holderIndex numbers the holders of a key map.
type holderIndex struct {
	positions map[holderKey]uint32
	holders   []*schema.KeyHolder
}

type holderKey struct {
	id          string
	incarnation int64
}

func newHolderIndex() *holderIndex {
	return &holderIndex{
		positions: map[holderKey]uint32{},
	}
}

func (x *holderIndex) position(h holder) uint32 {
	key := holderKey{
		id:          h.id,
		incarnation: h.incarnation,
	}
	position, known := x.positions[key]
	if !known {
		position = uint32(len(x.holders))
		x.positions[key] = position
		x.holders = append(x.holders, &schema.KeyHolder{
			Upstream: h.id,
			Born:     h.incarnation,
		})
	}
	return position
}

func mapOf(spans []*span, index *holderIndex) *schema.KeyMap {
	m := &schema.KeyMap{
		Widths: make([]uint32, 0, len(spans)),
		Owners: make([]uint32, 0, len(spans)),
	}
	for _, s := range spans {
		m.Widths = append(m.Widths, s.to-s.from+1)
		m.Owners = append(m.Owners, index.position(s.holder))
	}
	m.Holders = index.holders
	return m
}

// Map returns the current holder of each range, for publication to other instances.
func (k *Manager) Map() *schema.KeyMap {
	return mapOf(k.spans, newHolderIndex())
}

// document returns the assignment to write. While holders are not known, it keeps an earlier era, so that a successor waits for them too.
func (k *Manager) document(now time.Duration, p *proposal) *schema.Assignment {
	if now >= k.quietUntil {
		k.writtenEra = k.config.Era
	}
	index := newHolderIndex()
	a := &schema.Assignment{
		Term:      k.term,
		Era:       k.writtenEra,
		NextFence: p.nextFence,
		Map:       mapOf(p.spans, index),
	}
	for i, s := range p.spans {
		a.Fences = append(a.Fences, s.holder.fence)
		for _, former := range s.priors {
			a.Priors = append(a.Priors, &schema.KeyPrior{
				Range:  uint32(i),
				Holder: index.position(former.holder),
				Fence:  former.holder.fence,
			})
		}
	}
	a.Map.Holders = index.holders
	return a
}
