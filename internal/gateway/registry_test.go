package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/platform"
)

// One odd entry of another writer must neither end the instances that read the registry nor take keys and requests from the others.
func TestOddEntriesAmongUpstreamsChangeNothingForTheOthers(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "keyed")
	for i, odd := range []string{
		`{"service":"keyed","addr":"127.0.0.1:9","zone":"z1","slots":2,"state":"ready","warmup_left":"0ms","more":` + strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000) + `}`,
		`{"service":"keyed","addr":"127.0.0.1:9","zone":"z1","slots":9223372036854775807,"state":"ready","warmup_left":"0ms","born":1}`,
		`{"service":"keyed","addr":"127.0.0.1:9","zone":"z1","slots":2,"state":"ready","warmup_left":"1e12s","born":1}`,
		`{"service":"keyed","addr":"127.0.0.1:70000","zone":"z1","slots":2,"state":"ready","warmup_left":"0ms","born":1}`,
	} {
		k.put("servers", fmt.Sprint("odd-", i), odd)
	}
	k.upstream("k0", "keyed", "z1")
	for name := range k.instances {
		k.waitServing(name)
	}
	k.upstream("k1", "keyed", "z1")
	eventually(func() bool { return k.holdsAny("k1") })
	for key := 0; key < platform.KeyCount; key += platform.KeyCount / 64 {
		status := 0
		for range 3 { // Keys may be on their way to the upstream that has just joined.
			if status != http.StatusOK {
				status, _, _ = k.send("n0", http.MethodGet, "/read/x", key, "")
			}
		}
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("key %d", key))
	}
}
