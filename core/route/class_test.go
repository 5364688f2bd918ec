package route_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/route"
)

func kindRoute(prefix, service string, kind route.Kind, priority int, objective time.Duration) route.Route {
	return route.Route{
		Name:             prefix,
		Host:             "a.example",
		Prefix:           prefix,
		Kind:             kind,
		Priority:         priority,
		Objective:        objective,
		WeightedServices: []route.WeightedService{weighted(service, 1)},
	}
}

// TestOnlyServicesWithDifferentKindsAreMixed guards against changed decisions on services whose requests are all alike.
func TestOnlyServicesWithDifferentKindsAreMixed(t *testing.T) {
	c := qt.New(t)
	plain := kindRoute("/a/", "calendar", route.Idempotent, 1, time.Second)
	for name, test := range map[string]struct {
		other route.Route
		mixed bool
	}{
		"alike":         {kindRoute("/b/", "calendar", route.Idempotent, 1, time.Second), false},
		"download":      {kindRoute("/b/", "calendar", route.Download, 2, 3*time.Second), false},
		"other service": {kindRoute("/b/", "media", route.AtMostOnce, 2, 3*time.Second), false},
		"priority":      {kindRoute("/b/", "calendar", route.Idempotent, 2, time.Second), true},
		"objective":     {kindRoute("/b/", "calendar", route.Idempotent, 1, 2*time.Second), true},
		"kind":          {kindRoute("/b/", "calendar", route.AtMostOnce, 1, time.Second), true},
	} {
		built := table(c, plain, test.other)
		c.Check(built.Services["calendar"].Mixed, qt.Equals, test.mixed, qt.Commentf(name))
		c.Check(built.Services["media"].Mixed, qt.IsFalse, qt.Commentf(name))
	}
	unused := kindRoute("/b/", "media", route.Idempotent, 2, time.Second)
	unused.WeightedServices = append(unused.WeightedServices, weighted("calendar", 0))
	c.Check(table(c, plain, unused).Services["calendar"].Mixed, qt.IsFalse)
}

// TestThousandsOfRoutesShareFewClasses guards against a cost model that grows with the number of routes.
func TestThousandsOfRoutesShareFewClasses(t *testing.T) {
	c := qt.New(t)
	var routes []route.Route
	for i := range 3000 {
		routes = append(routes, kindRoute(fmt.Sprintf("/%d/", i), "calendar", route.Kind(i%2), i%3, time.Second))
	}
	built := table(c, routes...)
	classes := map[string]bool{}
	for i := range routes {
		classes[built.Find("a.example", fmt.Sprintf("/%d/x", i)).Class] = true
	}
	c.Check(classes, qt.HasLen, 6)
}
