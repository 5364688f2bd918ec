package soak

import (
	"fmt"

	"cuminlift/internal/standin/backend"
)

// holding is what one start of a backend holds of one key.
type holding struct {
	// since is when it took the key, and until when its grant ends; until is 0 after a release.
	since, until int64
	fence        uint64
	// begunAt is when it last began a request on the key, 0 for never.
	begunAt int64
	// excused is true if the last grant was held up on its way.
	excused bool
}

// running is a request on a key that has begun and not ended.
type running struct {
	event backend.Event
	// releasedUntil is when the grant would have ended that a release took away, 0 if there was none.
	releasedUntil int64
}

// owner is the state of one start of a backend.
type owner struct {
	name    string
	backend string
	born    int64
	alive   bool
	keys    map[uint32]*holding
	running map[string]*running
}

// ownerCheck replays the events of keys.
type ownerCheck struct {
	history *History
	owners  map[string]*owner
	// topFence is the highest fence with which each key was taken, by topOwner.
	topFence map[uint32]uint64
	topOwner map[uint32]*owner
	found    []Violation
}

// checkOwners checks that no two backends begin requests on a key that both hold, that no backend is given a key on which another one
// works, and that fences rise. Grants that were held up on their way, or carried out late after a thaw or a healed link, are excused.
func checkOwners(h *History) []Violation {
	o := &ownerCheck{
		history:  h,
		owners:   map[string]*owner{},
		topFence: map[uint32]uint64{},
		topOwner: map[uint32]*owner{},
	}
	exits := h.Exits
	for _, e := range h.Events {
		for len(exits) > 0 && exits[0].At <= e.At {
			o.owner(exits[0].Backend, exits[0].Born).alive = false
			exits = exits[1:]
		}
		b := o.owner(e.Backend, e.Born)
		switch e.Kind {
		case backend.Granted:
			o.grant(b, e)
		case backend.Released:
			o.release(b, e)
		case backend.Begun:
			if e.Keyed {
				o.begin(b, e)
			}
		case backend.Ended:
			delete(b.running, e.Request)
		case backend.Left:
			b.alive = false
		case backend.Started, backend.Draining:
		}
	}
	return o.found
}

func (o *ownerCheck) owner(id string, born int64) *owner {
	name := fmt.Sprintf("%s/%d", id, born)
	if o.owners[name] == nil {
		o.owners[name] = &owner{
			name:    name,
			backend: id,
			born:    born,
			alive:   true,
			keys:    map[uint32]*holding{},
			running: map[string]*running{},
		}
	}
	return o.owners[name]
}

func (o *ownerCheck) fail(e backend.Event, format string, args ...any) {
	o.found = append(o.found, Violation{
		At:    e.At,
		Story: []string{describe(e), fmt.Sprintf(format, args...)},
	})
}

func (o *ownerCheck) grant(b *owner, e backend.Event) {
	arrived := e.At
	if e.ArrivedAt != 0 {
		arrived = e.ArrivedAt
	}
	excused := o.history.justHealed(arrived, freezeSlack, holdups)
	o.checkWork(b, e, excused)
	reported := false
	for key := e.From; key <= e.To; key++ {
		held := b.keys[key]
		if held == nil {
			held = &holding{}
			b.keys[key] = held
		}
		top := o.topOwner[key]
		if !excused && !reported && top != nil && top != b && o.topFence[key] >= e.Fence {
			reported = true
			o.fail(e, "key %d was taken by %s with fence %d before", key, top.name, o.topFence[key])
		}
		if o.topFence[key] <= e.Fence {
			o.topFence[key], o.topOwner[key] = e.Fence, b
		}
		if held.until <= e.At {
			held.since = e.At
			held.begunAt = 0
		}
		held.until, held.fence, held.excused = e.Until, e.Fence, excused
	}
}

// checkWork looks for requests of other backends on keys that b is given.
func (o *ownerCheck) checkWork(b *owner, e backend.Event, excused bool) {
	for _, other := range o.owners {
		if other == b || !other.alive || excused {
			continue
		}
		for _, r := range other.running {
			held := other.keys[r.event.Key]
			if !r.event.Keyed || r.event.Key < e.From || r.event.Key > e.To || held == nil || held.excused {
				continue
			}
			until := r.releasedUntil
			if until == 0 {
				until = held.until
			}
			if until > e.At {
				o.fail(e, "%s is at work on key %d: %s", other.name, r.event.Key, describe(r.event))
			}
		}
	}
}

func (o *ownerCheck) release(b *owner, e backend.Event) {
	for _, r := range b.running {
		held := b.keys[r.event.Key]
		if r.event.Keyed && r.event.Key >= e.From && r.event.Key <= e.To && r.releasedUntil == 0 && held != nil {
			r.releasedUntil = held.until
		}
	}
	for key := e.From; key <= e.To; key++ {
		if held := b.keys[key]; held != nil {
			held.until = 0
		}
	}
}

func (o *ownerCheck) begin(b *owner, e backend.Event) {
	held := b.keys[e.Key]
	b.running[e.Request] = &running{
		event: e,
	}
	if held == nil || held.until <= e.At {
		return // It held the key when it decided; the event is recorded later.
	}
	held.begunAt = e.At
	for _, other := range o.owners {
		theirs := other.keys[e.Key]
		if other == b || !other.alive || theirs == nil || theirs.until <= e.At || theirs.excused || held.excused {
			continue
		}
		if theirs.begunAt >= max(held.since, theirs.since) {
			o.fail(e, "%s holds key %d too, with fence %d, and began a request on it at %s", other.name, e.Key, theirs.fence, clockText(theirs.begunAt))
		}
	}
}
