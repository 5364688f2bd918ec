package tryout_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/examples"
	"cuminlift/internal/tryout"
	"cuminlift/schema"
)

// waitTimeout limits waits for conditions that must eventually hold. Tests do not check how soon they do.
const waitTimeout = time.Minute

func startSeminars(c *qt.C) *tryout.Cluster {
	cluster, err := tryout.Start(tryout.Config{
		Folder:    c.TempDir(),
		Zones:     []string{"zone-a", "zone-b", "zone-c"},
		Instances: 1,
		Upstreams: []tryout.Upstreams{
			{
				Service: "calendar",
				Keyed:   true,
				Count:   6,
				Slots:   2,
				Work:    time.Millisecond,
			},
			{
				Service: "registrations",
				Count:   3,
				Slots:   2,
				Work:    time.Millisecond,
			},
			{
				Service: "media",
				Count:   3,
				Slots:   2,
				Work:    time.Millisecond,
			},
		},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Close)
	_, err = cluster.ApplyEstate(context.Background(), examples.Seminars)
	c.Assert(err, qt.IsNil)
	c.Assert(tryout.WaitUntil(waitTimeout, func() bool { return cluster.AllUpstreamsUsable(3) }), qt.IsTrue)
	return cluster
}

// sendUntilRun sends a request through an instance, and repeats it until its outcome is other than not-run.
func sendUntilRun(c *qt.C, cluster *tryout.Cluster, instance int, method, path, idempotencyKey string) *http.Response {
	target := "http://" + cluster.Instances[instance].Daemon.Callers() + path
	var response *http.Response
	ok := tryout.WaitUntil(waitTimeout, func() bool {
		request, err := http.NewRequest(method, target, strings.NewReader("seat"))
		c.Assert(err, qt.IsNil)
		if idempotencyKey != "" {
			request.Header.Set("Idempotency-Key", idempotencyKey)
		}
		response, err = http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		return response.Header.Get("Cuminlift-Outcome") != "not-run"
	})
	c.Assert(ok, qt.IsTrue)
	return response
}

func TestKeyIsServedBySameOwnerThroughEveryInstance(t *testing.T) {
	c := qt.New(t)
	cluster := startSeminars(c)
	for key := range 20 {
		owners := map[string]bool{}
		for instance := range cluster.Instances {
			response := sendUntilRun(c, cluster, instance, http.MethodGet, fmt.Sprintf("/calendar/seminar-%d", key), "")
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
			owners[response.Header.Get("Upstream")] = true
			_ = response.Body.Close()
		}
		c.Assert(owners, qt.HasLen, 1)
	}
	for name, u := range cluster.Upstreams {
		c.Assert(u.Counters().GetMostRunning() <= 2, qt.IsTrue, qt.Commentf("%s", name))
	}
}

func TestRequestsWithSameIdempotencyKeyRunOnce(t *testing.T) {
	c := qt.New(t)
	cluster := startSeminars(c)
	for n := range 10 {
		bodies := map[string]bool{}
		for instance := range cluster.Instances {
			response := sendUntilRun(c, cluster, instance, http.MethodPost, "/registrations/talk", fmt.Sprintf("seat-%d", n))
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			bodies[string(body)] = true
			_ = response.Body.Close()
		}
		c.Assert(bodies, qt.HasLen, 1)
	}
	var served, repeated uint64
	for name, u := range cluster.Upstreams {
		if strings.HasPrefix(name, "registrations") {
			served += u.Counters().GetServed()
			repeated += u.Counters().GetRepeatedRuns()
		}
	}
	c.Assert(served, qt.Equals, uint64(10))
	c.Assert(repeated, qt.Equals, uint64(0))
}

func TestDownloadsAreSpreadOverUpstreams(t *testing.T) {
	c := qt.New(t)
	cluster := startSeminars(c)
	seen := map[string]bool{}
	for n := range 30 {
		response := sendUntilRun(c, cluster, n%3, http.MethodGet, "/media/slides?size=40000", "")
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.HasLen, 40000)
		seen[response.Header.Get("Upstream")] = true
		_ = response.Body.Close()
	}
	c.Assert(seen, qt.HasLen, 3)
}

func TestRefusalReportsNotRunAndRetryAfter(t *testing.T) {
	c := qt.New(t)
	cluster := startSeminars(c)
	cluster.Platform.SetFaults(&schema.PlatformFaults{
		Down: true,
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+cluster.Instances[0].Daemon.Callers()+"/registrations/talk", strings.NewReader("seat"))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Idempotency-Key", "seat-1")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Cuminlift-Outcome"), qt.Equals, "not-run")
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	for name, u := range cluster.Upstreams {
		if strings.HasPrefix(name, "registrations") {
			c.Assert(u.Counters().GetServed(), qt.Equals, uint64(0))
		}
	}
}
