package estate

import (
	"fmt"
	"strings"
	"time"

	"cuminlift/core/route"
	"cuminlift/schema"
)

func (c *validator) validateRoutes(services map[string]int) {
	names := map[string]int{}
	hostPrefixes := map[string]int{}
	for i, r := range c.estate.GetRoutes() {
		path := fmt.Sprintf("routes[%d]", i)
		if !kebab.MatchString(r.GetName()) {
			c.addProblem(path+".name", fmt.Sprintf("%q is not a kebab-case name", r.GetName()), "use a name such as \"browse\"")
		}
		if first, duplicate := names[r.GetName()]; duplicate {
			c.addProblem(path+".name", fmt.Sprintf("%q is already the name of routes[%d]", r.GetName(), first), "give each route its own name")
		}
		hostPrefix := strings.ToLower(r.GetHost()) + r.GetPrefix()
		if first, duplicate := hostPrefixes[hostPrefix]; duplicate {
			c.addProblem(path+".prefix", fmt.Sprintf("%q is already the prefix of routes[%d] on this host", r.GetPrefix(), first), "give each route of a host its own prefix")
		}
		names[r.GetName()] = i
		hostPrefixes[hostPrefix] = i
		c.validateRoute(path, r)
		c.validateParts(path, r, services)
	}
}

func (c *validator) validateRoute(path string, r *schema.Route) {
	if r.GetHost() == "" || strings.ContainsAny(r.GetHost(), "/: ") {
		c.addProblem(path+".host", fmt.Sprintf("%q is not a host name", r.GetHost()), "use a name such as \"seminars.example\", without scheme and port")
	}
	if !strings.HasPrefix(r.GetPrefix(), "/") || !strings.HasSuffix(r.GetPrefix(), "/") {
		c.addProblem(path+".prefix", fmt.Sprintf("%q does not start and end with \"/\"", r.GetPrefix()), "use a prefix such as \"/calendar/\" or \"/\"")
	}
	if r.GetKind() == schema.RouteKind_route_unset {
		c.addProblem(path+".kind", "is missing", "set it to \"idempotent\", \"once\" or \"bulk\"")
	}
	if _, known := schema.RouteKind_name[int32(r.GetKind())]; !known {
		c.addProblem(path+".kind", "is an unknown number", "set it to \"idempotent\", \"once\" or \"bulk\"")
	}
	c.validateRange(path+".timeout-ms", r.GetTimeoutMs(), 10, 600000, "milliseconds")
	c.validateRange(path+".objective-ms", r.GetObjectiveMs(), 1, max(1, r.GetTimeoutMs()), "milliseconds")
	c.validateRange(path+".attempts", r.GetAttempts(), 1, 10, "upstreams")
	if r.GetPriority() > 9 {
		c.addProblem(path+".priority", fmt.Sprintf("%d is above 9", r.GetPriority()), "set it from 0, the most urgent, to 9")
	}
}

func (c *validator) validateParts(path string, r *schema.Route, services map[string]int) {
	if len(r.GetParts()) == 0 {
		c.addProblem(path+".parts", "is missing or empty", "name at least one service")
	}
	seen := map[string]bool{}
	for j, p := range r.GetParts() {
		part := fmt.Sprintf("%s.parts[%d]", path, j)
		if _, known := services[p.GetService()]; !known {
			c.addProblem(part+".service", fmt.Sprintf("%q is not a service of this document", p.GetService()), "name a service of \"services\", or remove the part")
		}
		if seen[p.GetService()] {
			c.addProblem(part+".service", fmt.Sprintf("%q is listed twice", p.GetService()), "combine the weights in one part")
		}
		seen[p.GetService()] = true
		c.validateRange(part+".weight", p.GetWeight(), 1, 1000000, "parts")
	}
}

func routesByName(estate *schema.Estate) map[string]*schema.Route {
	routes := map[string]*schema.Route{}
	for _, r := range estate.GetRoutes() {
		routes[r.GetName()] = r
	}
	return routes
}

// RouteTable returns the routing table of a validated estate. It returns nil if the estate has no routes and requests are
// routed by the path prefixes of the services.
func RouteTable(version uint64, estate *schema.Estate) (*route.Table, error) {
	if len(estate.GetRoutes()) == 0 {
		return nil, nil
	}
	var services []route.Service
	for _, s := range estate.GetServices() {
		services = append(services, route.Service{
			Name:         s.GetName(),
			Connections:  int(s.GetConnections()),
			ColdDuration: time.Duration(s.GetColdStartMs()) * time.Millisecond,
			Keyed:        s.GetKeyed(),
		})
	}
	var routes []route.Route
	for _, r := range estate.GetRoutes() {
		routes = append(routes, convertRoute(r))
	}
	return route.NewTable(version, routes, services, route.Limits{})
}

func convertRoute(r *schema.Route) route.Route {
	converted := route.Route{
		Name:      r.GetName(),
		Host:      r.GetHost(),
		Prefix:    r.GetPrefix(),
		Timeout:   time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		Objective: time.Duration(r.GetObjectiveMs()) * time.Millisecond,
		Attempts:  int(r.GetAttempts()),
		Priority:  int(r.GetPriority()),
	}
	switch r.GetKind() {
	case schema.RouteKind_idempotent:
		converted.Kind = route.Idempotent
	case schema.RouteKind_bulk:
		converted.Kind = route.Download
	case schema.RouteKind_once, schema.RouteKind_route_unset:
		converted.Kind = route.AtMostOnce
	}
	for _, p := range r.GetParts() {
		converted.WeightedServices = append(converted.WeightedServices, route.WeightedService{
			Service: p.GetService(),
			Weight:  int(p.GetWeight()),
		})
	}
	return converted
}
