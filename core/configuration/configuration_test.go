package configuration_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/configuration"
	"cuminlift/schema"
)

func TestVersionConflictNamesAuthorAndReason(t *testing.T) {
	c := qt.New(t)
	current := &schema.Configuration{
		Version: 4,
		Author:  "amelie",
		Reason:  "longer queue",
	}
	_, err := configuration.Apply(current, configuration.Change{
		Base:   3,
		Author: "bat",
		Digest: "x",
	})
	var version *configuration.VersionConflictError
	c.Assert(errors.As(err, &version), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*by amelie: longer queue.*cuminlift get.*")
}

func TestOutOfServiceListIsSortedAndKeepsItsAuthors(t *testing.T) {
	c := qt.New(t)
	var current *schema.Configuration
	for _, name := range []string{"zone-b", "zone-a"} {
		next, err := configuration.Apply(current, configuration.Change{
			Author: "bat",
			Out: &schema.Out{
				Kind: "zone",
				Name: name,
			},
		})
		c.Assert(err, qt.IsNil)
		current = next
	}
	c.Assert(current.GetVersion(), qt.Equals, uint64(2))
	c.Assert(current.GetOut()[0].GetName(), qt.Equals, "zone-a")
	c.Assert(current.GetOut()[1].GetAuthor(), qt.Equals, "bat")
	next, err := configuration.Apply(current, configuration.Change{
		In: &schema.Out{
			Kind: "zone",
			Name: "zone-a",
		},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(next.GetOut(), qt.HasLen, 1)
	c.Assert(current.GetOut(), qt.HasLen, 2)
}

func TestInvalidOutOfServiceChangeReportsARemedy(t *testing.T) {
	c := qt.New(t)
	current := &schema.Configuration{
		Version: 1,
		Out: []*schema.Out{{
			Kind: "zone",
			Name: "zone-a",
		}},
	}
	for _, change := range []configuration.Change{
		{
			Out: &schema.Out{
				Kind: "zone",
				Name: "zone-a",
			},
		},
		{
			Out: &schema.Out{
				Kind: "continent",
				Name: "asia",
			},
		},
		{
			In: &schema.Out{
				Kind: "zone",
				Name: "zone-b",
			},
		},
	} {
		_, err := configuration.Apply(current, change)
		var out *configuration.OutOfServiceError
		c.Assert(errors.As(err, &out), qt.IsTrue)
		c.Assert(out.Remedy, qt.Not(qt.Equals), "")
	}
}
