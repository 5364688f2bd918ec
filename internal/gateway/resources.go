package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/authority"
	"cuminlift/schema"
)

// resources returns what the settings say of the instance.
func (s Settings) resources() authority.Resources {
	return authority.Resources{
		CPUPermille: permille(s.CPUShare),
		LinkMbps:    s.LinkMbps,
		MemoryMB:    uint32(s.MemoryBytes >> 20),
		MaxFDs:      s.MaxFDs,
	}
}

func rowResources(row *schema.InstanceRow) authority.Resources {
	return authority.Resources{
		CPUPermille: row.GetCpuPermille(),
		LinkMbps:    row.GetLinkMbps(),
		MemoryMB:    row.GetMemoryMb(),
		MaxFDs:      row.GetMaxFds(),
	}
}

func encodeResources(r authority.Resources) *schema.InstanceResources {
	return &schema.InstanceResources{
		CpuPermille: r.CPUPermille,
		LinkMbps:    r.LinkMbps,
		MemoryMb:    r.MemoryMB,
		MaxFds:      r.MaxFDs,
	}
}

func decodeResources(r *schema.InstanceResources) authority.Resources {
	return authority.Resources{
		CPUPermille: r.GetCpuPermille(),
		LinkMbps:    r.GetLinkMbps(),
		MemoryMB:    r.GetMemoryMb(),
		MaxFDs:      r.GetMaxFds(),
	}
}

// peerResources is what an instance knows of the others' resources and of what the coordinator needs, from the last heartbeat or, before
// the first one, from the instance rows.
type peerResources struct {
	needed, best authority.Resources
	// requestRate is as in the heartbeat.
	requestRate uint32
	// rows are the resources in the instance rows as last read, and told is true once a heartbeat has told the fields above.
	rows []authority.Resources
	told bool
}

// learnResources records what a heartbeat tells. That of an earlier build tells nothing: what is known then stays.
func (t *ticketClient) learnResources(beat *schema.Beat) {
	if beat.GetNeeded() == nil {
		return
	}
	t.resources = peerResources{
		needed:      decodeResources(beat.GetNeeded()),
		best:        decodeResources(beat.GetBest()),
		requestRate: beat.GetRequestRate(),
		told:        true,
	}
}

// rank returns the instance's position in the order of takeover.
func (t *ticketClient) rank() int {
	known := t.resources
	if !known.told {
		// The upstreams may be read after the instance rows.
		known.needed = authority.AssumedLoad(len(known.rows), len(t.view().list.Upstreams)).Needs()
		known.best = authority.Best(known.needed, known.rows)
	}
	return authority.Candidate{
		Name:               t.config.Settings.Name,
		Own:                t.config.Settings.resources(),
		Best:               known.best,
		Needed:             known.needed,
		LargestCPUPermille: t.maxCPUPermille,
	}.Rank()
}

// measureDemand updates what the coordinator needs, and which of the connected instances is fittest for it.
func (c *coordinator) measureDemand(now time.Duration) {
	c.demand.Observe(now, c.requests.Load())
	load := authority.Load{
		Instances:         len(c.links),
		Upstreams:         len(c.view().list.Upstreams),
		RequestsPerSecond: c.demand.Rate(),
	}
	c.resources.needed = load.Needs()
	c.resources.requestRate = uint32(c.demand.Rate())
	connected := make([]authority.Resources, 0, len(c.links))
	for _, l := range c.links {
		if l.current != nil {
			connected = append(connected, l.resources)
		}
	}
	best := authority.Best(c.resources.needed, connected)
	if best == c.resources.best {
		return
	}
	c.resources.best = best
	c.log.WithFields(logrus.Fields{
		"needed-cpu":  c.resources.needed.CPUPermille,
		"needed-link": c.resources.needed.LinkMbps,
		"best-cpu":    best.CPUPermille,
		"best-link":   best.LinkMbps,
		"rate":        c.resources.requestRate,
	}).Info("fittest instance changed")
}
