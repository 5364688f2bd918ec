package authority

import "time"

// resignAfter is how long the store must be failing for the coordinator, while other members reach it, before the
// coordinator resigns. It is longer than one slow answer.
const resignAfter = 700 * time.Millisecond

// retryBeforeResigning is how long a member must reach the store before the coordinator resigns. After an outage of the store, the
// coordinator's own calls that were under way must have had the time to fail and to be repeated.
const retryBeforeResigning = 1200 * time.Millisecond

// resignBehindAfter is how long the tables must be older than those of a member for the coordinator to resign. The rows usually come
// within a few requests to members, of 300 ms each.
const resignBehindAfter = time.Second

// minTerm is the shortest term that ends because the store refuses the coordinator. A store that refuses one instance after the other
// would otherwise move the lease all the time; two terms of this length take longer than 5 s.
const minTerm = 3 * time.Second

// resignWithoutPathsAfter is how long the paths to upstreams must be lost for the coordinator to resign. Grants last several times as
// long.
const resignWithoutPathsAfter = 200 * time.Millisecond

// ResignReason tells why another instance is better placed to coordinate, empty if none is.
type ResignReason string

// Reasons to resign.
const (
	// PathsLost means that a member reaches upstreams that this instance can't grant keys to.
	PathsLost ResignReason = "paths-lost"
	// TablesBehind means that the tables of this instance stay older than those of members.
	TablesBehind ResignReason = "tables-behind"
	// StoreRefused means that the store goes on failing for this instance but works for a member.
	StoreRefused ResignReason = "store-refused"
)

// ShouldResign reports whether another instance is better placed to coordinate.
func (l *Leadership) ShouldResign(now time.Duration) bool {
	return l.ResignReason(now) != ""
}

// ResignReason returns why the coordinator should resign at now. For PathsLost and TablesBehind, the store must work for this instance or a
// member: without it none could follow.
func (l *Leadership) ResignReason(now time.Duration) ResignReason {
	if l.failingSince == 0 && l.pathsLostSince != 0 && now-l.pathsLostSince >= resignWithoutPathsAfter {
		for _, m := range l.members {
			if m.reachesUpstreams && now-m.lastAcknowledged < LeaseDuration {
				return PathsLost
			}
		}
	}
	if now-l.startedAt < minTerm {
		return ""
	}
	behind := l.behind && now-l.behindSince >= resignBehindAfter
	refused := l.failingSince != 0 && now-l.failingSince >= resignAfter
	if !behind && !refused {
		return ""
	}
	for _, m := range l.members {
		if !m.storeReached || now-m.lastAcknowledged >= LeaseDuration {
			continue
		}
		if behind {
			return TablesBehind
		}
		if now-m.reachedSince >= retryBeforeResigning {
			return StoreRefused
		}
	}
	return ""
}
