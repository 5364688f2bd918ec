package paths

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Relay is an instance that sends requests for others.
type Relay struct {
	Name, Zone, Address string
	// Weight is its capacity in multiples of that of the smallest relay, 0 if unknown, which counts as 1.
	Weight float64
}

func (r Relay) weight() float64 {
	return max(r.Weight, 1)
}

// Reach is what an instance has told of its paths.
type Reach struct {
	Relay
	// Failed is the number of upstreams that it does not reach. Lost is true if it reaches none of a service.
	Failed int
	Lost   bool
	// CPUPermille and LinkMbps are its processor share, in thousandths of a core, and its link, 0 if unknown.
	CPUPermille, LinkMbps uint32
}

// relayTolerance is the part of all upstreams that a relay may fail to reach beyond what any instance does. Upstreams that have ended are
// noticed by some instances first, and those that serve fewest requests notice none.
const relayTolerance = 0.1

// RelayCandidates returns the instances that may send requests for others, of which there are total upstreams: those that have not lost
// their paths and reach about as many upstreams as the best one. If all have lost paths, it compares these.
func RelayCandidates(instances []Reach, total int) []Relay {
	anyIntact := slices.ContainsFunc(instances, func(r Reach) bool { return !r.Lost })
	var usable []Reach
	fewest := math.MaxInt
	for _, r := range instances {
		if r.Lost && anyIntact {
			continue
		}
		usable = append(usable, r)
		fewest = min(fewest, r.Failed)
	}
	var chosen []Reach
	for _, r := range usable {
		if r.Failed < fewest+max(lostAfter, int(relayTolerance*float64(total))) {
			chosen = append(chosen, r)
		}
	}
	candidates := weigh(chosen)
	slices.SortFunc(candidates, func(a, b Relay) int { return strings.Compare(a.Name, b.Name) })
	return candidates
}

// weigh returns the relays with their weights: the processor or the link, whichever is less, compared with the smallest one.
func weigh(chosen []Reach) []Relay {
	var smallestCPU, smallestLink uint32
	for _, r := range chosen {
		if r.CPUPermille != 0 && (smallestCPU == 0 || r.CPUPermille < smallestCPU) {
			smallestCPU = r.CPUPermille
		}
		if r.LinkMbps != 0 && (smallestLink == 0 || r.LinkMbps < smallestLink) {
			smallestLink = r.LinkMbps
		}
	}
	var relays []Relay
	for _, r := range chosen {
		r.Weight = 1
		if r.CPUPermille != 0 && r.LinkMbps != 0 {
			r.Weight = min(float64(r.CPUPermille)/float64(smallestCPU), float64(r.LinkMbps)/float64(smallestLink))
		}
		relays = append(relays, r.Relay)
	}
	return relays
}

// heavyWeight is the weight from which a relay is preferred to those of the own availability zone.
const heavyWeight = 2

// ChooseRelays returns up to limit of candidates for an instance: up to half of them such that are much larger than the others, then those of
// its availability zone first. index is the instance's position among all; it spreads the instances over the candidates.
func ChooseRelays(candidates []Relay, name, zone string, index, limit int) []Relay {
	var chosen []Relay
	add := func(limit int, wanted func(Relay) bool) {
		for _, local := range []bool{true, false} {
			for i := range candidates {
				r := candidates[(i+index)%len(candidates)]
				if len(chosen) < limit && r.Name != name && (r.Zone == zone) == local && wanted(r) && !slices.Contains(chosen, r) {
					chosen = append(chosen, r)
				}
			}
		}
	}
	add(limit/2, func(r Relay) bool { return r.Weight >= heavyWeight })
	add(limit, func(Relay) bool { return true })
	return chosen
}

const (
	// failedRelayPause is how long a relay that could not be reached, or that reached no upstream itself, is passed over. Each further
	// failure in a row doubles it, up to maxRelayPause.
	failedRelayPause = time.Second
	maxRelayPause    = 8 * time.Second
)

// Relays are the instances that may send requests for this one, used in turn and as often as their weight says. The zero value has none.
// It is not safe for concurrent use.
type Relays struct {
	list []Relay
	// credit holds what each relay is due, in the order of list.
	credit []float64
	failed map[string]relayFailure
}

// relayFailure tells until when a relay is passed over, and for how long that is in all.
type relayFailure struct {
	until, pause time.Duration
}

// Set replaces the list.
func (r *Relays) Set(list []Relay) {
	r.list = list
	r.credit = make([]float64, len(list))
	r.failed = map[string]relayFailure{}
}

// Len returns the number of known relays.
func (r *Relays) Len() int {
	return len(r.list)
}

// Next returns the relay for the next request. ok is false if there is none that has not failed lately.
func (r *Relays) Next(now time.Duration) (relay Relay, ok bool) {
	best, total := -1, 0.0
	for i, candidate := range r.list {
		if now < r.failed[candidate.Name].until {
			continue
		}
		r.credit[i] += candidate.weight()
		total += candidate.weight()
		if best < 0 || r.credit[i] > r.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return Relay{}, false
	}
	r.credit[best] -= total
	return r.list[best], true
}

// Failed records that a relay did not pass a request on. Requests that were under way when it failed first count once.
func (r *Relays) Failed(now time.Duration, name string) {
	f := r.failed[name]
	if r.failed == nil || now < f.until {
		return
	}
	f.pause = min(max(2*f.pause, failedRelayPause), maxRelayPause)
	f.until = now + f.pause
	r.failed[name] = f
}

// Answered records that a relay has passed a request on.
func (r *Relays) Answered(name string) {
	delete(r.failed, name)
}
