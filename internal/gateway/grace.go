package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
)

// keepZones keeps zones excluded that an older copy of the store doesn't exclude: it may lack the order. before holds the zones excluded
// until now, of which those kept already stay so when the copy is read again.
func (f *follower) keepZones(before map[string]bool, newEra bool) {
	for zone := range before {
		if !f.next.list.ExcludedZones[zone] && (newEra || f.keptZones[zone]) {
			f.next.list.ExcludedZones[zone] = true
			f.keptZones[zone] = true
		}
	}
	if newEra {
		f.startGrace(eraGrace)
	}
}

// startGrace keeps missing entries until live upstreams have had time to register again. The caller holds the mutex.
func (f *follower) startGrace(grace time.Duration) {
	f.graceUntil = max(f.graceUntil, f.clock.Now()+grace)
	time.AfterFunc(grace+clockTolerance, func() { f.update(f.endGrace) })
}

// endGrace decides on what was kept, unless a later grace period has begun.
func (f *follower) endGrace() {
	if f.clock.Now() < f.graceUntil {
		return
	}
	for id := range f.missing {
		f.removeUpstream(id)
	}
	for zone := range f.keptZones {
		delete(f.next.list.ExcludedZones, zone)
		f.log.WithField("zone", zone).Info("availability zone is no longer excluded: its order was lost and not written again")
	}
	var confirmed []cuminlift.Row
	for _, row := range f.held {
		confirmed = append(confirmed, row)
	}
	clear(f.keptZones)
	clear(f.held)
	f.applyUpstreams(confirmed)
}

// holdOutdated notes which rows of an older copy of the store are not to be applied before they are written again. An upstream that was
// gone before stays so for now, and one that was leaving leaves, whatever the copy says.
func (f *follower) holdOutdated(rows []cuminlift.Row) {
	now := f.clock.Now()
	clear(f.held)
	for id, known := range f.rows {
		if known.upstream.Draining {
			f.departures.Add(now, id, known.upstream.Incarnation)
		}
		known.version = 0 // Versions of different eras can't be compared.
		f.rows[id] = known
	}
	for _, row := range rows {
		known, wasKnown := f.rows[row.Key]
		u, err := f.registry.Upstream(row)
		if err == nil && (!wasKnown || u.Incarnation < known.upstream.Incarnation) {
			f.held[row.Key] = row
		}
	}
	f.log.WithFields(logrus.Fields{
		"rows": len(rows),
		"held": len(f.held),
	}).Info("upstreams of an older copy of the store")
	f.startGrace(eraGrace)
}
