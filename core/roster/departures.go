package roster

import "time"

// Departures remembers which starts of upstreams have said themselves that they leave. The registry may say otherwise for a while,
// or again after it has lost changes. The zero value is empty. It is not safe for concurrent use.
type Departures struct {
	byID map[string]departure
}

type departure struct {
	incarnation int64
	at          time.Duration
}

// departureMemory is how long the departure of an upstream is remembered. It is far longer than one takes to leave, and than
// the time by which the registry may be set back.
const departureMemory = 10 * time.Minute

// Add records at now that an upstream leaves. It reports whether that is news.
func (d *Departures) Add(now time.Duration, id string, incarnation int64) bool {
	if d.Has(id, incarnation) {
		return false
	}
	for other, departed := range d.byID {
		if now-departed.at > departureMemory {
			delete(d.byID, other)
		}
	}
	if d.byID == nil {
		d.byID = map[string]departure{}
	}
	d.byID[id] = departure{
		incarnation: incarnation,
		at:          now,
	}
	return true
}

// Has reports whether this start of an upstream, or a later one, has said that it leaves.
func (d *Departures) Has(id string, incarnation int64) bool {
	departed, known := d.byID[id]
	return known && departed.incarnation >= incarnation
}

// List calls visit for each departure.
func (d *Departures) List(visit func(id string, incarnation int64)) {
	for id, departed := range d.byID {
		visit(id, departed.incarnation)
	}
}
