// Package route maps requests to routes and services. A Table holds one accepted configuration and is immutable.
package route

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"cuminlift/core/workspace"
)

// Kind tells whether the requests of a route may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests must not run more than once.
	AtMostOnce
	// Download requests are idempotent and have large responses.
	Download
)

// Route defines how requests with a path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// WeightedServices has at least one entry. Weights are not negative.
	WeightedServices []WeightedService
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the time within which a request should be answered.
	Objective time.Duration
	// Attempts is the maximum number of upstreams that a request is sent to, at least 1.
	Attempts int
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	// AllowAnonymous is true if callers need no API key.
	AllowAnonymous bool
	// Class is set by NewTable. It is the same for routes that agree in kind, priority, objective and timeout.
	Class string
}

// WeightedService is a service with the weight of its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service describes a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health endpoint.
	HealthPath string
	// Connections is the maximum number of connections to one upstream, over all instances.
	Connections int
	// ColdDuration is how long after its start an upstream is limited to ColdRate requests per second.
	ColdDuration time.Duration
	ColdRate     float64
	// Keyed is true if each key has a single owner. WarmupDuration is how long requests for a key are slow after it
	// changes owner without a handover.
	Keyed          bool
	WarmupDuration time.Duration
	// Mixed is set by NewTable. It is true if routes that differ in priority, objective or kind send to the service, apart from
	// downloads.
	Mixed bool
}

// Limits restricts what clients may send.
type Limits struct {
	// HeaderBytes and BodyBytes are 0 if unlimited.
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table holds one accepted configuration. It is not modified after NewTable.
type Table struct {
	// Version is the version number assigned by the operators, which increases with every change.
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Workspaces is nil if callers need no API keys on any route.
	Workspaces *workspace.Directory
	// hosts maps a host to its routes, longest prefix first.
	hosts map[string][]*Route
}

// RouteError reports an invalid route.
type RouteError struct {
	Route   string
	Problem string
}

func (e *RouteError) Error() string {
	return fmt.Sprintf("route %q: %s: correct the configuration and write it again", e.Route, e.Problem)
}

// NewTable validates the routes and returns the table. It returns a *RouteError if a route is invalid.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Version:  version,
		Services: map[string]Service{},
		Limits:   limits,
		hosts:    map[string][]*Route{},
	}
	for _, s := range services {
		s.Mixed = false
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := routes[i]
		if err := t.check(&r); err != nil {
			return nil, err
		}
		r.Class = className(&r)
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &r)
	}
	t.markMixedServices()
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	problem := ""
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		problem = fmt.Sprintf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Attempts < 1:
		problem = "attempts must be at least 1"
	case r.Timeout <= 0:
		problem = "timeout must be positive"
	case len(r.WeightedServices) == 0:
		problem = "no service given"
	}
	for _, w := range r.WeightedServices {
		if _, known := t.Services[w.Service]; !known {
			problem = fmt.Sprintf("unknown service %q", w.Service)
		}
		if w.Weight < 0 {
			problem = fmt.Sprintf("service %q has a negative weight", w.Service)
		}
	}
	if problem == "" {
		return nil
	}
	return &RouteError{
		Route:   r.Name,
		Problem: problem,
	}
}

// Find returns the route of host with the longest prefix of path, or nil if there is none.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Splitter distributes the requests of a route among its services by weight. The count of each service stays within one
// request of its exact share, so the shares also hold over short periods. It is not safe for concurrent use.
type Splitter struct {
	// credits holds the round-robin credit of each service of a route, by splitKey.
	credits map[string][]float64
}

// NewSplitter returns a Splitter without history.
func NewSplitter() *Splitter {
	return &Splitter{
		credits: map[string][]float64{},
	}
}

// Next returns the service for the next request of r, using smooth weighted round robin.
func (s *Splitter) Next(r *Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	key := splitKey(r)
	credits := s.credits[key]
	if credits == nil {
		credits = make([]float64, len(r.WeightedServices))
		s.credits[key] = credits
	}
	total := 0
	best := 0
	for i, w := range r.WeightedServices {
		credits[i] += float64(w.Weight)
		total += w.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= float64(total)
	return r.WeightedServices[best].Service
}

// splitKey identifies a route with its weights, so that a change of weights discards the credits.
func splitKey(r *Route) string {
	return fmt.Sprint(r.Host, r.Prefix, r.WeightedServices)
}
