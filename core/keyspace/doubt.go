package keyspace

import "time"

// LocalOwners tells an instance without a coordinator which upstreams hold the keys, as HolderMap does, and notices when the grants of
// all of them have ended.
//
// It answers the load of a chain of short terms: on 75 instances and 331 upstreams, each instance tried each upstream up to twice after
// each loss of a coordinator, and again after each report of a new one, 14,489 requests in 38 s. Such a report tells whom the
// coordinator will grant the keys, not that it has done so: doubts outlast it.
type LocalOwners struct {
	HolderMap
	// denied holds the upstreams that have denied keys since one last accepted a key, and deniedAt is when the last one did.
	denied   map[string]bool
	deniedAt time.Duration
	// pause is how long nothing is tried after the last denial.
	pause time.Duration
}

const (
	// doubtAfter is the number of upstreams that deny keys in turn, while none accepts one, before the others are taken for outdated too.
	// Ranges that have just moved are denied as well, but beside them most requests are accepted.
	doubtAfter = 3
	// probePause is how long nothing is tried after a denial then. Each denied probe doubles it, up to maxProbePause. probeGroups is the
	// number of groups of holders, of which one is tried at a time, so that requests that wait don't all go out at once.
	probePause    = 500 * time.Millisecond
	maxProbePause = 4 * time.Second
	probeGroups   = 16
)

// Deny records at now that upstream has said that it doesn't hold key.
func (o *LocalOwners) Deny(now time.Duration, key uint32, upstream string) {
	o.HolderMap.Deny(key, upstream)
	if o.denied == nil {
		o.denied = map[string]bool{}
	}
	if !o.Doubted() {
		o.pause = probePause
	} else if now-o.deniedAt >= o.pause {
		o.pause = min(2*o.pause, maxProbePause)
	}
	o.denied[upstream] = true
	o.deniedAt = now
}

// Accepted records that an upstream has accepted the key of a request that was sent at sent.
func (o *LocalOwners) Accepted(sent time.Duration) {
	if sent > o.deniedAt {
		clear(o.denied)
	}
}

// Doubted reports whether the grants of all holders are likely to have ended.
func (o *LocalOwners) Doubted() bool {
	return len(o.denied) >= doubtAfter
}

// Owner implements dispatch.Owners. While the holders are doubted, keys have an owner only for occasional probes.
func (o *LocalOwners) Owner(now time.Duration, key uint32) (string, bool) {
	if o.Doubted() {
		index := o.rangeOf(key)
		groups := uint32(min(probeGroups, max(1, len(o.holders))))
		turn := uint32(now/probePause) % groups
		if now-o.deniedAt < o.pause || index == len(o.lastKeys) || o.rangeHolders[index]%groups != turn {
			return "", false
		}
	}
	return o.HolderMap.Owner(now, key)
}
