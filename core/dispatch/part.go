package dispatch

import "hash/fnv"

// Part is one instance's part of what all may use together.
type Part struct {
	// Place counts the instances from 0, and Of is their number: 1 for the coordinator, which uses all.
	Place, Of int
}

func (p Part) whole() bool {
	return p.Of <= 1
}

// among reports whether this part is one of so many that may use an upstream. Upstreams begin at different places.
func (p Part) among(upstream string, most int) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(upstream)) // A hash takes everything.
	return (int(h.Sum32()%uint32(p.Of))+p.Place)%p.Of < most
}
