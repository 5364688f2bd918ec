package route_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/route"
)

func table(c *qt.C, routes ...route.Route) *route.Table {
	for i := range routes {
		routes[i].Timeout = time.Second
		routes[i].Attempts = 2
	}
	t, err := route.NewTable(1, routes, []route.Service{
		{
			Name: "calendar",
		},
		{
			Name: "media",
		},
	}, route.Limits{})
	c.Assert(err, qt.IsNil)
	return t
}

func weighted(service string, weight int) route.WeightedService {
	return route.WeightedService{
		Service: service,
		Weight:  weight,
	}
}

func TestLongestPrefixMatches(t *testing.T) {
	c := qt.New(t)
	found := table(c, route.Route{
		Name:             "short",
		Host:             "a.example",
		Prefix:           "/x/",
		WeightedServices: []route.WeightedService{weighted("calendar", 1)},
	}, route.Route{
		Name:             "long",
		Host:             "A.example",
		Prefix:           "/x/y/",
		WeightedServices: []route.WeightedService{weighted("media", 1)},
	}, route.Route{
		Name:             "other",
		Host:             "b.example",
		Prefix:           "/",
		WeightedServices: []route.WeightedService{weighted("media", 1)},
	})
	c.Check(found.Find("a.example", "/x/z").Name, qt.Equals, "short")
	c.Check(found.Find("a.example", "/x/y/z").Name, qt.Equals, "long")
	c.Check(found.Find("a.example", "/x/y").Name, qt.Equals, "short")
	c.Check(found.Find("b.example", "/x/y/z").Name, qt.Equals, "other")
	c.Check(found.Find("a.example", "/"), qt.IsNil)
	c.Check(found.Find("c.example", "/x/"), qt.IsNil)
}

func TestInvalidRoutesAreRejected(t *testing.T) {
	c := qt.New(t)
	good := route.Route{
		Name:             "r",
		Host:             "a.example",
		Prefix:           "/x/",
		WeightedServices: []route.WeightedService{weighted("calendar", 1)},
		Timeout:          time.Second,
		Attempts:         1,
	}
	for name, invalidate := range map[string]func(*route.Route){
		"prefix":   func(r *route.Route) { r.Prefix = "/x" },
		"attempts": func(r *route.Route) { r.Attempts = 0 },
		"timeout":  func(r *route.Route) { r.Timeout = 0 },
		"service":  func(r *route.Route) { r.WeightedServices = []route.WeightedService{weighted("unknown", 1)} },
		"services": func(r *route.Route) { r.WeightedServices = nil },
		"weight":   func(r *route.Route) { r.WeightedServices = []route.WeightedService{weighted("calendar", -1)} },
	} {
		bad := good
		invalidate(&bad)
		_, err := route.NewTable(1, []route.Route{bad}, []route.Service{{
			Name: "calendar",
		}}, route.Limits{})
		var problem *route.RouteError
		c.Check(errors.As(err, &problem), qt.IsTrue, qt.Commentf(name))
	}
}

func TestSplitterKeepsSharesOverShortTimes(t *testing.T) {
	c := qt.New(t)
	r := table(c, route.Route{
		Host:             "a.example",
		Prefix:           "/x/",
		WeightedServices: []route.WeightedService{weighted("calendar", 90), weighted("media", 10)},
	}).Find("a.example", "/x/")
	s := route.NewSplitter()
	counts := map[string]int{}
	for i := 1; i <= 1000; i++ {
		counts[s.Next(r)]++
		share := float64(i) * 0.9
		c.Assert(float64(counts["calendar"]) >= share-1 && float64(counts["calendar"]) <= share+1, qt.IsTrue, qt.Commentf("after %d requests", i))
	}
}
