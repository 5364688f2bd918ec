package daemon

import (
	"sync"
	"time"
)

// zoneWaitTTL is how long a zone's expected wait is considered valid.
const zoneWaitTTL = 10 * time.Millisecond

// zoneWaitCache briefly caches the expected wait of zones that refused a soft call, so that under load not every call
// has to ask every zone first.
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

// get returns the zone's expected wait, or false if there is no valid entry.
func (z *zoneWaitCache) get(zone string) (time.Duration, bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	w, known := z.entries[zone]
	if !known || time.Since(w.recordedAt) > zoneWaitTTL {
		return 0, false
	}
	return w.wait, true
}
