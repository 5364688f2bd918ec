package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// String returns the name of the kind in configurations and in the names of classes.
func (k Kind) String() string {
	switch k {
	case AtMostOnce:
		return "non_idempotent"
	case Download:
		return "download"
	case Idempotent:
	}
	return "idempotent"
}

// className returns the class of a route: the same for routes whose requests are assumed to have similar cost. A configuration may
// have thousands of routes, but what is learned of the cost of requests must stay bounded and needs many samples for each class.
func className(r *Route) string {
	return fmt.Sprintf("%d/%v/%v/%v", r.Priority, r.Kind, r.Objective, r.Timeout)
}

// ClassKind returns what of a class tells kinds of requests apart: all but the timeout.
func ClassKind(class string) string {
	if end := strings.LastIndexByte(class, '/'); end >= 0 {
		return class[:end]
	}
	return class
}

// kindOfRequests is what the routes of a service must have in common for their requests to be treated alike.
type kindOfRequests struct {
	priority  int
	kind      Kind
	objective time.Duration
}

// markMixedServices sets Mixed of the services to which routes with different kinds of requests send.
func (t *Table) markMixedServices() {
	first := map[string]kindOfRequests{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			// Downloads alone make no difference: they are placed by zone, and their cost is the transfer.
			if r.Kind == Download {
				continue
			}
			kind := kindOfRequests{
				priority:  r.Priority,
				kind:      r.Kind,
				objective: r.Objective,
			}
			for _, w := range r.WeightedServices {
				if w.Weight == 0 && len(r.WeightedServices) > 1 {
					continue // Such a service gets no requests of this route.
				}
				other, known := first[w.Service]
				if !known {
					first[w.Service] = kind
					continue
				}
				if service := t.Services[w.Service]; other != kind {
					service.Mixed = true
					t.Services[w.Service] = service
				}
			}
		}
	}
}

// MixedServices returns the classes of routes by service, for services to which routes with different kinds of requests send.
func (t *Table) MixedServices() string {
	classes := map[string][]string{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			for _, w := range r.WeightedServices {
				if t.Services[w.Service].Mixed && !slices.Contains(classes[w.Service], r.Class) {
					classes[w.Service] = append(classes[w.Service], r.Class)
				}
			}
		}
	}
	var names []string
	for name, list := range classes {
		slices.Sort(list)
		names = append(names, name+": "+strings.Join(list, ", "))
	}
	slices.Sort(names)
	return strings.Join(names, "; ")
}
