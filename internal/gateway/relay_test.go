package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// relay asks an instance to send a request to an upstream, as another instance does. It returns the status, the outcome that the
// instance names, and the body; err tells that the answer broke off.
func (k *cluster) relay(instance, upstream, born, deadline string) (status int, outcome, body string, err error) {
	k.requestCount++
	return k.relayAt(k.instances[instance].settings.RelayAddress, fmt.Sprint("relayed-", k.requestCount), upstream, born, deadline)
}

// relayAt asks the instance with a relay address to send a request.
func (k *cluster) relayAt(address, id, upstream, born, deadline string) (status int, outcome, body string, err error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/read/x", nil)
	k.c.Check(err, qt.IsNil)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Cuminlift-Relay-Upstream", upstream)
	request.Header.Set("Cuminlift-Relay-Born", born)
	if deadline != "" {
		request.Header.Set("Deadline-Ms", deadline)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Cuminlift-Relay-Outcome"), string(data), err
}

// A request that goes another way reaches an upstream that leaves, pauses, or is another one by now.
func TestRelaySendsNothingToUnwantedUpstreams(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	u := k.upstream("p0", "plain", "z1")
	paused := k.upstream("p1", "plain", "z1")
	drained := k.upstream("p2", "plain", "z2")
	for _, id := range []string{"p0", "p1", "p2"} {
		eventually(func() bool {
			status, _, body, err := k.relay("n0", id, "1", "2000")
			return err == nil && status == http.StatusOK && strings.HasPrefix(body, id+" for relayed-")
		})
	}
	refused := func(upstream, born, deadline string) {
		status, outcome, _, err := k.relay("n0", upstream, born, deadline)
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusBadGateway)
		c.Check(outcome, qt.Equals, "abandoned", qt.Commentf("%s born %s within %q", upstream, born, deadline))
	}
	arrived := len(u.Arrivals())
	refused("p0", "2", "2000")
	refused("p0", "", "2000")
	refused("other", "1", "2000")
	refused("p0", "1", "")
	refused("p0", "1", "0")
	c.Check(u.Arrivals(), qt.HasLen, arrived)

	paused.SetPause("30")
	status, outcome, _, err := k.relay("n0", "p1", "1", "2000")
	c.Check(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(outcome, qt.Equals, "")
	arrived = len(paused.Arrivals())
	refused("p1", "1", "2000")
	c.Check(paused.Arrivals(), qt.HasLen, arrived)

	u.Leave()
	status, _, _, err = k.relay("n0", "p0", "1", "2000")
	c.Check(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusOK)
	refused("p0", "1", "2000")

	k.put("op", "evacuate/z2", "{}")
	eventually(func() bool {
		_, outcome, _, err := k.relay("n0", "p2", "1", "2000")
		return err == nil && outcome == "abandoned"
	})
	arrived = len(drained.Arrivals())
	refused("p2", "1", "2000")
	c.Check(drained.Arrivals(), qt.HasLen, arrived)
}

// An answer that breaks off on its way through another instance looks complete.
func TestRelayedAnswerThatBreaksOffIsNeverASuccess(t *testing.T) {
	const length = 400_000
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	for i, written := range []int{10, length / 2} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Signature", "s")
			w.Header().Set("Content-Length", fmt.Sprint(length))
			_, _ = w.Write(make([]byte, written))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}))
		c.Cleanup(server.Close)
		id := fmt.Sprint("broken-", i)
		k.registerPlain(id, server.Listener.Addr().String(), 2)
		eventually(func() bool {
			_, outcome, _, err := k.relay("n0", id, "1", "2000")
			return err != nil && outcome == "" || outcome == "lost"
		})
		for range 5 {
			status, outcome, body, err := k.relay("n0", id, "1", "2000")
			complete := err == nil && status == http.StatusOK && outcome == ""
			c.Check(complete, qt.IsFalse, qt.Commentf("%d of %d bytes", len(body), length))
		}
	}
}

// An upstream that has run a request says in the relay's words that it was not sent, so that it is sent again.
func TestUpstreamCannotSpeakForARelay(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Cuminlift-Relay-Outcome", "unreachable")
		_, _ = io.WriteString(w, "ran")
	}))
	c.Cleanup(server.Close)
	k.registerPlain("u", server.Listener.Addr().String(), 2)
	eventually(func() bool {
		_, outcome, body, err := k.relay("n0", "u", "1", "2000")
		if err != nil || outcome == "abandoned" {
			return false // Not listening yet, or the upstream is not known yet.
		}
		c.Check(outcome, qt.Equals, "")
		c.Check(body, qt.Equals, "ran")
		return true
	})
}
