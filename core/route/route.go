// Package route decides which route and service a request belongs to. A Table is one accepted configuration and does
// not change.
package route

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce is for requests that run at most once.
	AtMostOnce
	// Download is idempotent with a large answer.
	Download
)

// Route is the treatment of the requests under a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services has at least one entry; weights are positive.
	Services []WeightedService
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// MaxAttempts bounds the upstreams that one request is sent to, at least 1.
	MaxAttempts int
	// Priority 0 is the most urgent.
	Priority int
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a kind of upstream.
type Service struct {
	Name string
	// HealthPath is where an upstream tells of its health.
	HealthPath string
	// MaxConnections bounds the connections to one upstream over all instances.
	MaxConnections int
	// ColdDuration is how long a started upstream bears only ColdPerSecond requests a second.
	ColdDuration time.Duration
	ColdRate     float64
	// Keyed is true where each key has one owner, and Warm how long keys are slow without a hand-over.
	Keyed          bool
	WarmupDuration time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes and BodyBytes are 0 where there is no limit.
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one accepted configuration. It is never changed after NewTable.
type Table struct {
	// Version is the operators' own, which grows.
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// hosts holds each host's routes, longest prefix first.
	hosts map[string][]*Route
}

// RouteError reports a route that can't be served.
type RouteError struct {
	Route   string
	Problem string
}

func (e *RouteError) Error() string {
	return fmt.Sprintf("route %q: %s: correct the configuration and write it again", e.Route, e.Problem)
}

// NewTable checks routes and returns the table, or a *RouteError.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Version:  version,
		Services: map[string]Service{},
		Limits:   limits,
		hosts:    map[string][]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := routes[i]
		if err := t.check(&r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	problem := ""
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		problem = fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.MaxAttempts < 1:
		problem = "allows no attempt"
	case r.Timeout <= 0:
		problem = "has no timeout"
	case len(r.Services) == 0:
		problem = "names no service"
	}
	for _, p := range r.Services {
		if _, known := t.Services[p.Service]; !known {
			problem = fmt.Sprintf("names the unknown service %q", p.Service)
		}
		if p.Weight < 0 {
			problem = fmt.Sprintf("gives service %q a weight below 0", p.Service)
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

// Find returns the route of the host with the longest prefix that begins path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Splitter deals the requests of routes to their parts by weight. Each part's count stays within one request of its
// share, so that shares also hold over short times. It is not safe for concurrent use.
type Splitter struct {
	counts map[string][]float64
}

// NewSplitter returns a Splitter without history.
func NewSplitter() *Splitter {
	return &Splitter{
		counts: map[string][]float64{},
	}
}

// Next returns the service for the next request of r: smooth weighted round robin.
func (s *Splitter) Next(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	key := splitKey(r)
	credits := s.counts[key]
	if credits == nil {
		credits = make([]float64, len(r.Services))
		s.counts[key] = credits
	}
	total := 0
	best := 0
	for i, p := range r.Services {
		credits[i] += float64(p.Weight)
		total += p.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= float64(total)
	return r.Services[best].Service
}

// splitKey changes with the weights, which start their count anew.
func splitKey(r *Route) string {
	return fmt.Sprint(r.Host, r.Prefix, r.Services)
}
