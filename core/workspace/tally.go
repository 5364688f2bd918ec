package workspace

import (
	"slices"
	"strings"
)

// Counts are the numbers of requests of a workspace by result.
type Counts struct {
	// Answered requests got an answer of an upstream.
	Answered uint64 `json:"answered"`
	// OverQuota requests were beyond the quota. Refused ones were refused for other reasons and did not run. Failed ones may have run.
	OverQuota uint64 `json:"over-quota"`
	Refused   uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
}

func (c Counts) total() uint64 { return c.Answered + c.OverQuota + c.Refused + c.Failed }

func (c *Counts) add(other Counts) {
	c.Answered += other.Answered
	c.OverQuota += other.OverQuota
	c.Refused += other.Refused
	c.Failed += other.Failed
}

// Tally counts the requests of each workspace. The zero value is ready for use. It is not safe for concurrent use.
type Tally struct {
	counts map[string]*Counts
}

// Of returns the counts of a workspace, to be changed by the caller.
func (t *Tally) Of(name string) *Counts {
	c := t.counts[name]
	if c == nil {
		if t.counts == nil {
			t.counts = map[string]*Counts{}
		}
		c = &Counts{}
		t.counts[name] = c
	}
	return c
}

// Largest returns the counts of the n workspaces with the most requests, and the sum of the others.
func (t *Tally) Largest(n int) (largest map[string]Counts, rest Counts) {
	names := make([]string, 0, len(t.counts))
	for name := range t.counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := t.counts[a].total(), t.counts[b].total()
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a, b)
	})
	largest = map[string]Counts{}
	for i, name := range names {
		if i < n {
			largest[name] = *t.counts[name]
		} else {
			rest.add(*t.counts[name])
		}
	}
	return largest, rest
}
