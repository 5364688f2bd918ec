package gateway

import (
	"time"

	"cuminlift/core/keyspace"
	"cuminlift/io/frames"
	"cuminlift/schema"
)

const (
	// ownerChangesInterval is the time between messages with the keys whose holder has changed. They have some tens of bytes.
	ownerChangesInterval = 200 * time.Millisecond
	// ownersInterval is the shortest time between two whole maps to the same instance, for instances of a build that doesn't know
	// changes. A map has tens of bytes for each holder.
	ownersInterval = 5 * time.Second
	// ownersBytesPerSecond bounds the traffic of whole maps. The slowest links carry 1.2 MB per second: whole maps that are sent to all
	// instances at once fill such a link for half a second, and delay tickets and heartbeats.
	ownersBytesPerSecond = 512 << 10
)

// ownerPublication is what instances know of the holders of the keys of a service, which they use while there is no coordinator.
type ownerPublication struct {
	// last is the map as last published, nil before the first time.
	last *schema.KeyMap
	// changesDueAt is when changes may next be sent.
	changesDueAt time.Duration
	// wholeDueAt is when the next round of whole maps begins, and waiting holds the links that get one in this round. sent holds the
	// connections that were sent a map, so that changes can follow.
	wholeDueAt time.Duration
	waiting    []*link
	sent       map[frameConn]bool
	// changed is true if the holders have changed since the last round.
	changed bool
}

// publishOwners sends changes of the holders of a service's keys to all instances, and whole maps to one after the other.
func (c *coordinator) publishOwners(now time.Duration, s *serviceState) {
	p := &s.owners
	if now >= p.changesDueAt {
		p.changesDueAt = now + ownerChangesInterval
		c.sendOwnerChanges(s)
	}
	if now >= p.wholeDueAt && len(p.waiting) == 0 && p.changed {
		p.changed = false
		p.wholeDueAt = now + c.putOff(ownersInterval)
		for _, l := range c.links {
			p.waiting = append(p.waiting, l)
		}
	}
	c.sendWholeOwners(s)
}

// sendOwnerChanges sends what has changed since the last call to the instances that know the map.
func (c *coordinator) sendOwnerChanges(s *serviceState) {
	p := &s.owners
	current := s.assigner.Map()
	if p.last == nil {
		p.last, p.changed = current, true
		return
	}
	changes := keyspace.Changes(p.last, current)
	if len(changes.GetRanges()) == 0 {
		return
	}
	p.last, p.changed = current, true
	changes.Service = s.name
	message := frames.Encode(&schema.Frame{
		Body: &schema.Frame_OwnerChanges{
			OwnerChanges: changes,
		},
	})
	for _, l := range c.links {
		if l.current != nil && p.sent[l.current] {
			l.current.SendEncoded(message)
		}
	}
}

// sendWholeOwners sends whole maps to as many of the waiting instances as the traffic allows in one tick, at least one.
func (c *coordinator) sendWholeOwners(s *serviceState) {
	p := &s.owners
	if len(p.waiting) == 0 {
		return
	}
	frame := ownersFrame(s)
	message := frames.Encode(frame)
	for budget := int(coordinatorInterval * time.Duration(c.ownersRate()) / time.Second); len(p.waiting) > 0 && budget > 0; budget -= len(message) {
		l := p.waiting[0]
		p.waiting = p.waiting[1:]
		if l.current == nil {
			continue
		}
		l.current.SendEncoded(message)
		p.sent[l.current] = true
	}
}

// queueOwners has a newly connected instance sent the holders of the keys.
func (c *coordinator) queueOwners(l *link) {
	for _, s := range c.services {
		s.owners.waiting = append(s.owners.waiting, l)
	}
}

// forgetOwners forgets that a connection was sent the holders of the keys.
func (c *coordinator) forgetOwners(conn frameConn) {
	for _, s := range c.services {
		delete(s.owners.sent, conn)
	}
}

func ownersFrame(s *serviceState) *schema.Frame {
	return &schema.Frame{
		Body: &schema.Frame_Owners{
			Owners: &schema.Owners{
				Service: s.name,
				Map:     s.assigner.Map(),
			},
		},
	}
}
