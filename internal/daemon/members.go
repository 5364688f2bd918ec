package daemon

import (
	"sort"
	"sync"
	"time"

	"cuminlift/schema"
)

// members is this instance's view of all instances, from the table's rows and from heartbeats.
type members struct {
	self         *schema.Member
	mutex        sync.Mutex
	known        map[string]*memberEntry
	endedMembers map[string]bool
}

type memberEntry struct {
	member        *schema.Member
	lastHeard     time.Duration
	lastContacted time.Duration
	configuration uint64
	leaving       bool
}

const (
	// silentAfter is the time without a heartbeat after which a member counts as silent.
	silentAfter = 5 * time.Second
	// silentMemberPeriod is the interval between heartbeats to a silent member.
	silentMemberPeriod = 2 * time.Second
	// maxMembers bounds the entries kept; the member that has been silent for longest is evicted first.
	maxMembers = 4096
)

func newMembers(self *schema.Member) *members {
	return &members{
		self:         self,
		known:        map[string]*memberEntry{},
		endedMembers: map[string]bool{},
	}
}

// addMember adds a member that was read from the table or from a heartbeat meant for an earlier run.
func (m *members) addMember(member *schema.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.addLocked(member)
}

// addLocked returns the entry for member, creating it if necessary, or nil if the member has ended. A member with the
// peer address of another has replaced it: two processes cannot listen on one address, and IDs increase with the start
// time. The mutex must be held.
func (m *members) addLocked(member *schema.Member) *memberEntry {
	if member.GetId() == "" || member.GetId() == m.self.GetId() || m.endedMembers[member.GetId()] {
		return nil
	}
	if member.GetPeers() == "" {
		// Most heartbeats carry only the ID of their sender.
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
		if longest == "" || k.lastHeard < m.known[longest].lastHeard {
			longest = id
		}
	}
	delete(m.known, longest)
}

// heard updates the sender's entry from a heartbeat.
func (m *members) heard(now time.Duration, h *schema.Heartbeat) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.addLocked(h.GetFrom())
	if k == nil {
		return
	}
	k.lastHeard = now
	k.configuration = h.GetConfigurationVersion()
	k.leaving = h.GetLeaving()
}

// heartbeatTargets returns the members to send a heartbeat to now. In a small cluster these are all members; in a
// larger one those at distances 1, 2, 4, … in ID order, so that the cost grows with the logarithm of the member count
// and an update reaches all members in as many steps.
func (m *members) heartbeatTargets(now time.Duration) []*schema.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var targets []*schema.Member
	for _, k := range m.neighbours() {
		silent := k.lastHeard == 0 || now-k.lastHeard > silentAfter
		if silent && k.lastContacted != 0 && now-k.lastContacted < silentMemberPeriod {
			continue
		}
		k.lastContacted = now
		targets = append(targets, k.member)
	}
	return targets
}

// withOtherConfiguration returns the members that recently reported another configuration version. They are sent a
// heartbeat even if they are no neighbours in this direction, so that whichever side is older receives the newer text.
func (m *members) withOtherConfiguration(version uint64, now time.Duration) []*schema.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var found []*schema.Member
	for _, k := range m.known {
		if k.recentlyHeard(now) && k.configuration != version {
			found = append(found, k.member)
		}
	}
	return found
}

// recentlyHeard reports whether the member sent a heartbeat within twice keepalivePeriod.
func (k *memberEntry) recentlyHeard(now time.Duration) bool {
	return k.lastHeard != 0 && now-k.lastHeard <= 2*keepalivePeriod
}

// fullMeshLimit is the number of other members up to which each sends heartbeats to all others.
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

// alive returns the members that sent a heartbeat within silentAfter, sorted by ID.
func (m *members) alive(now time.Duration) []*schema.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var alive []*schema.Member
	for _, k := range m.known {
		if k.lastHeard != 0 && now-k.lastHeard <= silentAfter {
			alive = append(alive, k.member)
		}
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].GetId() < alive[j].GetId() })
	return alive
}

// endedIDs returns the sorted IDs of members that are known to have ended.
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

// declareEnded marks a member as ended at an operator's request.
func (m *members) declareEnded(id string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.markEnded(id)
}

// hasOlderConfiguration reports whether a member recently reported a configuration older than version.
func (m *members) hasOlderConfiguration(id string, version uint64, now time.Duration) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.known[id]
	return k != nil && k.recentlyHeard(now) && k.configuration < version
}

// MemberState is the state of one member as seen by this instance.
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
			Alive:         k.lastHeard != 0 && now-k.lastHeard <= silentAfter/2,
			Leaving:       k.leaving,
			Configuration: k.configuration,
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Member.GetId() < states[j].Member.GetId() })
	return states
}
