package gateway

import (
	"net/http"
	"sync"
	"time"
)

const (
	// sampleInterval is how often a refusal with the same name is logged, and maxSampled the number of such lines in that time.
	sampleInterval = time.Second
	maxSampled     = 20
)

// refusalSampler chooses which refusals with status 401 and 429 are logged, so that callers that go on sending do not fill the log.
type refusalSampler struct {
	mutex sync.Mutex
	// names holds the refusals by workspace or route.
	names map[string]*sampledRefusals
	// logged is the number of lines since loggedAt.
	logged   int
	loggedAt time.Time
}

type sampledRefusals struct {
	loggedAt time.Time
	// skipped is the number of refusals since then that were not logged.
	skipped int
}

// take reports whether to log a refusal, and how many of the same name were not logged before it.
func (s *refusalSampler) take(now time.Time, name string, status int) (skipped int, logs bool) {
	if status != http.StatusUnauthorized && status != http.StatusTooManyRequests {
		return 0, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.names == nil {
		s.names = map[string]*sampledRefusals{}
	}
	entry := s.names[name]
	if entry == nil {
		entry = &sampledRefusals{}
		s.names[name] = entry
	}
	if now.Sub(s.loggedAt) >= sampleInterval {
		s.logged, s.loggedAt = 0, now
	}
	if now.Sub(entry.loggedAt) < sampleInterval || s.logged >= maxSampled {
		entry.skipped++
		return 0, false
	}
	s.logged++
	skipped, entry.skipped, entry.loggedAt = entry.skipped, 0, now
	return skipped, true
}
