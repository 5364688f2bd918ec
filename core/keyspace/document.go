package keyspace

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// AssignmentError reports an assignment that can't be read.
type AssignmentError struct {
	Problem string
}

func (e *AssignmentError) Error() string {
	return "assignment of keys: " + e.Problem + ": remove its rows to start the service's keys anew once no grant of theirs can last"
}

// Validate reports whether an assignment can be read by NewKeeper.
func Validate(recorded *schema.Assignment, keys uint32) error {
	m := recorded.GetMap()
	ranges := len(m.GetWidths())
	if len(m.GetOwners()) != ranges || len(recorded.GetFences()) != ranges {
		return &AssignmentError{
			Problem: "its lists are not of one length",
		}
	}
	whole := uint64(0)
	for i, width := range m.GetWidths() {
		if width == 0 || int(m.GetOwners()[i]) >= len(m.GetHolders()) {
			return &AssignmentError{
				Problem: fmt.Sprintf("range %d is empty or has no holder", i),
			}
		}
		whole += uint64(width)
	}
	if ranges > 0 && whole != uint64(keys) {
		return &AssignmentError{
			Problem: fmt.Sprintf("it has %d keys of %d", whole, keys),
		}
	}
	for _, p := range recorded.GetPriors() {
		if int(p.GetRange()) >= ranges || int(p.GetHolder()) >= len(m.GetHolders()) {
			return &AssignmentError{
				Problem: "a former holder has no range or no name",
			}
		}
	}
	return nil
}

// restore makes the spans of a recorded assignment. Whoever stands in it may hold its keys until may.
func (k *Manager) restore(recorded *schema.Assignment, may time.Duration) {
	m := recorded.GetMap()
	claimOf := func(place uint32, fence uint64) claim {
		h := m.GetHolders()[place]
		return claim{
			holder: holder{
				id:    h.GetUpstream(),
				born:  h.GetBorn(),
				fence: fence,
			},
			held:       may,
			unanswered: may,
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

// names numbers the holders of a key map.
type names struct {
	places  map[incarnation]uint32
	holders []*schema.KeyHolder
}

type incarnation struct {
	id   string
	born int64
}

func newNames() *names {
	return &names{
		places: map[incarnation]uint32{},
	}
}

func (n *names) place(h holder) uint32 {
	key := incarnation{
		id:   h.id,
		born: h.born,
	}
	place, known := n.places[key]
	if !known {
		place = uint32(len(n.holders))
		n.places[key] = place
		n.holders = append(n.holders, &schema.KeyHolder{
			Upstream: h.id,
			Born:     h.born,
		})
	}
	return place
}

func mapOf(spans []*span, n *names) *schema.KeyMap {
	m := &schema.KeyMap{
		Widths: make([]uint32, 0, len(spans)),
		Owners: make([]uint32, 0, len(spans)),
	}
	for _, s := range spans {
		m.Widths = append(m.Widths, s.to-s.from+1)
		m.Owners = append(m.Owners, n.place(s.holder))
	}
	m.Holders = n.holders
	return m
}

// Map returns who holds what, for others to know.
func (k *Manager) Map() *schema.KeyMap {
	return mapOf(k.spans, newNames())
}

func (k *Manager) document(p *proposal) *schema.Assignment {
	n := newNames()
	a := &schema.Assignment{
		Term:      k.term,
		NextFence: p.nextFence,
		Map:       mapOf(p.spans, n),
	}
	for i, s := range p.spans {
		a.Fences = append(a.Fences, s.holder.fence)
		for _, former := range s.priors {
			a.Priors = append(a.Priors, &schema.KeyPrior{
				Range:  uint32(i),
				Holder: n.place(former.holder),
				Fence:  former.holder.fence,
			})
		}
	}
	a.Map.Holders = n.holders
	return a
}
