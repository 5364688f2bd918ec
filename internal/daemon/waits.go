package daemon

import (
	"sync"
	"time"
)

// waitMemory is how long a zone's expected wait is believed.
const waitMemory = 10 * time.Millisecond

// zoneWaits remembers for a moment which zones said that a call would wait there, so that under load not every call
// asks every zone first.
type zoneWaits struct {
	mutex sync.Mutex
	zones map[string]zoneWait
}

type zoneWait struct {
	wait time.Duration
	at   time.Time
}

func newZoneWaits() *zoneWaits {
	return &zoneWaits{
		zones: map[string]zoneWait{},
	}
}

func (z *zoneWaits) set(zone string, wait time.Duration) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.zones[zone] = zoneWait{
		wait: wait,
		at:   time.Now(),
	}
}

// get returns the zone's expected wait. It reports false where nothing is known of it now.
func (z *zoneWaits) get(zone string) (time.Duration, bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	w, known := z.zones[zone]
	if !known || time.Since(w.at) > waitMemory {
		return 0, false
	}
	return w.wait, true
}
