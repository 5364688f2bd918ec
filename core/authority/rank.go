package authority

import "hash/fnv"

const (
	// ranks is the number of steps, of a quarter of a beat each, over which instances are spread.
	ranks = 8
	// outranked is the number of steps by which those come later that have less than half of the largest instance's share of a core: time
	// for each large one to try, to have its write refused after 0.7 s, and to try again.
	outranked = 3 * ranks
	// smallPermille is the share of a core below which an instance comes a full round later while nothing is known of the others.
	smallPermille = 250
)

// Rank returns the step at which an instance takes over. share is its own share of a core and largest the largest one known, both in
// thousandths, 0 for unknown. The coordinator's work grows with all requests, so that a large instance is to take the lease where there is
// one.
func Rank(name string, share, largest uint32) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // A hash takes everything.
	rank := int(h.Sum32() % ranks)
	switch {
	case share == 0:
		return rank
	case largest == 0 && share < smallPermille:
		return rank + ranks
	case share < largest/2:
		return rank + outranked
	}
	return rank
}
