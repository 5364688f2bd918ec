package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/internal/standin/rowstore"
	"cuminlift/platform"
)

// servedBy returns which upstream served a read through instance, "" for none.
func (k *cluster) servedBy(instance string, key int) string {
	status, text, _ := k.send(instance, http.MethodGet, "/read/x", key, "")
	if status != http.StatusOK {
		return ""
	}
	id, _, _ := strings.Cut(text, " ")
	return id
}

// TestOlderStateIsUsedAfterTheStoreCameBackOlder guards against an upstream that has left, a zone that is taken out and a
// configuration that is replaced, all in use again because the store has come back from a copy of before.
func TestOlderStateIsUsedAfterTheStoreCameBackOlder(t *testing.T) {
	playOlderCopy(qt.New(t), &forgetfulStore{}, 3)
}

// TestOlderStateIsUsedAfterSecondReadOfAnOlderCopy guards against the same when an instance reads the whole tables of the copy more than
// once, here because the store has no history. The store's copy may lose an entry between two reads.
func TestOlderStateIsUsedAfterSecondReadOfAnOlderCopy(t *testing.T) {
	playOlderCopy(qt.New(t), &forgetfulStore{
		forgetsFrom: 1,
	}, 1)
}

// forgetfulStore has no history from the era forgetsFrom on, 0 for never.
type forgetfulStore struct {
	*rowstore.Store
	forgetsFrom uint64
}

// Changes implements cuminlift.RowStore.
func (s *forgetfulStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	page, err := s.Store.Changes(ctx, table, after, wait)
	if err == nil && s.forgetsFrom != 0 && page.Era >= s.forgetsFrom {
		return cuminlift.RowPage{}, &cuminlift.CompactedError{
			After: after,
		}
	}
	return page, err
}

// playOlderCopy plays a store that comes back from an older copy with a number of instances, and checks which upstreams they use.
func playOlderCopy(c *qt.C, store *forgetfulStore, instances int) {
	k := newCluster(c, 0)
	store.Store = k.store
	k.rows = store
	for i := range instances {
		k.start(fmt.Sprint("n", i))
	}
	k.configure(1, "keyed")
	for _, id := range []string{"stays", "leaves"} {
		k.upstream(id, "plain", "z1")
	}
	k.upstream("out", "plain", "z2")
	k.upstream("k0", "keyed", "z1")
	for name := range k.instances {
		k.waitServing(name)
	}
	copied := k.store.Copy()
	// After the copy: the reads go to the plain service, an upstream leaves, one joins, and a zone is taken out.
	k.configure(2, "plain")
	k.remove("servers", "leaves")
	k.put("op", "evacuate/z2", "{}")
	k.upstream("joins", "plain", "z1")
	allowed := map[string]bool{
		"stays": true,
		"joins": true,
	}
	for name := range k.instances {
		for served := map[string]bool{}; len(served) < len(allowed); {
			if id := k.servedBy(name, 0); allowed[id] {
				served[id] = true
			}
		}
	}
	used := func() []string {
		var wrong []string
		for name := range k.instances {
			if id := k.servedBy(name, 0); id != "" && !allowed[id] {
				wrong = append(wrong, name+" uses "+id)
			}
		}
		return wrong
	}
	k.store.Restore(copied)
	// Until the operator and the upstreams write again.
	for start := time.Now(); time.Since(start) < 2*time.Second; {
		c.Assert(used(), qt.HasLen, 0)
	}
	k.configure(2, "plain")
	k.put("op", "evacuate/z2", "{}")
	k.register("joins", "plain", "z1", "ready")
	k.remove("servers", "leaves")
	for start := time.Now(); time.Since(start) < 3*time.Second; {
		c.Assert(used(), qt.HasLen, 0)
	}
	// What is written from now on is in force as ever.
	k.remove("op", "evacuate/z2")
	allowed["out"] = true
	for name := range k.instances {
		eventually(func() bool { return k.servedBy(name, 0) == "out" })
	}
}

// TestKeyHasTwoOwnersAfterTheStoreCameBackOlder guards against two holders of a key after the store has lost the last assignments and
// the lease, with the coordinator alive and with another one.
func TestKeyHasTwoOwnersAfterTheStoreCameBackOlder(t *testing.T) {
	for _, survives := range []bool{true, false} {
		c := qt.New(t)
		k := newCluster(c, 3)
		k.configure(1, "keyed")
		for i := range 2 {
			k.upstream(fmt.Sprint("k", i), "keyed", "z1")
		}
		for name := range k.instances {
			k.waitServing(name)
		}
		copied := k.store.Copy()
		// After the copy the lease changes hands, and keys move to an upstream that joins.
		stopped := k.coordinator()
		k.stop(stopped)
		k.start(stopped)
		joins := k.upstream("k2", "keyed", "z1")
		eventually(func() bool {
			for name := range k.instances {
				for key := 0; key < platform.KeyCount; key += 4096 {
					k.servedBy(name, key)
				}
			}
			return len(joins.RunCounts()) > 0
		})
		// A second copy of the store replaces the first.
		k.store.Restore(copied)
		k.register("k2", "keyed", "z1", "ready")
		k.store.Restore(copied)
		if !survives {
			for name := range k.instances {
				if name != stopped {
					k.stop(name)
				}
			}
		}
		k.register("k2", "keyed", "z1", "ready")
		for start := time.Now(); time.Since(start) < 6*time.Second; time.Sleep(5 * time.Millisecond) {
			for key := uint32(0); key < platform.KeyCount; key += 1000 {
				holders := 0
				for _, u := range k.upstreams {
					if u.HoldsKey(key) {
						holders++
					}
				}
				c.Assert(holders <= 1, qt.IsTrue, qt.Commentf("key %d has %d holders, coordinator survives %v", key, holders, survives))
			}
		}
		for name := range k.instances {
			k.waitServing(name)
		}
	}
}
