// Package assign plans which upstream owns which slice and which instance is the home of which pool. A plan depends
// only on the document and the planner's input.
package assign

import (
	"fmt"
	"sort"
	"strings"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// Config configures a Planner.
type Config struct {
	// Keyed is false for a service whose upstreams own no slices.
	Keyed bool
	// HomeOffset differs between services. It spreads their homes over the instances.
	HomeOffset int
	// InitialSlicesPerHolder is the number of slices created per upstream for a new service. The default is 32.
	InitialSlicesPerHolder int
	// MaxMovesPerPlan bounds the slices that one plan moves to balance load. The default is 8.
	MaxMovesPerPlan int
	// MaxGuardians bounds the number of guardians. The default is 15.
	MaxGuardians int
}

const (
	defaultSlicesPerHolder = 32
	defaultMovesPerPlan    = 8
	defaultMaxGuardians    = 15
)

// Planner implements ownership.Planner.
type Planner struct {
	config Config
}

// NewPlanner returns a planner. Zero values in config are replaced by the defaults.
func NewPlanner(config Config) *Planner {
	if config.InitialSlicesPerHolder == 0 {
		config.InitialSlicesPerHolder = defaultSlicesPerHolder
	}
	if config.MaxMovesPerPlan == 0 {
		config.MaxMovesPerPlan = defaultMovesPerPlan
	}
	if config.MaxGuardians == 0 {
		config.MaxGuardians = defaultMaxGuardians
	}
	return &Planner{
		config: config,
	}
}

// draft is the next document while it is being planned.
type draft struct {
	config  Config
	input   ownership.PlanInput
	before  *schema.Ownership
	next    *schema.Ownership
	version uint64
	reasons []string
	joined  []string
}

// Plan returns the next document, or nil if nothing should change. If it splits a slice, it divides the slice's entry in
// input.Loads too.
func (p *Planner) Plan(document *schema.Ownership, input ownership.PlanInput) *schema.Ownership {
	d := &draft{
		config:  p.config,
		input:   input,
		before:  document,
		next:    ownership.Clone(document),
		version: document.GetVersion() + 1,
	}
	d.planGuardians()
	d.planHolders()
	d.planPools()
	if p.config.Keyed {
		d.planSlices()
	}
	if len(d.reasons) == 0 {
		return nil
	}
	sort.Strings(d.reasons)
	d.next.Reason = strings.Join(d.reasons, "; ")
	return d.next
}

func (d *draft) addReason(reason string) {
	for _, r := range d.reasons {
		if r == reason {
			return
		}
	}
	d.reasons = append(d.reasons, reason)
}

func (d *draft) planGuardians() {
	kept := make([]*schema.Member, 0, len(d.next.GetGuardians()))
	present := map[string]bool{}
	for _, m := range d.next.GetGuardians() {
		if d.input.RemovableGuardians[m.GetId()] {
			d.addReason("guardian " + m.GetId() + " ended")
			continue
		}
		kept = append(kept, m)
		present[m.GetId()] = true
	}
	for _, m := range d.input.Members {
		if !present[m.GetId()] && len(kept) < d.config.MaxGuardians {
			d.addReason("guardian " + m.GetId() + " joined")
			kept = append(kept, m)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].GetId() < kept[j].GetId() })
	d.next.Guardians = kept
}

func (d *draft) planHolders() {
	listed := map[string]*schema.ListedUpstream{}
	for _, u := range d.input.Upstreams {
		listed[u.GetName()] = u
	}
	referenced := d.referencedHolders()
	kept := make([]*schema.Holder, 0, len(d.next.GetHolders()))
	for _, h := range d.next.GetHolders() {
		u := listed[h.GetName()]
		delete(listed, h.GetName())
		if u == nil && !referenced[h.GetName()] && !d.input.Alive[h.GetName()] && len(d.input.Evicted) == 0 {
			d.addReason("upstream " + h.GetName() + " is gone")
			continue
		}
		if u != nil && u.GetAddress() != h.GetAddress() && !referenced[h.GetName()] {
			d.addReason("upstream " + h.GetName() + " moved to " + u.GetAddress())
			h.Address = u.GetAddress()
		}
		kept = append(kept, h)
	}
	for _, u := range listed {
		if u.GetLeaving() {
			continue
		}
		d.joined = append(d.joined, u.GetName())
		kept = append(kept, &schema.Holder{
			Name:    u.GetName(),
			Zone:    u.GetZone(),
			Address: u.GetAddress(),
			Fence:   d.version,
		})
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].GetName() < kept[j].GetName() })
	d.next.Holders = kept
	sort.Strings(d.joined)
	if len(d.joined) > 0 {
		d.addReason(fmt.Sprintf("%d upstreams joined, first %s", len(d.joined), d.joined[0]))
	}
}

// referencedHolders returns the holders that own a slice or may still have a grant for one.
func (d *draft) referencedHolders() map[string]bool {
	used := map[string]bool{}
	for _, s := range d.next.GetSlices() {
		used[s.GetOwner()] = true
		for _, name := range s.GetPrevious() {
			used[name] = true
		}
	}
	return used
}

func (d *draft) planPools() {
	old := map[string]*schema.Pool{}
	for _, p := range d.next.GetPools() {
		old[p.GetZone()] = p
	}
	zones := map[string]bool{}
	for _, h := range d.next.GetHolders() {
		zones[h.GetZone()] = true
	}
	pools := make([]*schema.Pool, 0, len(zones))
	for zone := range zones {
		pool := old[zone]
		if pool == nil {
			pool = &schema.Pool{
				Zone: zone,
			}
		}
		d.planHome(pool)
		pools = append(pools, pool)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].GetZone() < pools[j].GetZone() })
	d.next.Pools = pools
}

func (d *draft) planHome(pool *schema.Pool) {
	best := d.bestHome(pool.GetZone())
	if best == "" || best == pool.GetHome() {
		return
	}
	if d.isAvailable(pool.GetHome()) && !d.input.HandoversComplete {
		return
	}
	d.addReason("home of " + pool.GetZone() + " is " + best)
	pool.Previous = pool.GetHome()
	pool.Home = best
	pool.Since = d.version
}

// bestHome returns the guardian that should be the zone's home. Live guardians in the zone take precedence.
func (d *draft) bestHome(zone string) string {
	var local, remote []string
	for _, m := range d.input.Members {
		if ownership.FindGuardian(d.next, m.GetId()) == nil || d.isOutOfService("instance", m.GetName()) {
			continue
		}
		if m.GetZone() == zone {
			local = append(local, m.GetId())
			continue
		}
		remote = append(remote, m.GetId())
	}
	if len(local) > 0 {
		return local[d.config.HomeOffset%len(local)]
	}
	if len(remote) > 0 {
		return remote[d.config.HomeOffset%len(remote)]
	}
	return ""
}

func (d *draft) isAvailable(id string) bool {
	for _, m := range d.input.Members {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

func (d *draft) isOutOfService(kind, name string) bool {
	for _, o := range d.input.Out {
		if o.GetKind() == kind && o.GetName() == name {
			return true
		}
	}
	return false
}

// mayOwnSlices reports whether slices may be assigned to a holder.
func (d *draft) mayOwnSlices(h *schema.Holder) bool {
	if d.input.Down[h.GetName()] || d.isOutOfService("upstream", h.GetName()) || d.isOutOfService("zone", h.GetZone()) {
		return false
	}
	for _, u := range d.input.Upstreams {
		if u.GetName() == h.GetName() {
			return !u.GetLeaving() && u.GetAddress() == h.GetAddress()
		}
	}
	return d.input.Alive[h.GetName()]
}
