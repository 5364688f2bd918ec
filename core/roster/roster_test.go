package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/roster"
)

// TestTicketForAnExcludedStart guards against requests to upstreams that the sender's own tables exclude, and against refusing those
// that have just started.
func TestTicketForAnExcludedStart(t *testing.T) {
	c := qt.New(t)
	s := roster.Snapshot{
		Upstreams: map[string]roster.Upstream{
			"ready": {
				ID:          "ready",
				Zone:        "z1",
				Incarnation: 5,
			},
			"draining": {
				ID:          "draining",
				Zone:        "z2",
				Draining:    true,
				Incarnation: 5,
			},
		},
		ExcludedZones: map[string]bool{
			"z2": true,
		},
		Removed: map[string]int64{
			"gone":  5,
			"ready": 4,
		},
	}
	for _, want := range []struct {
		id          string
		incarnation int64
		start, zone roster.Exclusion
	}{
		{"ready", 5, "", ""},
		{"ready", 0, "", ""},
		{"ready", 4, roster.Restarted, ""},
		{"ready", 6, "", ""},
		{"draining", 5, roster.Draining, roster.ZoneEvacuated},
		{"draining", 0, roster.Draining, roster.ZoneEvacuated},
		{"draining", 6, "", roster.ZoneEvacuated},
		{"gone", 5, roster.Removed, ""},
		{"gone", 6, "", ""},
		{"new", 5, "", ""},
	} {
		comment := qt.Commentf("%s, start %d", want.id, want.incarnation)
		c.Check(s.StartExclusion(want.id, want.incarnation), qt.Equals, want.start, comment)
		c.Check(s.ZoneExclusion(want.id), qt.Equals, want.zone, comment)
	}
}
