package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/paths"
	"cuminlift/schema"
)

const (
	// relaysInterval is the shortest interval between lists of relays to all instances. Instances pass over relays that fail meanwhile.
	relaysInterval = 500 * time.Millisecond
	// maxRelays bounds the relays that an instance is told of.
	maxRelays = 8
)

// useRegisteredRelays uses the instances in the registry, as long as no coordinator has told which of them reach upstreams.
func (t *ticketClient) useRegisteredRelays(registered []paths.Relay) {
	if t.relaysTold {
		return
	}
	slices.SortFunc(registered, func(a, b paths.Relay) int { return strings.Compare(a.Name, b.Name) })
	t.setRelays(paths.ChooseRelays(registered, t.config.Settings.Name, t.config.Settings.Zone, t.index, maxRelays))
}

// relayAnswered records that a relay has passed a request on.
func (t *ticketClient) relayAnswered(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.relays.Answered(name)
}

// setRelays replaces the instances that may send requests for this one.
func (t *ticketClient) setRelays(list []paths.Relay) {
	if before := t.relays.Len(); (before == 0) != (len(list) == 0) {
		t.log.WithFields(logrus.Fields{
			"before":      before,
			"known":       len(list),
			"coordinator": t.coordinatorName,
		}).Info("instances that can send requests for this one changed")
	}
	t.relays.Set(list)
}

// nextRelay returns an instance that may send a request for this one.
func (t *ticketClient) nextRelay() (relay paths.Relay, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.relays.Next(t.clock.Now())
}

// relayFailed records that a relay did not pass a request on.
func (t *ticketClient) relayFailed(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.relays.Failed(t.clock.Now(), name)
}

// announceRelays tells all instances which others reach most upstreams, if that has changed.
func (c *coordinator) announceRelays(now time.Duration) {
	if now < c.relaysDueAt || !c.pathsTold(now) {
		return
	}
	c.relaysDueAt = now + relaysInterval
	candidates := c.relayCandidates()
	if c.relaysTold && slices.Equal(candidates, c.lastRelays) {
		return
	}
	c.lastRelays, c.relaysTold = candidates, true
	for _, l := range c.links {
		c.sendRelays(l)
	}
}

// sendRelays tells an instance which others reach most upstreams. Until the coordinator knows, the instance uses those that the last one
// told it.
func (c *coordinator) sendRelays(l *link) {
	if c.relaysTold {
		l.send(relaysFrame(c.lastRelays, l))
	}
}

// pathsTold reports whether all connected instances have told which upstreams they reach, or most of them in relaysInterval.
func (c *coordinator) pathsTold(now time.Duration) bool {
	connected, told := 0, 0
	for _, l := range c.links {
		if l.current == nil {
			continue
		}
		connected++
		if l.pathsKnown {
			told++
		}
	}
	waited := c.handover.firstLinkAt != 0 && now-c.handover.firstLinkAt >= relaysInterval
	return told > 0 && (told == connected || (waited && 2*told > connected))
}

// relayCandidates returns the instances that may send requests for others.
func (c *coordinator) relayCandidates() []paths.Relay {
	var told []paths.Reach
	for _, l := range c.links {
		if l.current == nil || !l.pathsKnown || l.relayAddress == "" {
			continue
		}
		told = append(told, paths.Reach{
			Relay: paths.Relay{
				Name:    l.name,
				Zone:    l.zone,
				Address: l.relayAddress,
			},
			Failed:      l.failedUpstreams,
			Lost:        l.lostPaths,
			CPUPermille: l.resources.CPUPermille,
			LinkMbps:    l.resources.LinkMbps,
		})
	}
	return paths.RelayCandidates(told, len(c.view().list.Upstreams))
}

func relaysFrame(candidates []paths.Relay, to *link) *schema.Frame {
	message := &schema.Relays{}
	for _, r := range paths.ChooseRelays(candidates, to.name, to.zone, int(to.index), maxRelays) {
		message.Relays = append(message.Relays, &schema.Relay{
			Name:           r.Name,
			Zone:           r.Zone,
			Address:        r.Address,
			WeightPermille: uint32(r.Weight * 1000),
		})
	}
	return &schema.Frame{
		Body: &schema.Frame_Relays{
			Relays: message,
		},
	}
}

func decodeRelays(message *schema.Relays) []paths.Relay {
	var list []paths.Relay
	for _, r := range message.GetRelays() {
		list = append(list, paths.Relay{
			Name:    r.GetName(),
			Zone:    r.GetZone(),
			Address: r.GetAddress(),
			Weight:  float64(r.GetWeightPermille()) / 1000,
		})
	}
	return list
}

// comparePaths tells the leadership whether this instance lacks paths to upstreams that hold keys, and which others have them.
func (c *coordinator) comparePaths(now time.Duration) {
	own := c.paths.failedCount()
	lack := paths.Lack("")
	if own > 0 {
		lack = c.lacksPaths()
	}
	c.logLackingPaths(now, lack, own)
	c.leadership.PathsLost(now, lack != "")
	if lack == "" {
		return
	}
	for _, l := range c.links {
		c.leadership.MemberPaths(l.name, l.current != nil && l.pathsKnown && paths.Reaches(l.failedUpstreams, own))
	}
}

// lacksPaths tells how the coordinator knows that other instances reach upstreams that hold keys and that this one can't grant them to.
func (c *coordinator) lacksPaths() paths.Lack {
	listed := c.view().upstreamIDs()
	for _, s := range c.services {
		if !s.keyed {
			continue
		}
		if lack := c.paths.lacks(s.name, len(listed[s.name]), s.pool.LastAnswered); lack != "" {
			return lack
		}
	}
	return ""
}

// logLackingPaths logs a change. A late tick tells that calls may have failed because this process was late.
func (c *coordinator) logLackingPaths(now time.Duration, lack paths.Lack, unreached int) {
	if lack == c.lackLogged {
		return
	}
	c.lackLogged = lack
	late := time.Duration(0)
	if c.strain.lastTick != 0 {
		late = max(0, now-c.strain.lastTick-coordinatorInterval)
	}
	c.log.WithFields(logrus.Fields{
		"lacking":   string(lack),
		"unreached": unreached,
		"lag":       late,
	}).Warn("paths of the coordinator to holders of keys changed")
}
