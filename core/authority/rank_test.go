package authority_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
)

// TestSmallInstancesLeaveTheLeaseToLargeOnes covers the loss of a coordinator among instances of 0.8 and 0.16 of a core: a small one took the
// lease 400 ms after the last large one might have, could not renew it beside its work, lost it, and took it again.
func TestSmallInstancesLeaveTheLeaseToLargeOnes(t *testing.T) {
	c := qt.New(t)
	const small, large = 160, 800
	last, first := 0, 1<<30
	for i := range 200 {
		last = max(last, authority.Rank(fmt.Sprint("large-", i), large, large))
		first = min(first, authority.Rank(fmt.Sprint("small-", i), small, large))
	}
	// A large one tries, waits 0.7 s for the store in vain, and tries again.
	const retry = 700 * time.Millisecond
	c.Check(time.Duration(first-last)*authority.Beat/4 > retry, qt.IsTrue, qt.Commentf("%d and %d steps", last, first))
	// Where all are small, none waits for a larger one.
	c.Check(authority.Rank("small-1", small, small) < 8, qt.IsTrue)
}
