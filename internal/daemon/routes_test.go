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

const routesText = `"routes": [
    {"name": "browse", "host": "seminars.example", "prefix": "/seats/", "kind": "idempotent", "timeout-ms": 1000, "objective-ms": 300,
     "attempts": 2, "priority": 2, "parts": [{"service": "registrations", "weight": 1}]}],
  "services"`

// status asks for a path on a host.
func status(c *qt.C, cluster *tryout.Cluster, host, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+cluster.Instances[0].Daemon.CallerAddress()+path, nil)
	c.Assert(err, qt.IsNil)
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	return response.StatusCode
}

func TestRoutesOfTheEstateTakeThePlaceOfPrefixes(t *testing.T) {
	c := qt.New(t)
	f := startFake(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	})
	cluster := startWith(c, f)
	c.Assert(status(c, cluster, "seminars.example", "/registrations/7"), qt.Equals, http.StatusOK)
	c.Assert(status(c, cluster, "seminars.example", "/seats/7"), qt.Equals, http.StatusNotFound)
	_, err := cluster.ApplyEstate(context.Background(), strings.Replace(startText, `"services"`, routesText, 1))
	c.Assert(err, qt.IsNil)
	ok := tryout.WaitUntil(patience, func() bool {
		return status(c, cluster, "seminars.example:80", "/seats/7") == http.StatusOK
	})
	c.Assert(ok, qt.IsTrue)
	c.Check(status(c, cluster, "seminars.example", "/registrations/7"), qt.Equals, http.StatusNotFound)
	c.Check(status(c, cluster, "other.example", "/seats/7"), qt.Equals, http.StatusNotFound)
}
