package authority

import "hash/fnv"

const (
	// rankCount is the number of ranks over which instances are spread, each a quarter of a heartbeat interval apart.
	rankCount = 8
	// smallInstanceDelay is added to the rank of instances with less than half of the largest instance's CPU share. It
	// leaves enough time for every large instance to try, to have its write rejected after 0.7 s, and to try again.
	smallInstanceDelay = 3 * rankCount
	// smallSharePermille is the CPU share, in thousandths of a core, below which an instance is delayed by a full round
	// of ranks while the shares of the others are unknown.
	smallSharePermille = 250
)

// Rank returns the position of an instance in the order of takeover. share is its own CPU share and largest the largest
// known share, both in thousandths of a core, 0 if unknown. Large instances are preferred because the work of the
// coordinator grows with the total number of requests.
func Rank(name string, share, largest uint32) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // Writing to a hash never fails.
	rank := int(h.Sum32() % rankCount)
	switch {
	case share == 0:
		return rank
	case largest == 0 && share < smallSharePermille:
		return rank + rankCount
	case share < largest/2:
		return rank + smallInstanceDelay
	}
	return rank
}

// withoutPathsDelay is added to the rank of an instance that can't reach upstreams. Those that can come first, also the small ones.
const withoutPathsDelay = smallInstanceDelay + rankCount

// RankWithoutPaths returns the rank of an instance that has lost its paths to upstreams. Small ones keep their delay: where a zone is cut
// off, all others lose paths alike.
func RankWithoutPaths(rank int) int {
	return rank + withoutPathsDelay
}

// First reports whether an instance of that rank is among those that try before the small ones.
func First(rank int) bool {
	return rank < rankCount
}
