package workspace_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/workspace"
)

// The metrics of thousands of workspaces are too large to be read, or requests of small ones are in none.
func TestTallyListsTheLargestAndSumsTheRest(t *testing.T) {
	c := qt.New(t)
	tally := &workspace.Tally{}
	for i := range 1000 {
		counts := tally.Of(fmt.Sprint("w", i))
		counts.Answered += uint64(i)
		counts.OverQuota++
	}
	largest, rest := tally.Largest(2)
	c.Check(largest, qt.DeepEquals, map[string]workspace.Counts{
		"w999": {
			Answered:  999,
			OverQuota: 1,
		},
		"w998": {
			Answered:  998,
			OverQuota: 1,
		},
	})
	c.Check(rest, qt.Equals, workspace.Counts{
		Answered:  997 * 998 / 2,
		OverQuota: 998,
	})
}
