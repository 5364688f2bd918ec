package dispatch

import "hash/fnv"

// Share is one instance's part of what all may use together.
type Share struct {
	// Index counts the instances from 0, and Count is their number: 1 for the coordinator, which uses all.
	Index, Count int
}

func (p Share) whole() bool {
	return p.Count <= 1
}

// among reports whether this part is one of so many that may use an upstream. Upstreams begin at different places.
func (p Share) among(upstream string, most int) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(upstream)) // A hash takes everything.
	return (int(h.Sum32()%uint32(p.Count))+p.Index)%p.Count < most
}
