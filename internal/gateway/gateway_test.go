package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/internal/gateway"
	"cuminlift/internal/standin/keyholder"
	"cuminlift/internal/standin/rowstore"
	"cuminlift/io/clock"
	"cuminlift/platform"
)

// cluster is a few instances in one process, over loopback, with stand-ins for store and upstreams.
type cluster struct {
	c     *qt.C
	store *rowstore.Store
	// rows is the store as the instances that are started next see it.
	rows      cuminlift.RowStore
	instances map[string]*instance
	upstreams map[string]*keyholder.Upstream
	names     int
}

type instance struct {
	settings gateway.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

func newCluster(c *qt.C, instances int) *cluster {
	k := &cluster{
		c:         c,
		store:     rowstore.New(),
		instances: map[string]*instance{},
		upstreams: map[string]*keyholder.Upstream{},
	}
	k.rows = k.store
	for i := range instances {
		k.start(fmt.Sprint("n", i))
	}
	c.Cleanup(func() {
		for name := range k.instances {
			k.stop(name)
		}
		for _, u := range k.upstreams {
			u.Stop()
		}
	})
	return k
}

func free(c *qt.C) string {
	address, err := keyholder.UnusedAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func (k *cluster) start(name string) { k.metrics(name, "") }

// metrics starts an instance that serves metrics at address.
func (k *cluster) metrics(name, address string) {
	settings := gateway.Settings{
		Name:           name,
		Zone:           "z1",
		FrontAddress:   free(k.c),
		ReadyAddress:   free(k.c),
		PeerAddress:    free(k.c),
		MetricsAddress: address,
		StoreAddress:   "unused",
		HoldLimit:      10 * time.Second,
		StopLimit:      2 * time.Second,
		RetryShare:     0.2,
		RetryWindow:    10 * time.Second,
		RetrySlack:     58,
	}
	g, err := gateway.New(gateway.Config{
		Settings:   settings,
		Store:      k.rows,
		Registry:   platform.Operator{},
		Keys:       platform.NewKeys(&http.Client{}),
		Clock:      clock.NewMachine(),
		Headers:    platform.Headers(),
		KeySpace:   platform.KeySpace,
		ReadyPath:  platform.ReadyPath,
		RetryAfter: platform.RetryAfter,
		ParseLoad:  platform.ParseLoad,
		Probe:      &http.Client{},
		Log:        testLog(),
	})
	k.c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{
		settings: settings,
		stop:     stop,
		done:     make(chan struct{}),
	}
	k.instances[name] = i
	go func() {
		defer close(i.done)
		k.c.Check(g.Run(ctx), qt.IsNil)
	}()
}

func (k *cluster) stop(name string) {
	i := k.instances[name]
	i.stop()
	<-i.done
	delete(k.instances, name)
}

func (k *cluster) put(table, key, value string) {
	_, err := k.store.Commit(context.Background(), cuminlift.RowTransaction{
		Put: []cuminlift.Row{{
			Table: table,
			Key:   key,
			Value: []byte(value),
		}},
	})
	k.c.Assert(err, qt.IsNil)
}

func (k *cluster) configure(version int, service string) {
	k.put("op", "config", fmt.Sprintf(`{"version":%d,"limits":{"max_body_bytes":100},
 "listeners":[{"host":"a.example","rules":[
  {"name":"read","kind":"idempotent","target_latency":"300ms","priority":2,"match":{"prefix":"/read/"},
   "action":{"service":%q,"timeout":"2s","max_attempts":3}},
  {"name":"order","kind":"non_idempotent","target_latency":"300ms","priority":1,"match":{"prefix":"/order/"},
   "action":{"service":"plain","timeout":"2s","max_attempts":3}}]}],
 "clusters":[{"name":"keyed","health_path":"/healthz","warmup":"0ms","warmup_per_s":100,"sharded":true,"warm":"1s"},
  {"name":"plain","health_path":"/healthz","warmup":"0ms","warmup_per_s":100}]}`, version, service))
}

func (k *cluster) upstream(id, service, zone string) *keyholder.Upstream {
	u := keyholder.Start(keyholder.Config{
		ID:          id,
		Keyed:       service == "keyed",
		ServiceTime: 2 * time.Millisecond,
	})
	k.upstreams[id] = u
	k.register(id, service, zone, "ready")
	return u
}

func (k *cluster) register(id, service, zone, state string) {
	k.put("servers", id, fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"slots":2,"state":%q,"warmup_left":"0ms","born":1}`,
		service, k.upstreams[id].Address(), zone, state))
}

// send sends a request to an instance and returns status, body and the time to come back after.
func (k *cluster) send(instance, method, path string, key int, body string) (status int, text, after string) {
	k.names++
	return k.sendNamed(instance, method, path, key, body, fmt.Sprint("request-", k.names))
}

func (k *cluster) sendNamed(instance, method, path string, key int, body, name string) (status int, text, after string) {
	request, err := http.NewRequest(method, "http://"+k.instances[instance].settings.FrontAddress+path, strings.NewReader(body))
	k.c.Assert(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", name)
	request.Header.Set("Deadline-Ms", "2000")
	request.Header.Set("Shard-Key", strconv.Itoa(key))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	k.c.Assert(err, qt.IsNil)
	return response.StatusCode, string(data), response.Header.Get("Retry-After")
}

// eventually waits until done; the test's own limit is the only bound on time.
func eventually(done func() bool) {
	for !done() {
		time.Sleep(10 * time.Millisecond)
	}
}

// stallMost is the longest stall of the test process that leaves leases and heartbeats alone: the shortest of them is 600 ms.
const stallMost = 250 * time.Millisecond

// undisturbed plays a part of a test and returns what it found, in a run in which the machine did not stand still: one in which it did
// shows nothing of the program, whatever it found, and is played again from the start.
func undisturbed(play func() string) string {
	for {
		stop := make(chan struct{})
		longest := make(chan time.Duration)
		go func() {
			most := time.Duration(0)
			for last := time.Now(); ; {
				select {
				case <-stop:
					longest <- max(most, time.Since(last))
					return
				case <-time.After(10 * time.Millisecond):
				}
				most = max(most, time.Since(last))
				last = time.Now()
			}
		}()
		found := play()
		close(stop)
		if <-longest < stallMost {
			return found
		}
	}
}

// serves waits until instance answers a read of each of some keys.
func (k *cluster) serves(instance string) {
	for key := 0; key < platform.KeySpace; key += platform.KeySpace / 16 {
		eventually(func() bool {
			status, _, _ := k.send(instance, http.MethodGet, "/read/x", key, "")
			return status == http.StatusOK
		})
	}
}

func TestWithoutConfigurationItIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	eventually(func() bool {
		status, _, after := k.send("n0", http.MethodGet, "/read/x", 0, "")
		if status == 0 {
			return false // Not listening yet.
		}
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(after, qt.Not(qt.Equals), "")
		return true
	})
}

func TestCallersAreServedFromKeyedAndPlainUpstreams(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 3)
	k.configure(1, "keyed")
	for i := range 3 {
		k.upstream(fmt.Sprint("k", i), "keyed", "z1")
	}
	plain := k.upstream("p0", "plain", "z1")
	for name := range k.instances {
		k.serves(name)
	}
	status, text, _ := k.sendNamed("n0", http.MethodPost, "/order/x", 0, "one", "order-1")
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(text, qt.Equals, "p0 for order-1")
	c.Check(plain.RunCounts()["order-1"], qt.Equals, 1)
	status, _, _ = k.send("n1", http.MethodGet, "/nowhere/", 0, "")
	c.Check(status, qt.Equals, http.StatusNotFound)
	status, _, _ = k.send("n1", http.MethodPost, "/order/x", 0, strings.Repeat("b", 101))
	c.Check(status, qt.Equals, http.StatusRequestEntityTooLarge)
	found := undisturbed(func() string {
		k.serves("n0")
		for key := uint32(0); key < platform.KeySpace; key += 1000 {
			holders := 0
			for _, u := range k.upstreams {
				if u.HoldsKey(key) {
					holders++
				}
			}
			if holders != 1 {
				return fmt.Sprintf("key %d has %d holders", key, holders)
			}
		}
		return ""
	})
	c.Check(found, qt.Equals, "")
}

func TestKeysAreServedAfterTheCoordinatorIsReplaced(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 3)
	k.configure(1, "keyed")
	for i := range 3 {
		k.upstream(fmt.Sprint("k", i), "keyed", "z1")
	}
	k.serves("n0")
	for range 2 {
		holder := k.coordinator()
		k.stop(holder)
		k.start(holder)
		for name := range k.instances {
			k.serves(name)
		}
	}
	for _, u := range k.upstreams {
		for name, runs := range u.RunCounts() {
			c.Check(runs, qt.Equals, 1, qt.Commentf("%s", name))
		}
	}
}

// coordinator returns the name in the lease.
func (k *cluster) coordinator() string {
	page, err := k.store.Rows(context.Background(), "gateway-lease", "")
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(page.Rows, qt.HasLen, 1)
	for name := range k.instances {
		if strings.Contains(string(page.Rows[0].Value), name) {
			return name
		}
	}
	k.c.Fatal("the lease names no instance")
	return ""
}

// TestLateWriteOfAFormerCoordinatorCostsNoMoreThanAnElection lets a write of the assignment be carried out after its sender was replaced: the
// coordinator's next one finds another version than it knows, and must neither go on with its own view nor stay without one.
func TestLateWriteOfAFormerCoordinatorCostsNoMoreThanAnElection(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.serves("n0")
	page, err := k.store.Rows(context.Background(), "gateway-assignment", "keyed")
	c.Assert(err, qt.IsNil)
	c.Assert(page.Rows, qt.HasLen, 1)
	_, err = k.store.Commit(context.Background(), cuminlift.RowTransaction{
		Put: page.Rows,
	})
	c.Assert(err, qt.IsNil)
	// Another upstream makes the coordinator write.
	k.upstream("k1", "keyed", "z1")
	eventually(func() bool {
		for key := 0; key < platform.KeySpace; key += platform.KeySpace / 16 {
			if _, text, _ := k.send("n1", http.MethodGet, "/read/x", key, ""); strings.HasPrefix(text, "k1") {
				return true
			}
		}
		return false
	})
	for name := range k.instances {
		k.serves(name)
	}
}

func TestStoreAwayKeepsKeysServed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 3)
	k.configure(1, "keyed")
	for i := range 2 {
		k.upstream(fmt.Sprint("k", i), "keyed", "z1")
	}
	for name := range k.instances {
		k.serves(name)
	}
	found := undisturbed(func() string {
		k.store.SetDown(false)
		for name := range k.instances {
			k.serves(name)
		}
		k.store.SetDown(true)
		// Longer than any grant or lease lasts.
		refused := 0
		for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			for name := range k.instances {
				if status, _, _ := k.send(name, http.MethodGet, "/read/x", 77, ""); status != http.StatusOK {
					refused++
				}
			}
		}
		return fmt.Sprint(refused, " refused")
	})
	c.Check(found, qt.Equals, "0 refused")
	k.store.SetDown(false)
	k.configure(2, "plain")
	k.upstream("p0", "plain", "z1")
	eventually(func() bool {
		_, text, _ := k.send("n2", http.MethodGet, "/read/x", 77, "")
		return strings.HasPrefix(text, "p0")
	})
}

func TestLostAnswersAndForgottenHistoryChangeNothing(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.serves("n0")
	k.store.SetLoseReplies(true)
	k.putLost("servers", "k1")
	k.store.SetLoseReplies(false)
	k.store.TruncateHistory()
	k.upstream("k2", "keyed", "z1")
	eventually(func() bool {
		return k.upstreams["k2"].HoldsKey(platform.KeySpace-1) || len(k.upstreams["k2"].RunCounts()) > 0 || k.anyHeld("k2")
	})
	k.serves("n1")
}

// putLost writes a row whose answer is lost.
func (k *cluster) putLost(table, key string) {
	_, err := k.store.Commit(context.Background(), cuminlift.RowTransaction{
		Put: []cuminlift.Row{{
			Table: table,
			Key:   key,
			Value: []byte("no entry"),
		}},
	})
	k.c.Assert(err, qt.Equals, rowstore.ErrUnavailable)
}

func (k *cluster) anyHeld(id string) bool {
	for key := uint32(0); key < platform.KeySpace; key += 64 {
		if k.upstreams[id].HoldsKey(key) {
			return true
		}
	}
	return false
}

func TestDrainingUpstreamAndZoneThatIsOutGetNothingNew(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.upstream("k1", "keyed", "z2")
	k.upstream("k2", "keyed", "z3")
	k.serves("n0")
	k.register("k0", "keyed", "z1", "draining")
	k.put("op", "evacuate/z2", "{}")
	eventually(func() bool { return !k.anyHeld("k0") && !k.anyHeld("k1") })
	for key := 0; key < platform.KeySpace; key += 4096 {
		eventually(func() bool {
			status, text, _ := k.send("n1", http.MethodGet, "/read/x", key, "")
			return status == http.StatusOK && strings.HasPrefix(text, "k2")
		})
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.upstream("p0", "plain", "z1")
	k.configure(5, "plain")
	eventually(func() bool {
		status, _, _ := k.send("n0", http.MethodGet, "/read/x", 0, "")
		return status == http.StatusOK
	})
	k.configure(4, "keyed")
	k.put("op", "config", "{unreadable")
	for range 20 {
		status, _, _ := k.send("n0", http.MethodGet, "/read/x", 0, "")
		c.Check(status, qt.Equals, http.StatusOK)
		time.Sleep(5 * time.Millisecond)
	}
}

func TestPlannedStopFinishesWhatIsInProgress(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "plain")
	u := keyholder.Start(keyholder.Config{
		ID:          "p0",
		ServiceTime: 400 * time.Millisecond,
	})
	k.upstreams["p0"] = u
	k.register("p0", "plain", "z1", "ready")
	eventually(func() bool {
		status, _, _ := k.send("n0", http.MethodGet, "/read/x", 0, "")
		return status == http.StatusOK
	})
	var group sync.WaitGroup
	statuses := make(chan int, 2)
	for i := range 2 {
		group.Add(1)
		go func() {
			defer group.Done()
			status, _, _ := k.sendNamed("n0", http.MethodPost, "/order/x", 0, "", fmt.Sprint("last-", i))
			statuses <- status
		}()
	}
	eventually(func() bool { return u.RunCounts()["last-0"]+u.RunCounts()["last-1"] == 2 })
	k.stop("n0")
	group.Wait()
	c.Check(<-statuses, qt.Equals, http.StatusOK)
	c.Check(<-statuses, qt.Equals, http.StatusOK)
}

func TestMetricsAreServed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	address := free(c)
	k.metrics("n0", address)
	var got struct {
		Events map[string]int `json:"events"`
	}
	eventually(func() bool {
		response, err := http.Get("http://" + address)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return json.NewDecoder(response.Body).Decode(&got) == nil
	})
}

// testLog is where instances write: nowhere, or to standard error where CUMINLIFT_TEST_LOG is set.
func testLog() io.Writer {
	if os.Getenv("CUMINLIFT_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}
