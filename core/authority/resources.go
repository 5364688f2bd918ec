package authority

import "time"

// Resources are what an instance has, or what an instance needs to be the coordinator. 0 stands for unknown.
type Resources struct {
	// CPUPermille is in thousandths of a core.
	CPUPermille, LinkMbps, MemoryMB, MaxFDs uint32
}

// Load is what the work of the coordinator grows with.
type Load struct {
	Instances, Upstreams int
	RequestsPerSecond    float64
}

const (
	// headroom is the ratio of what the coordinator needs to its average use. Requests come in bursts of up to twice the average.
	headroom = 2
	// The CPU slopes are fitted to the coordinators of 9 to 13 instances at 300 requests/s (0.035 to 0.063 of a core) and of 59 to 62
	// at 1,500 to 2,900 (0.11 to 0.18), see docs/CAPACITY.md.
	cpuPerRequest, cpuPerInstance, cpuPerUpstream = 60e-6, 0.2e-3, 0.1e-3
	// The link slopes are counted by hand, in bits per second of the busier direction with headers: the messages of a ticket, five
	// heartbeats a second, and owner updates of 28 bytes an upstream, which are sent to each instance once a second.
	linkPerRequest, linkPerInstance, linkPerOwner = 3600, 8000, 224
	// maxOwnersLink bounds owner updates.
	maxOwnersLink = 8.4e6
	// The memory slopes are fitted to 24 to 76 MB at 60 instances and 300 upstreams.
	baseMemoryMB, memoryPerInstance, memoryPerUpstream = 30, 0.3, 0.1
	// baseFDs are those of an instance that is not the coordinator, which has a connection more to each instance and upstream.
	baseFDs = 64
	// assumedRequestsPerUpstream is the rate of requests that is assumed before a coordinator has reported one. Deployments have 5
	// to 10 requests/s an upstream.
	assumedRequestsPerUpstream = 10
)

// AssumedLoad returns the load to expect while no coordinator has reported one.
func AssumedLoad(instances, upstreams int) Load {
	return Load{
		Instances:         instances,
		Upstreams:         upstreams,
		RequestsPerSecond: assumedRequestsPerUpstream * float64(upstreams),
	}
}

// Needs returns the resources that an instance needs to coordinate under the load.
func (l Load) Needs() Resources {
	instances, upstreams := float64(l.Instances), float64(l.Upstreams)
	cpu := cpuPerRequest*l.RequestsPerSecond + cpuPerInstance*instances + cpuPerUpstream*upstreams
	link := linkPerRequest*l.RequestsPerSecond + linkPerInstance*instances + min(maxOwnersLink, linkPerOwner*instances*upstreams)
	return Resources{
		CPUPermille: uint32(headroom * cpu * 1e3),
		LinkMbps:    uint32(headroom * link / 1e6),
		MemoryMB:    uint32(baseMemoryMB + memoryPerInstance*instances + memoryPerUpstream*upstreams),
		MaxFDs:      uint32(baseFDs + l.Instances + l.Upstreams),
	}
}

// fit returns the smallest ratio of a resource to what is needed of it, at most 1: having more than needed makes no difference.
func (r Resources) fit(needed Resources) float64 {
	fit := 1.0
	for _, pair := range [][2]uint32{
		{r.CPUPermille, needed.CPUPermille},
		{r.LinkMbps, needed.LinkMbps},
		{r.MemoryMB, needed.MemoryMB},
		{r.MaxFDs, needed.MaxFDs},
	} {
		if pair[0] != 0 && pair[1] != 0 {
			fit = min(fit, float64(pair[0])/float64(pair[1]))
		}
	}
	return fit
}

// Best returns the resources of the instance that is fittest to coordinate, of several that are equally fit the one with the largest
// CPU share. Instances of earlier builds tell no link; they are passed over unless all are.
func Best(needed Resources, instances []Resources) Resources {
	best := Resources{}
	for _, r := range instances {
		if (r.LinkMbps != 0) != (best.LinkMbps != 0) {
			if r.LinkMbps != 0 {
				best = r
			}
			continue
		}
		fit, bestFit := r.fit(needed), best.fit(needed)
		if best == (Resources{}) || fit > bestFit || (fit == bestFit && r.CPUPermille > best.CPUPermille) {
			best = r
		}
	}
	return best
}

// Candidate is an instance that may take the lease.
type Candidate struct {
	Name string
	// Own are the resources of the instance, Best those of the fittest known instance, and Needed what the coordinator needs.
	Own, Best, Needed Resources
	// LargestCPUPermille is the largest known CPU share. It decides while the link of no instance is known.
	LargestCPUPermille uint32
}

// fitTolerance is the part of the best instance's fitness from which another one counts as equal: settings of instances that are
// meant to be alike may differ a little.
const fitTolerance = 0.8

// Rank returns the position in the order of takeover. Instances that are as fit as the best one are ordered as by their CPU share
// alone. Those that are less fit come later, so that an instance which would lose the lease again, because its processor or link is
// too small for the coordinator's traffic, doesn't take it while a fitter one is alive.
func (c Candidate) Rank() int {
	if c.Own.LinkMbps == 0 || c.Best.LinkMbps == 0 {
		return Rank(c.Name, c.Own.CPUPermille, c.LargestCPUPermille)
	}
	rank := Rank(c.Name, c.Own.CPUPermille, c.Best.CPUPermille)
	if First(rank) && c.Own.fit(c.Needed) < fitTolerance*c.Best.fit(c.Needed) {
		rank += smallInstanceDelay
	}
	return rank
}

// Demand measures the rate of requests that the coordinator gets.
type Demand struct {
	rate    float64
	since   time.Duration
	counted uint64
	started bool
}

const (
	// demandInterval is the time over which requests are counted.
	demandInterval = time.Second
	// demandDecay is the part of the highest rate that is left after demandInterval: half of it after 35 s, since waves and bursts
	// come back.
	demandDecay = 0.98
)

// NewDemand returns a Demand that starts with the rate that the last coordinator reported, 0 for none.
func NewDemand(rate float64) Demand {
	return Demand{
		rate: rate,
	}
}

// Observe records the number of requests since the start.
func (d *Demand) Observe(now time.Duration, count uint64) {
	if !d.started {
		d.started, d.since, d.counted = true, now, count
		return
	}
	elapsed := now - d.since
	if elapsed < demandInterval {
		return
	}
	d.rate = max(d.rate*demandDecay, float64(count-d.counted)/elapsed.Seconds())
	d.since, d.counted = now, count
}

// Rate returns the highest recent rate, in requests per second.
func (d *Demand) Rate() float64 {
	return d.rate
}
