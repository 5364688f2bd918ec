package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/internal/standin/rowstore"
	"cuminlift/schema"
)

// noLeaseStore is a store in which no instance can acquire the lease.
type noLeaseStore struct {
	*rowstore.Store
}

func (s *noLeaseStore) Commit(ctx context.Context, transaction cuminlift.RowTransaction) (uint64, error) {
	for _, row := range transaction.Put {
		if row.Table == "gateway-lease" {
			return 0, rowstore.ErrUnavailable
		}
	}
	return s.Store.Commit(ctx, transaction)
}

// TestRestartedInstanceCountsRegisteredInstances guards the retry budget after all instances of a site are killed at once.
// Each of 62 instances then assumed that it was one of two until there was a coordinator, and together they exceeded the
// budget.
func TestRestartedInstanceCountsRegisteredInstances(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.rows = &noLeaseStore{
		Store: k.store,
	}
	const others, requests = 60, 100
	for i := range others {
		name := fmt.Sprintf("m%02d", i)
		value, err := proto.Marshal(&schema.InstanceRow{
			Name:    name,
			Address: "127.0.0.1:1",
		})
		c.Assert(err, qt.IsNil)
		k.put("gateway-instances", name, string(value))
	}
	var arrivals atomic.Int64
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer failing.Close()
	for i := range 3 {
		k.registerPlain(fmt.Sprint("f", i), failing.Listener.Addr().String(), 20)
	}
	k.configure(1, "plain")
	k.start("n0")
	eventually(func() bool {
		k.send("n0", http.MethodGet, "/read/x", 0, "")
		return arrivals.Load() > 0
	})
	arrivals.Store(0)
	for range requests {
		k.send("n0", http.MethodGet, "/read/x", 0, "")
	}
	// A fifth of the requests, and the instance's share of the slack of 58.
	extra := arrivals.Load() - requests
	c.Check(extra <= requests/5+58/(others+1)+1, qt.IsTrue, qt.Commentf("%d retries for %d requests", extra, requests))
	c.Check(extra > 0, qt.IsTrue)
}

// TestKeysWithoutKnownHolderAreNotTriedBlindly covers an instance that starts while there is no coordinator. It used to send
// each request for a key to three upstreams that all rejected it, which used up the retry budget.
func TestKeysWithoutKnownHolderAreNotTriedBlindly(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.rows = &noLeaseStore{
		Store: k.store,
	}
	k.configure(1, "keyed")
	u := k.upstream("k0", "keyed", "z1")
	k.upstream("p0", "plain", "z1")
	k.start("n0")
	eventually(func() bool {
		status, _, _ := k.send("n0", http.MethodPost, "/order/x", 0, "")
		return status == http.StatusOK
	})
	for key := range 5 {
		status, _, retryAfter := k.send("n0", http.MethodGet, "/read/x", key, "")
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(retryAfter, qt.Not(qt.Equals), "")
	}
	c.Check(u.Rejections(), qt.Equals, 0)
}

// instanceRows returns the names of the registered instances.
func (k *cluster) instanceRows() []string {
	page, err := k.store.Rows(context.Background(), "gateway-instances", "")
	k.c.Assert(err, qt.IsNil)
	var names []string
	for _, row := range page.Rows {
		names = append(names, row.Key)
	}
	return names
}

// TestKeysOutlastAnOutageAfterAnInstanceIsGone covers an instance that is removed for good, and later an outage of the store. The
// coordinator then needed an acknowledgement of the missing instance and gave up all keys within 1.2 s.
func TestKeysOutlastAnOutageAfterAnInstanceIsGone(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	value, err := proto.Marshal(&schema.InstanceRow{
		Name:    "gone",
		Address: freeAddress(c),
	})
	c.Assert(err, qt.IsNil)
	k.put("gateway-instances", "gone", string(value))
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.start("n0")
	k.start("n1")
	k.waitServing("n0")
	k.waitServing("n1")
	eventually(func() bool { return len(k.instanceRows()) == 2 })
	result := retryIfStalled(func() string {
		k.waitServing("n0")
		// Let the coordinator see the removal before the outage.
		time.Sleep(500 * time.Millisecond)
		k.store.SetDown(true)
		defer k.store.SetDown(false)
		// Longer than a grant, and than the coordinator's authority without acknowledgements.
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if status, text, _ := k.send("n0", http.MethodGet, "/read/x", 7, ""); status != http.StatusOK {
				return fmt.Sprintf("status %d: %s", status, text)
			}
		}
		return ""
	})
	c.Check(result, qt.Equals, "")
}

// TestInstanceWhoseRowWasRemovedRegistersAgain covers an instance that was out of reach for so long that the coordinator removed
// its row, and then returns.
func TestInstanceWhoseRowWasRemovedRegistersAgain(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.waitServing("n0")
	k.waitServing("n1")
	removed := "n0"
	if k.coordinator() == removed {
		removed = "n1"
	}
	_, err := k.store.Commit(context.Background(), cuminlift.RowTransaction{
		Remove: []cuminlift.Row{{
			Table: "gateway-instances",
			Key:   removed,
		}},
	})
	c.Assert(err, qt.IsNil)
	eventually(func() bool { return len(k.instanceRows()) == 2 })
	k.waitServing(removed)
}
