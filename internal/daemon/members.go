package daemon

import (
	"sort"
	"sync"
	"time"

	"cuminlift/schema"
)

// members is what this instance knows of all instances: from the table's rows and from heartbeats.
type members struct {
	self         *schema.Member
	mutex        sync.Mutex
	known        map[string]*memberEntry
	endedMembers map[string]bool
}

type memberEntry struct {
	member        *schema.Member
	heard         time.Duration
	lastContacted time.Duration
	configuration uint64
	leaving       bool
}

const (
	// quietAfter is the silence after which a member is asked less often.
	silentAfter = 5 * time.Second
	// quietPeriod is how often such a member is asked.
	silentMemberPeriod = 2 * time.Second
	// maxMembers bounds the members kept; those longest silent go first.
	maxMembers = 4096
)

func newMembers(self *schema.Member) *members {
	return &members{
		self:         self,
		known:        map[string]*memberEntry{},
		endedMembers: map[string]bool{},
	}
}

// learn takes a member from the table.
func (m *members) addFromTable(member *schema.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.add(member)
}

// add returns the entry for member, or nil for one that has ended. A member with the peers address of another has
// taken its place: two processes can't hold one address, and ids grow with the time of start.
func (m *members) add(member *schema.Member) *memberEntry {
	if member.GetId() == "" || member.GetId() == m.self.GetId() || m.endedMembers[member.GetId()] {
		return nil
	}
	if member.GetPeers() == "" {
		// Most heartbeats carry the id alone.
		return m.known[member.GetId()]
	}
	if member.GetPeers() == m.self.GetPeers() {
		m.markEnded(member.GetId())
		return nil
	}
	if k := m.known[member.GetId()]; k != nil {
		return k
	}
	for id, other := range m.known {
		if other.member.GetPeers() != member.GetPeers() || other.member.GetName() != member.GetName() {
			continue
		}
		if id > member.GetId() {
			m.markEnded(member.GetId())
			return nil
		}
		m.markEnded(id)
	}
	if len(m.known) >= maxMembers {
		m.evictLongestSilent()
	}
	k := &memberEntry{
		member: member,
	}
	m.known[member.GetId()] = k
	return k
}

func (m *members) markEnded(id string) {
	delete(m.known, id)
	if len(m.endedMembers) >= maxMembers {
		clear(m.endedMembers)
	}
	m.endedMembers[id] = true
}

func (m *members) evictLongestSilent() {
	longest := ""
	for id, k := range m.known {
		if longest == "" || k.heard < m.known[longest].heard {
			longest = id
		}
	}
	delete(m.known, longest)
}

// heard takes note of a heartbeat.
func (m *members) heard(now time.Duration, h *schema.Heartbeat) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.add(h.GetFrom())
	if k == nil {
		return
	}
	k.heard = now
	k.configuration = h.GetConfigurationVersion()
	k.leaving = h.GetLeaving()
}

// targets returns the members to send a heartbeat to now: all of a few, and of many those at distances 1, 2, 4, … in
// the order of ids, so that the cost grows with the logarithm of their number and news reach all in as many steps.
func (m *members) heartbeatTargets(now time.Duration) []*schema.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var heartbeatTargets []*schema.Member
	for _, k := range m.neighbours() {
		silent := k.heard == 0 || now-k.heard > silentAfter
		if silent && k.lastContacted != 0 && now-k.lastContacted < silentMemberPeriod {
			continue
		}
		k.lastContacted = now
		heartbeatTargets = append(heartbeatTargets, k.member)
	}
	return heartbeatTargets
}

// askers returns members that have told of a newer configuration than version, or of an older one: they are sent a
// heartbeat, so that the older one gets the newer text though the two are no neighbours in this direction.
func (m *members) others(version uint64, now time.Duration) []*schema.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var others []*schema.Member
	for _, k := range m.known {
		if k.recentlyHeard(now) && k.configuration != version {
			others = append(others, k.member)
		}
	}
	return others
}

// lately reports whether the member was heard within twice the base period.
func (k *memberEntry) recentlyHeard(now time.Duration) bool {
	return k.heard != 0 && now-k.heard <= 2*keepalivePeriod
}

// fewMembers is the number of other members up to which each hears from all.
const fullMeshLimit = 16

func (m *members) neighbours() []*memberEntry {
	ids := make([]string, 0, len(m.known))
	for id := range m.known {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	var targets []*memberEntry
	if len(ids) <= fullMeshLimit {
		for _, id := range ids {
			targets = append(targets, m.known[id])
		}
		return targets
	}
	position := sort.SearchStrings(ids, m.self.GetId())
	for distance := 1; distance <= len(ids); distance *= 2 {
		targets = append(targets, m.known[ids[(position+distance-1)%len(ids)]])
	}
	return targets
}

// alive returns the members heard lately, sorted by id.
func (m *members) alive(now time.Duration) []*schema.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var alive []*schema.Member
	for _, k := range m.known {
		if k.heard != 0 && now-k.heard <= silentAfter {
			alive = append(alive, k.member)
		}
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].GetId() < alive[j].GetId() })
	return alive
}

// ended returns the ids of members that are proved to have ended, sorted.
func (m *members) endedIDs() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ids := make([]string, 0, len(m.endedMembers))
	for id := range m.endedMembers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// forget declares a member ended, on an operator's word.
func (m *members) declareEnded(id string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.markEnded(id)
}

// behind reports whether a member has lately said that it has an older configuration than version.
func (m *members) hasOlderConfiguration(id string, version uint64, now time.Duration) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.known[id]
	return k != nil && k.recentlyHeard(now) && k.configuration < version
}

// MemberState is one member as this instance sees it.
type MemberState struct {
	Member        *schema.Member
	Alive         bool
	Leaving       bool
	Configuration uint64
}

func (m *members) states(now time.Duration) []MemberState {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var states []MemberState
	for _, k := range m.known {
		states = append(states, MemberState{
			Member:        k.member,
			Alive:         k.heard != 0 && now-k.heard <= silentAfter/2,
			Leaving:       k.leaving,
			Configuration: k.configuration,
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Member.GetId() < states[j].Member.GetId() })
	return states
}
