package estate

import (
	"fmt"
	"strings"
	"time"

	"cuminlift/core/route"
	"cuminlift/schema"
)

func (c *checker) checkRoutes(services map[string]int) {
	names := map[string]int{}
	places := map[string]int{}
	for i, r := range c.estate.GetRoutes() {
		path := fmt.Sprintf("routes[%d]", i)
		if !kebab.MatchString(r.GetName()) {
			c.add(path+".name", fmt.Sprintf("%q is no kebab-case name", r.GetName()), "use a name such as \"browse\"")
		}
		if first, twice := names[r.GetName()]; twice {
			c.add(path+".name", fmt.Sprintf("%q is already the name of routes[%d]", r.GetName(), first), "give each route its own name")
		}
		place := strings.ToLower(r.GetHost()) + r.GetPrefix()
		if first, twice := places[place]; twice {
			c.add(path+".prefix", fmt.Sprintf("%q is already that of routes[%d] on this host", r.GetPrefix(), first), "give each route of a host its own prefix")
		}
		names[r.GetName()] = i
		places[place] = i
		c.checkRoute(path, r)
		c.checkParts(path, r, services)
	}
}

func (c *checker) checkRoute(path string, r *schema.Route) {
	if r.GetHost() == "" || strings.ContainsAny(r.GetHost(), "/: ") {
		c.add(path+".host", fmt.Sprintf("%q is no host name", r.GetHost()), "use a name such as \"seminars.example\", without scheme and port")
	}
	if !strings.HasPrefix(r.GetPrefix(), "/") || !strings.HasSuffix(r.GetPrefix(), "/") {
		c.add(path+".prefix", fmt.Sprintf("%q does not start and end with \"/\"", r.GetPrefix()), "use a prefix such as \"/calendar/\" or \"/\"")
	}
	if r.GetKind() == schema.RouteKind_route_unset {
		c.add(path+".kind", "is missing", "set it to \"idempotent\", \"once\" or \"bulk\"")
	}
	if _, known := schema.RouteKind_name[int32(r.GetKind())]; !known {
		c.add(path+".kind", "is a number without a meaning", "set it to \"idempotent\", \"once\" or \"bulk\"")
	}
	c.checkRange(path+".timeout-ms", r.GetTimeoutMs(), 10, 600000, "milliseconds")
	c.checkRange(path+".objective-ms", r.GetObjectiveMs(), 1, max(1, r.GetTimeoutMs()), "milliseconds")
	c.checkRange(path+".attempts", r.GetAttempts(), 1, 10, "upstreams")
	if r.GetPriority() > 9 {
		c.add(path+".priority", fmt.Sprintf("%d is above 9", r.GetPriority()), "set it from 0, the most urgent, to 9")
	}
}

func (c *checker) checkParts(path string, r *schema.Route, services map[string]int) {
	if len(r.GetParts()) == 0 {
		c.add(path+".parts", "is missing or empty", "name at least one service")
	}
	seen := map[string]bool{}
	for j, p := range r.GetParts() {
		part := fmt.Sprintf("%s.parts[%d]", path, j)
		if _, known := services[p.GetService()]; !known {
			c.add(part+".service", fmt.Sprintf("%q is no service of this text", p.GetService()), "name a service of \"services\", or take the part out")
		}
		if seen[p.GetService()] {
			c.add(part+".service", fmt.Sprintf("%q stands twice", p.GetService()), "add the weights up in one part")
		}
		seen[p.GetService()] = true
		c.checkRange(part+".weight", p.GetWeight(), 1, 1000000, "parts")
	}
}

func routesByName(estate *schema.Estate) map[string]*schema.Route {
	routes := map[string]*schema.Route{}
	for _, r := range estate.GetRoutes() {
		routes[r.GetName()] = r
	}
	return routes
}

// Routes returns the table of a checked estate's routes, nil where it has none: then the services' path prefixes decide.
func Routes(version uint64, estate *schema.Estate) (*route.Table, error) {
	if len(estate.GetRoutes()) == 0 {
		return nil, nil
	}
	var services []route.Service
	for _, s := range estate.GetServices() {
		services = append(services, route.Service{
			Name:           s.GetName(),
			MaxConnections: int(s.GetConnections()),
			ColdDuration:   time.Duration(s.GetColdStartMs()) * time.Millisecond,
			Keyed:          s.GetKeyed(),
		})
	}
	var routes []route.Route
	for _, r := range estate.GetRoutes() {
		routes = append(routes, translate(r))
	}
	return route.NewTable(version, routes, services, route.Limits{})
}

func translate(r *schema.Route) route.Route {
	translated := route.Route{
		Name:        r.GetName(),
		Host:        r.GetHost(),
		Prefix:      r.GetPrefix(),
		Timeout:     time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		Objective:   time.Duration(r.GetObjectiveMs()) * time.Millisecond,
		MaxAttempts: int(r.GetAttempts()),
		Priority:    int(r.GetPriority()),
	}
	switch r.GetKind() {
	case schema.RouteKind_idempotent:
		translated.Kind = route.Idempotent
	case schema.RouteKind_bulk:
		translated.Kind = route.Download
	case schema.RouteKind_once, schema.RouteKind_route_unset:
		translated.Kind = route.AtMostOnce
	}
	for _, p := range r.GetParts() {
		translated.Services = append(translated.Services, route.WeightedService{
			Service: p.GetService(),
			Weight:  int(p.GetWeight()),
		})
	}
	return translated
}
