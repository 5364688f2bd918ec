package estate_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/admission"
	"cuminlift/core/estate"
	"cuminlift/core/route"
	"cuminlift/examples"
)

func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{examples.Seminars, examples.Turkeys} {
		parsed, err := estate.Parse("example", []byte(text))
		c.Assert(err, qt.IsNil)
		c.Assert(parsed.GetServices(), qt.HasLen, 3)
	}
}

func TestProblemsHavePathAndRemedy(t *testing.T) {
	for name, test := range map[string]struct{ old, replaced, path string }{
		"unknown field":       {`"slots": 2`, `"slotz": 2`, "text"},
		"missing field":       {`"slots": 2,`, ``, "services[0].slots"},
		"impossible number":   {`"deadline-ms": 2000`, `"deadline-ms": 5`, "services[0].deadline-ms"},
		"wrong unit":          {`"deadline-ms": 2000`, `"deadline-ms": "2s"`, "text"},
		"duplicate name":      {`"name": "registrations"`, `"name": "calendar"`, "services[1].name"},
		"duplicate prefix":    {`"/registrations/"`, `"/calendar/"`, "services[1].path-prefix"},
		"unknown dependency":  {`["calendar"]`, `["calender"]`, "services[1].depends-on[0]"},
		"circular dependency": {`"depends-on": []`, `"depends-on": ["media"]`, "services[0].depends-on"},
		"unknown kind":        {`"kind": "order"`, `"kind": "orders"`, "text"},
		"fewer connections":   {`"connections": 100`, `"connections": 1`, "services[0].connections"},
		"no name":             {`"name": "seminars"`, `"name": "Seminars 1"`, "name"},
		"truncated text":      {"}\n", "", "text"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.ReplaceAll(examples.Seminars, test.old, test.replaced)
			if test.old != "}\n" {
				text = strings.Replace(examples.Seminars, test.old, test.replaced, 1)
			}
			_, err := estate.Parse("seminars.json", []byte(text))
			var problems *estate.ValidationError
			c.Assert(errors.As(err, &problems), qt.IsTrue)
			found := false
			for _, p := range problems.Problems {
				c.Assert(p.Remedy, qt.Not(qt.Equals), "")
				c.Assert(p.File, qt.Equals, "seminars.json")
				found = found || p.Path == test.path
			}
			c.Assert(found, qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	text := strings.ReplaceAll(examples.Seminars, `"slots": 2`, `"slots": 0`)
	_, err := estate.Parse("seminars.json", []byte(text))
	var problems *estate.ValidationError
	c.Assert(errors.As(err, &problems), qt.IsTrue)
	c.Assert(problems.Problems, qt.HasLen, 3)
}

func TestClassFollowsKindAndDependents(t *testing.T) {
	c := qt.New(t)
	parsed, err := estate.Parse("seminars.json", []byte(examples.Seminars))
	c.Assert(err, qt.IsNil)
	c.Assert(estate.Class(parsed, "calendar", true), qt.Equals, admission.Check)
	c.Assert(estate.Class(parsed, "registrations", false), qt.Equals, admission.Order)
	c.Assert(estate.Class(parsed, "registrations", true), qt.Equals, admission.Check)
	c.Assert(estate.Class(parsed, "media", true), qt.Equals, admission.Download)
	dependent := strings.Replace(examples.Seminars, `"depends-on": []`, `"depends-on": ["media"]`, 1)
	dependent = strings.ReplaceAll(dependent, `"depends-on": ["calendar"]`, `"depends-on": []`)
	parsed, err = estate.Parse("seminars.json", []byte(dependent))
	c.Assert(err, qt.IsNil)
	c.Assert(estate.Class(parsed, "media", true), qt.Equals, admission.Check)
}

func TestLongestPrefixWins(t *testing.T) {
	c := qt.New(t)
	text := strings.Replace(examples.Seminars, `"/media/"`, `"/calendar/media/"`, 1)
	parsed, err := estate.Parse("seminars.json", []byte(text))
	c.Assert(err, qt.IsNil)
	c.Assert(estate.Find(parsed, "/calendar/media/1").GetName(), qt.Equals, "media")
	c.Assert(estate.Find(parsed, "/calendar/1").GetName(), qt.Equals, "calendar")
	c.Assert(estate.Find(parsed, "/other/1"), qt.IsNil)
}

func TestDifferenceNamesFields(t *testing.T) {
	c := qt.New(t)
	from, err := estate.Parse("a", []byte(examples.Seminars))
	c.Assert(err, qt.IsNil)
	to, err := estate.Parse("b", []byte(strings.Replace(examples.Seminars, `"queue": 512`, `"queue": 600`, 1)))
	c.Assert(err, qt.IsNil)
	c.Assert(estate.Diff(from, to), qt.DeepEquals, []string{"~ calendar: queue 512 -> 600"})
	c.Assert(estate.Diff(from, from), qt.HasLen, 0)
}

const routes = `"routes": [
    {"name": "browse", "host": "seminars.example", "prefix": "/calendar/", "kind": "idempotent", "timeout-ms": 1000, "objective-ms": 300,
     "attempts": 2, "priority": 2, "parts": [{"service": "calendar", "weight": 90}, {"service": "media", "weight": 10}]},
    {"name": "register", "host": "seminars.example", "prefix": "/calendar/seats/", "kind": "once", "timeout-ms": 1200, "objective-ms": 400,
     "attempts": 1, "priority": 1, "parts": [{"service": "registrations", "weight": 1}]}],
  "services"`

func withRoutes() string {
	return strings.Replace(examples.Seminars, `"services"`, routes, 1)
}

func TestRouteTableMatchesLongestPrefix(t *testing.T) {
	c := qt.New(t)
	parsed, err := estate.Parse("seminars.json", []byte(withRoutes()))
	c.Assert(err, qt.IsNil)
	table, err := estate.RouteTable(3, parsed)
	c.Assert(err, qt.IsNil)
	c.Check(table.Find("seminars.example", "/calendar/x").Name, qt.Equals, "browse")
	register := table.Find("seminars.example", "/calendar/seats/7")
	c.Check(register.Kind, qt.Equals, route.AtMostOnce)
	c.Check(register.Attempts, qt.Equals, 1)
	c.Check(table.Find("other.example", "/calendar/x"), qt.IsNil)
	without, err := estate.Parse("seminars.json", []byte(examples.Seminars))
	c.Assert(err, qt.IsNil)
	table, err = estate.RouteTable(3, without)
	c.Check(err, qt.IsNil)
	c.Check(table, qt.IsNil)
}

func TestRouteProblemsHavePath(t *testing.T) {
	for name, test := range map[string]struct{ old, replaced, path string }{
		"unknown service":         {`{"service": "media", "weight": 10}`, `{"service": "mediaa", "weight": 10}`, "routes[0].parts[1].service"},
		"duplicate service":       {`{"service": "media", "weight": 10}`, `{"service": "calendar", "weight": 10}`, "routes[0].parts[1].service"},
		"zero weight":             {`"weight": 90`, `"weight": 0`, "routes[0].parts[0].weight"},
		"no kind":                 {`"kind": "once",`, ``, "routes[1].kind"},
		"same prefix":             {`"/calendar/seats/"`, `"/calendar/"`, "routes[1].prefix"},
		"prefix without slash":    {`"/calendar/seats/"`, `"/calendar/seats"`, "routes[1].prefix"},
		"same name":               {`"name": "register"`, `"name": "browse"`, "routes[1].name"},
		"objective above timeout": {`"objective-ms": 400`, `"objective-ms": 1300`, "routes[1].objective-ms"},
		"zero attempts":           {`"attempts": 1`, `"attempts": 0`, "routes[1].attempts"},
		"host with port":          {`"host": "seminars.example", "prefix": "/calendar/seats/"`, `"host": "a:80", "prefix": "/calendar/seats/"`, "routes[1].host"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := estate.Parse("seminars.json", []byte(strings.Replace(withRoutes(), test.old, test.replaced, 1)))
			var problems *estate.ValidationError
			c.Assert(errors.As(err, &problems), qt.IsTrue)
			found := false
			for _, p := range problems.Problems {
				found = found || (p.Path == test.path && p.Remedy != "")
			}
			c.Check(found, qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestDifferenceNamesRoutes(t *testing.T) {
	c := qt.New(t)
	from, err := estate.Parse("a", []byte(withRoutes()))
	c.Assert(err, qt.IsNil)
	to, err := estate.Parse("b", []byte(strings.Replace(withRoutes(), `"timeout-ms": 1200`, `"timeout-ms": 1500`, 1)))
	c.Assert(err, qt.IsNil)
	c.Check(estate.Diff(from, to), qt.DeepEquals, []string{"~ route register: timeout-ms 1200 -> 1500"})
	without, err := estate.Parse("c", []byte(examples.Seminars))
	c.Assert(err, qt.IsNil)
	c.Check(estate.Diff(from, without), qt.DeepEquals, []string{"- route browse", "- route register"})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(examples.Seminars))
	f.Add([]byte(`{"name":"a","services":[{"name":"b"}]}`))
	f.Add([]byte(`{"services":[{},{}]}`))
	f.Add([]byte("\x00{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := estate.Parse("fuzz", text)
		if err == nil && len(parsed.GetServices()) == 0 {
			t.Fatal("a document without services was accepted")
		}
	})
}
