package daemon

import (
	"sync"
	"time"
)

// waitMemory is how long a zone's expected wait is believed.
const zoneWaitTTL = 10 * time.Millisecond

// zoneWaits remembers for a moment which zones said that a call would wait there, so that under load not every call
// asks every zone first.
type zoneWaitCache struct {
	mutex   sync.Mutex
	entries map[string]zoneWaitEntry
}

type zoneWaitEntry struct {
	wait       time.Duration
	recordedAt time.Time
}

func newZoneWaitCache() *zoneWaitCache {
	return &zoneWaitCache{
		entries: map[string]zoneWaitEntry{},
	}
}

func (z *zoneWaitCache) set(zone string, wait time.Duration) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.entries[zone] = zoneWaitEntry{
		wait:       wait,
		recordedAt: time.Now(),
	}
}

// get returns the zone's expected wait. It reports false where nothing is known of it now.
func (z *zoneWaitCache) get(zone string) (time.Duration, bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	w, known := z.entries[zone]
	if !known || time.Since(w.recordedAt) > zoneWaitTTL {
		return 0, false
	}
	return w.wait, true
}
