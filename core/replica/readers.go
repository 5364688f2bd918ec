package replica

import "time"

const (
	// triedReaders is the number of instances that are tried first as readers of the store, and maxReaders the number of those that
	// reach it and go on reading.
	triedReaders = 8
	maxReaders   = 3
	// readerTrial is how long they are tried before all instances read for themselves. It is enough for a probe and a heartbeat of each.
	readerTrial = 800 * time.Millisecond
)

// Readers chooses the instances that read the store while it refuses the coordinator, so that not all of them call the store. The zero
// value chooses none. It is not safe for concurrent use.
type Readers struct {
	active bool
	// triedAt is when the chosen ones were first told. all is true if every instance reads.
	triedAt time.Duration
	all     bool
	chosen  map[string]bool
}

// Reader is an instance that may read the store. Reached is true if it has said so itself.
type Reader struct {
	Name    string
	Reached bool
}

// Choose chooses at now among the connected instances, in the order of their names. A few are tried first. If none of them reaches the
// store, all read for themselves until one does; then those that reach it do so for all.
func (r *Readers) Choose(now time.Duration, connected []Reader) {
	var reaching []string
	for _, reader := range connected {
		if reader.Reached && r.Reads(reader.Name) && len(reaching) < maxReaders {
			reaching = append(reaching, reader.Name)
		}
	}
	trying := now-r.triedAt < readerTrial
	switch {
	case !r.active, !r.all && !trying && len(reaching) == 0 && len(r.chosen) <= maxReaders && len(connected) > maxReaders:
		r.try(now, connected)
	case len(reaching) == 0:
		r.all = r.all || !trying
	case len(reaching) < maxReaders && trying && !r.all:
	default:
		r.all = false
		r.choose(reaching)
	}
}

// try chooses instances spread over all.
func (r *Readers) try(now time.Duration, connected []Reader) {
	r.active, r.all, r.triedAt = true, false, now
	count := min(triedReaders, len(connected))
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, connected[i*len(connected)/count].Name)
	}
	r.choose(names)
}

func (r *Readers) choose(names []string) {
	r.chosen = map[string]bool{}
	for _, name := range names {
		r.chosen[name] = true
	}
}

// ChooseAll makes every instance read the store, as long as some can't hand up rows.
func (r *Readers) ChooseAll() {
	r.active, r.all = true, true
}

// Reset chooses none, because the store works for the coordinator.
func (r *Readers) Reset() {
	*r = Readers{}
}

// Reads reports whether an instance reads the store for itself.
func (r *Readers) Reads(name string) bool {
	return r.active && (r.all || r.chosen[name])
}

// Count returns the number of chosen instances, 0 for all or none.
func (r *Readers) Count() int {
	if !r.active || r.all {
		return 0
	}
	return len(r.chosen)
}
