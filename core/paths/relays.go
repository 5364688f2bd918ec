package paths

import "time"

// Relay is an instance that sends requests for others.
type Relay struct {
	Name, Zone, Address string
}

// ChooseRelays returns up to limit of candidates for an instance, those of its availability zone first. index is the instance's
// position among all; it spreads the instances over the candidates.
func ChooseRelays(candidates []Relay, name, zone string, index, limit int) []Relay {
	var chosen []Relay
	for _, local := range []bool{true, false} {
		for i := range candidates {
			r := candidates[(i+index)%len(candidates)]
			if len(chosen) < limit && r.Name != name && (r.Zone == zone) == local {
				chosen = append(chosen, r)
			}
		}
	}
	return chosen
}

// failedRelayPause is how long a relay that could not be reached, or that reached no upstream itself, is passed over.
const failedRelayPause = time.Second

// Relays are the instances that may send requests for this one, used in turn. The zero value has none. It is not safe for concurrent
// use.
type Relays struct {
	list   []Relay
	next   int
	failed map[string]time.Duration
}

// Set replaces the list.
func (r *Relays) Set(list []Relay) {
	r.list = list
	r.failed = map[string]time.Duration{}
}

// Len returns the number of known relays.
func (r *Relays) Len() int {
	return len(r.list)
}

// Next returns the relay for the next request. ok is false if there is none that has not failed lately.
func (r *Relays) Next(now time.Duration) (relay Relay, ok bool) {
	for i := range r.list {
		index := (r.next + i) % len(r.list)
		failedAt, failed := r.failed[r.list[index].Name]
		if !failed || now-failedAt >= failedRelayPause {
			r.next = index + 1
			return r.list[index], true
		}
	}
	return Relay{}, false
}

// Failed records that a relay did not pass a request on.
func (r *Relays) Failed(now time.Duration, name string) {
	if r.failed != nil {
		r.failed[name] = now
	}
}
