package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The coordinator keeps an entry for each ticket that it has refused.
func TestRefusedTicketsAreKept(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	log := &lockedBuffer{}
	k.log = log
	k.start("n0")
	k.configure(1, "plain")
	u := k.answeringUpstreams("n0")
	eventually(func() bool { return k.leaseTerm() > 0 && strings.Contains(log.String(), "queue statistics") })
	u.setAnswer(func(w http.ResponseWriter) bool {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	})
	for range 30 {
		status, _ := k.order("n0", "refused")
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	}
	logged := len(log.String())
	eventually(func() bool { return strings.Contains(log.String()[logged:], "open-tickets=") })
	eventually(func() bool { return strings.Contains(log.String()[logged:], "open-tickets=0 ") })
}
