package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/tryout"
)

const routesEstate = `"routes": [
    {"name": "browse", "host": "seminars.example", "prefix": "/seats/", "kind": "idempotent", "timeout-ms": 1000, "objective-ms": 300,
     "attempts": 2, "priority": 2, "parts": [{"service": "registrations", "weight": 1}]}],
  "services"`

// requestStatus returns the status code of a GET request for a path on a host.
func requestStatus(c *qt.C, cluster *tryout.Cluster, host, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+cluster.Instances[0].Daemon.Callers()+path, nil)
	c.Assert(err, qt.IsNil)
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	return response.StatusCode
}

func TestEstateRoutesReplacePathPrefixes(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	})
	cluster := startCluster(c, f)
	c.Assert(requestStatus(c, cluster, "seminars.example", "/registrations/7"), qt.Equals, http.StatusOK)
	c.Assert(requestStatus(c, cluster, "seminars.example", "/seats/7"), qt.Equals, http.StatusNotFound)
	_, err := cluster.ApplyEstate(context.Background(), strings.Replace(fastEstate, `"services"`, routesEstate, 1))
	c.Assert(err, qt.IsNil)
	ok := tryout.WaitUntil(waitTimeout, func() bool {
		return requestStatus(c, cluster, "seminars.example:80", "/seats/7") == http.StatusOK
	})
	c.Assert(ok, qt.IsTrue)
	c.Check(requestStatus(c, cluster, "seminars.example", "/registrations/7"), qt.Equals, http.StatusNotFound)
	c.Check(requestStatus(c, cluster, "other.example", "/seats/7"), qt.Equals, http.StatusNotFound)
}
