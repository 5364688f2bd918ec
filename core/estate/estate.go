// Package estate parses and validates the estate, the operators' description of services and routes, and determines the
// priority class of each service's requests.
package estate

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/core/admission"
	"cuminlift/schema"
)

// Problem is one validation error in an estate document.
type Problem struct {
	// File is the name of the document, and Path the location in it, such as "services[2].slots".
	File string
	Path string
	// Description tells what is wrong, and Remedy how to correct it.
	Description string
	Remedy      string
}

func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s: %s", p.File, p.Path, p.Description, p.Remedy)
}

// ValidationError holds all problems of a document. Such a document is rejected as a whole.
type ValidationError struct {
	Problems []*Problem
}

func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// MaxSize bounds the size of a document, in bytes.
const MaxSize = 1 << 20

var kebab = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// Parse parses and validates an estate document in JSON. It returns a *ValidationError with every problem found.
func Parse(file string, text []byte) (*schema.Estate, error) {
	if len(text) > MaxSize {
		return nil, newValidationError(file, "text", fmt.Sprintf("is %d bytes long", len(text)),
			fmt.Sprintf("keep it within %d bytes", MaxSize))
	}
	estate := &schema.Estate{}
	if err := protojson.Unmarshal(text, estate); err != nil {
		return nil, newValidationError(file, "text", cleanDecodeError(err),
			"correct the JSON; field names are those of docs/ESTATE.md")
	}
	c := &validator{
		file:   file,
		estate: estate,
	}
	c.validate()
	if len(c.problems) > 0 {
		return nil, &ValidationError{
			Problems: c.problems,
		}
	}
	return estate, nil
}

// cleanDecodeError strips the prefix of the protobuf library's errors and replaces non-breaking spaces, because the
// library varies its white space deliberately.
func cleanDecodeError(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	text = strings.TrimPrefix(text, "proto: ")
	return strings.TrimSpace(text)
}

// newValidationError returns a *ValidationError with a single problem.
func newValidationError(file, path, description, remedy string) error {
	return &ValidationError{
		Problems: []*Problem{{
			File:        file,
			Path:        path,
			Description: description,
			Remedy:      remedy,
		}},
	}
}

type validator struct {
	file     string
	estate   *schema.Estate
	problems []*Problem
}

func (c *validator) addProblem(path, description, remedy string) {
	c.problems = append(c.problems, &Problem{
		File:        c.file,
		Path:        path,
		Description: description,
		Remedy:      remedy,
	})
}

func (c *validator) validate() {
	if !kebab.MatchString(c.estate.GetName()) {
		c.addProblem("name", fmt.Sprintf("%q is not a kebab-case name", c.estate.GetName()), "use a name such as \"seminars\"")
	}
	if len(c.estate.GetServices()) == 0 {
		c.addProblem("services", "is missing or empty", "describe at least one service")
	}
	names := map[string]int{}
	prefixes := map[string]int{}
	for i, s := range c.estate.GetServices() {
		path := fmt.Sprintf("services[%d]", i)
		if first, duplicate := names[s.GetName()]; duplicate {
			c.addProblem(path+".name", fmt.Sprintf("%q is already the name of services[%d]", s.GetName(), first), "give each service its own name")
		}
		if first, duplicate := prefixes[s.GetPathPrefix()]; duplicate {
			c.addProblem(path+".path-prefix", fmt.Sprintf("%q is already the prefix of services[%d]", s.GetPathPrefix(), first), "give each service its own prefix")
		}
		names[s.GetName()] = i
		prefixes[s.GetPathPrefix()] = i
		c.validateService(path, s)
	}
	c.validateDependencies(names)
	c.validateRoutes(names)
}

func (c *validator) validateService(path string, s *schema.Service) {
	if !kebab.MatchString(s.GetName()) {
		c.addProblem(path+".name", fmt.Sprintf("%q is not a kebab-case name", s.GetName()), "use a name such as \"calendar\"")
	}
	if s.GetKind() == schema.ServiceKind_unset {
		c.addProblem(path+".kind", "is missing", "set it to \"check\", \"order\" or \"download\"")
	}
	if _, known := schema.ServiceKind_name[int32(s.GetKind())]; !known {
		c.addProblem(path+".kind", "is an unknown number", "set it to \"check\", \"order\" or \"download\"")
	}
	prefix := s.GetPathPrefix()
	if len(prefix) < 3 || !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		c.addProblem(path+".path-prefix", fmt.Sprintf("%q does not start and end with \"/\" around a name", prefix), "use a prefix such as \"/calendar/\"")
	}
	c.validateRange(path+".slots", s.GetSlots(), 1, 1024, "requests at a time")
	c.validateRange(path+".connections", s.GetConnections(), 1, 65535, "connections")
	c.validateRange(path+".deadline-ms", s.GetDeadlineMs(), 10, 600000, "milliseconds")
	c.validateRange(path+".queue", s.GetQueue(), 1, 100000, "requests")
	c.validateRange(path+".cold-start-ms", s.GetColdStartMs(), 0, 600000, "milliseconds")
	if s.GetConnections() != 0 && s.GetConnections() < s.GetSlots() {
		c.addProblem(path+".connections", fmt.Sprintf("%d is less than slots (%d)", s.GetConnections(), s.GetSlots()), "allow at least one connection for each slot")
	}
}

