package dispatch

import "hash/fnv"

// Share is the fraction of the service-wide limits that one instance may use.
type Share struct {
	// Index is the instance's position, starting at 0, and Count is the number of instances. Count is 1 for the
	// coordinator, which may use the full limits.
	Index, Count int
}

func (s Share) unrestricted() bool {
	return s.Count <= 1
}

// mayUse reports whether the instance is one of the limit instances that may use an upstream. The hash spreads
// upstreams over different instances.
func (s Share) mayUse(upstream string, limit int) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(upstream)) // Writing to a hash never fails.
	return (int(h.Sum32()%uint32(s.Count))+s.Index)%s.Count < limit
}
