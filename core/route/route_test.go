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
		routes[i].MaxAttempts = 2
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

func part(service string, weight int) route.WeightedService {
	return route.WeightedService{
		Service: service,
		Weight:  weight,
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := qt.New(t)
	found := table(c, route.Route{
		Name:     "short",
		Host:     "a.example",
		Prefix:   "/x/",
		Services: []route.WeightedService{part("calendar", 1)},
	}, route.Route{
		Name:     "long",
		Host:     "A.example",
		Prefix:   "/x/y/",
		Services: []route.WeightedService{part("media", 1)},
	}, route.Route{
		Name:     "other",
		Host:     "b.example",
		Prefix:   "/",
		Services: []route.WeightedService{part("media", 1)},
	})
	c.Check(found.Find("a.example", "/x/z").Name, qt.Equals, "short")
	c.Check(found.Find("a.example", "/x/y/z").Name, qt.Equals, "long")
	c.Check(found.Find("a.example", "/x/y").Name, qt.Equals, "short")
	c.Check(found.Find("b.example", "/x/y/z").Name, qt.Equals, "other")
	c.Check(found.Find("a.example", "/"), qt.IsNil)
	c.Check(found.Find("c.example", "/x/"), qt.IsNil)
}

func TestUnservableRoutesAreRefusedWithTheRemedy(t *testing.T) {
	c := qt.New(t)
	good := route.Route{
		Name:        "r",
		Host:        "a.example",
		Prefix:      "/x/",
		Services:    []route.WeightedService{part("calendar", 1)},
		Timeout:     time.Second,
		MaxAttempts: 1,
	}
	for name, spoil := range map[string]func(*route.Route){
		"prefix":   func(r *route.Route) { r.Prefix = "/x" },
		"attempts": func(r *route.Route) { r.MaxAttempts = 0 },
		"timeout":  func(r *route.Route) { r.Timeout = 0 },
		"service":  func(r *route.Route) { r.Services = []route.WeightedService{part("unknown", 1)} },
		"parts":    func(r *route.Route) { r.Services = nil },
		"weight":   func(r *route.Route) { r.Services = []route.WeightedService{part("calendar", -1)} },
	} {
		bad := good
		spoil(&bad)
		_, err := route.NewTable(1, []route.Route{bad}, []route.Service{{
			Name: "calendar",
		}}, route.Limits{})
		var problem *route.RouteError
		c.Check(errors.As(err, &problem), qt.IsTrue, qt.Commentf(name))
	}
}

func TestSplitKeepsItsSharesOverShortTimes(t *testing.T) {
	c := qt.New(t)
	r := table(c, route.Route{
		Host:     "a.example",
		Prefix:   "/x/",
		Services: []route.WeightedService{part("calendar", 90), part("media", 10)},
	}).Find("a.example", "/x/")
	s := route.NewSplitter()
	counts := map[string]int{}
	for i := 1; i <= 1000; i++ {
		counts[s.Next(r)]++
		share := float64(i) * 0.9
		c.Assert(float64(counts["calendar"]) >= share-1 && float64(counts["calendar"]) <= share+1, qt.IsTrue, qt.Commentf("after %d", i))
	}
}