func (c *validator) validateRange(path string, value, low, high uint32, unit string) {
	if value >= low && value <= high {
		return
	}
	description := fmt.Sprintf("%d is outside %d to %d %s", value, low, high, unit)
	if value == 0 {
		description = "is missing or 0"
	}
	c.addProblem(path, description, fmt.Sprintf("set it from %d to %d %s", low, high, unit))
}

func (c *validator) validateDependencies(names map[string]int) {
	for i, s := range c.estate.GetServices() {
		seen := map[string]bool{}
		for j, name := range s.GetDependsOn() {
			path := fmt.Sprintf("services[%d].depends-on[%d]", i, j)
			if _, known := names[name]; !known {
				c.addProblem(path, fmt.Sprintf("%q is not a service of this document", name), "name a service of \"services\", or remove the entry")
			}
			if seen[name] {
				c.addProblem(path, fmt.Sprintf("%q is listed twice", name), "remove one of the two")
			}
			seen[name] = true
		}
	}
	if cycle := findCycle(c.estate); len(cycle) > 0 {
		path := fmt.Sprintf("services[%d].depends-on", names[cycle[0]])
		c.addProblem(path, "circular dependency: "+strings.Join(cycle, " needs "), "remove one of the dependencies")
	}
}

// findCycle returns the services along a dependency cycle, with the first one repeated at the end, or nil.
func findCycle(estate *schema.Estate) []string {
	dependencies := map[string][]string{}
	for _, s := range estate.GetServices() {
		dependencies[s.GetName()] = s.GetDependsOn()
	}
	visited := map[string]bool{}
	for _, s := range estate.GetServices() {
		if cycle := searchCycle(s.GetName(), dependencies, nil, visited); cycle != nil {
			return cycle
		}
	}
	return nil
}

// searchCycle searches depth first for a cycle through name. path holds the services on the way to name.
func searchCycle(name string, dependencies map[string][]string, path []string, visited map[string]bool) []string {
	for i, earlier := range path {
		if earlier == name {
			return append(append([]string(nil), path[i:]...), name)
		}
	}
	if visited[name] {
		return nil
	}
	path = append(path, name)
	for _, n := range dependencies[name] {
		if cycle := searchCycle(n, dependencies, path, visited); cycle != nil {
			return cycle
		}
	}
	visited[name] = true
	return nil
}

// Class returns the priority class of a service's requests. Requests that are not idempotent get Order. Idempotent ones
// get the most urgent class among the service's own kind and the services that depend on it, because those wait for it.
func Class(estate *schema.Estate, service string, idempotent bool) admission.Class {
	if !idempotent {
		return admission.Order
	}
	class := admission.Download
	for _, s := range estate.GetServices() {
		if s.GetName() == service || dependsOn(estate, s.GetName(), service) {
			class = min(class, classOfKind(s.GetKind()))
		}
	}
	return class
}

func classOfKind(kind schema.ServiceKind) admission.Class {
	if kind == schema.ServiceKind_download {
		return admission.Download
	}
	// Idempotent requests to an order service are reads, such as stock checks. Only its orders get class Order.
	return admission.Check
}

// dependsOn reports whether service from depends on service to, directly or transitively.
func dependsOn(estate *schema.Estate, from, to string) bool {
	for _, s := range estate.GetServices() {
		if s.GetName() != from {
			continue
		}
		for _, n := range s.GetDependsOn() {
			if n == to || dependsOn(estate, n, to) {
				return true
			}
		}
	}
	return false
}

// Find returns the service with the longest prefix that matches path, or nil.
func Find(estate *schema.Estate, path string) *schema.Service {
	var found *schema.Service
	for _, s := range estate.GetServices() {
		if strings.HasPrefix(path, s.GetPathPrefix()) && len(s.GetPathPrefix()) > len(found.GetPathPrefix()) {
			found = s
		}
	}
	return found
}

// Diff lists the differences between two estates, one text each: services, then routes. Within each, additions come
// first, then removals, then changes, sorted by name.
func Diff(from, to *schema.Estate) []string {
	lines := diffByName("", servicesByName(from), servicesByName(to))
	return append(lines, diffByName("route ", routesByName(from), routesByName(to))...)
}

// diffByName lists added (+), removed (-) and changed (~) messages in this order, sorted by name. label precedes each
// name.
func diffByName[M proto.Message](label string, before, after map[string]M) []string {
	var lines []string
	for name, s := range after {
		old, known := before[name]
		if !known {
			lines = append(lines, "+ "+label+name)
			continue
		}
		if !proto.Equal(old, s) {
			lines = append(lines, "~ "+label+name+": "+changedFields(old, s))
		}
	}
	for name := range before {
		if _, stays := after[name]; !stays {
			lines = append(lines, "- "+label+name)
		}
	}
	sort.Strings(lines)
	return lines
}

func servicesByName(estate *schema.Estate) map[string]*schema.Service {
	services := map[string]*schema.Service{}
	for _, s := range estate.GetServices() {
		services[s.GetName()] = s
	}
	return services
}

// changedFields lists the top-level fields that differ between two messages of the same type.
func changedFields(a, b proto.Message) string {
	var changed []string
	fields := a.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		before, after := a.ProtoReflect().Get(f), b.ProtoReflect().Get(f)
		if !before.Equal(after) {
			changed = append(changed, fmt.Sprintf("%s %v -> %v", f.JSONName(), before, after))
		}
	}
	return strings.Join(changed, ", ")
}
