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
	"cuminlift/internal/standin/loopback"
	"cuminlift/internal/standin/rowstore"
	"cuminlift/io/clock"
	"cuminlift/platform"
)

// cluster runs instances in one process over loopback, with in-memory fakes of the store and the upstreams.
type cluster struct {
	c     *qt.C
	store *rowstore.Store
	// rows is the store given to instances that are started from now on.
	rows         cuminlift.RowStore
	instances    map[string]*instance
	upstreams    map[string]*keyholder.Upstream
	paths        map[string]*paths
	requestCount int
	// adjust changes the settings of instances that are started from now on, nil for none.
	adjust func(*gateway.Settings)
	// log receives the log lines of instances that are started from now on, nil for the default.
	log io.Writer
}

type instance struct {
	settings gateway.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

// readAhead and memoryBytes are the settings of instances that are started from now on.
var (
	readAhead   bool
	memoryBytes int64
)

func newCluster(c *qt.C, instances int) *cluster {
	k := &cluster{
		c:         c,
		store:     rowstore.New(),
		instances: map[string]*instance{},
		upstreams: map[string]*keyholder.Upstream{},
		paths:     map[string]*paths{},
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

func freeAddress(c *qt.C) string {
	address, err := loopback.UnusedAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func (k *cluster) start(name string) { k.startWithMetrics(name, "") }

// startWithMetrics starts an instance that serves metrics at address.
func (k *cluster) startWithMetrics(name, address string) {
	settings := gateway.Settings{
		Name:             name,
		Zone:             "z1",
		FrontAddress:     freeAddress(k.c),
		ReadyAddress:     freeAddress(k.c),
		PeerAddress:      freeAddress(k.c),
		RelayAddress:     freeAddress(k.c),
		MetricsAddress:   address,
		StoreAddress:     "unused",
		MaxGrantDuration: 10 * time.Second,
		ShutdownTimeout:  2 * time.Second,
		RetryRatio:       0.2,
		RetryWindow:      10 * time.Second,
		RetrySlack:       58,
		ReadAhead:        readAhead,
		MemoryBytes:      memoryBytes,
	}
	if k.adjust != nil {
		k.adjust(&settings)
	}
	if k.paths[name] == nil {
		k.paths[name] = &paths{}
	}
	g, err := gateway.New(gateway.Config{
		Settings:         settings,
		Store:            k.rows,
		Registry:         platform.RowRegistry{},
		KeyClient:        platform.NewKeyClient(k.paths[name].client()),
		DialUpstream:     k.paths[name].dial,
		Clock:            clock.NewBootClock(),
		Headers:          platform.Headers(),
		KeyCount:         platform.KeyCount,
		ReadyPath:        platform.ReadyPath,
		RetryAfterHeader: platform.RetryAfterHeader,
		ParseLoad:        platform.ParseLoad,
		ParseLimit:       platform.ParseLimit,
		ParsePause:       platform.ParsePause,
		ParseLeaving:     platform.ParseLeaving,
		ProbeClient:      k.paths[name].client(),
		Log:              k.logWriter(),
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

func (k *cluster) remove(table, key string) {
	_, err := k.store.Commit(context.Background(), cuminlift.RowTransaction{
		Remove: []cuminlift.Row{{
			Table: table,
			Key:   key,
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

// registerPlain registers an upstream of service "plain" that is not among the cluster's.
func (k *cluster) registerPlain(id, address string, slots int) {
	k.put("servers", id, fmt.Sprintf(`{"service":"plain","addr":%q,"zone":"z1","slots":%d,"state":"ready","warmup_left":"0ms","born":1}`,
		address, slots))
}

// send sends a request to an instance and returns status, body and Retry-After header.
func (k *cluster) send(instance, method, path string, key int, body string) (status int, text, retryAfter string) {
	k.requestCount++
	return k.sendWithID(instance, method, path, key, body, fmt.Sprint("request-", k.requestCount))
}

func (k *cluster) sendWithID(instance, method, path string, key int, body, requestID string) (status int, text, retryAfter string) {
	request, err := http.NewRequest(method, "http://"+k.instances[instance].settings.FrontAddress+path, strings.NewReader(body))
	k.c.Assert(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", requestID)
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

// eventually polls until condition holds; only the test's timeout bounds it.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

// maxStall is a stall of the test process that is too short to expire leases or heartbeats, of which the shortest lasts 600 ms.
const maxStall = 250 * time.Millisecond

// retryIfStalled calls run until the process did not stall meanwhile, and returns that call's result. A run with a stall says
// nothing about the program, whether it passed or failed.
func retryIfStalled(run func() string) string {
	for {
		stop := make(chan struct{})
		longest := make(chan time.Duration)
		go func() {
			longestStall := time.Duration(0)
			for last := time.Now(); ; {
				select {
				case <-stop:
					longest <- max(longestStall, time.Since(last))
					return
				case <-time.After(10 * time.Millisecond):
				}
				longestStall = max(longestStall, time.Since(last))
				last = time.Now()
			}
		}()
		result := run()
		close(stop)
		if <-longest < maxStall {
			return result
		}
	}
}

// waitServing waits until instance serves reads of keys spread over the key space.
func (k *cluster) waitServing(instance string) {
	for key := 0; key < platform.KeyCount; key += platform.KeyCount / 16 {
		eventually(func() bool {
			status, _, _ := k.send(instance, http.MethodGet, "/read/x", key, "")
			return status == http.StatusOK
		})
	}
}

func TestRequestWithoutConfigurationIsRefused(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	eventually(func() bool {
		status, _, retryAfter := k.send("n0", http.MethodGet, "/read/x", 0, "")
		if status == 0 {
			return false // Not listening yet.
		}
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(retryAfter, qt.Not(qt.Equals), "")
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
		k.waitServing(name)
	}
	status, text, _ := k.sendWithID("n0", http.MethodPost, "/order/x", 0, "one", "order-1")
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(text, qt.Equals, "p0 for order-1")
	c.Check(plain.RunCounts()["order-1"], qt.Equals, 1)
	status, _, _ = k.send("n1", http.MethodGet, "/nowhere/", 0, "")
	c.Check(status, qt.Equals, http.StatusNotFound)
	status, _, _ = k.send("n1", http.MethodPost, "/order/x", 0, strings.Repeat("b", 101))
	c.Check(status, qt.Equals, http.StatusRequestEntityTooLarge)
	result := retryIfStalled(func() string {
		k.waitServing("n0")
		for key := uint32(0); key < platform.KeyCount; key += 1000 {
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
	c.Check(result, qt.Equals, "")
}

func TestKeysAreServedAfterTheCoordinatorIsReplaced(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 3)
	k.configure(1, "keyed")
	for i := range 3 {
		k.upstream(fmt.Sprint("k", i), "keyed", "z1")
	}
	k.waitServing("n0")
	for range 2 {
		holder := k.coordinator()
		k.stop(holder)
		k.start(holder)
		for name := range k.instances {
			k.waitServing(name)
		}
	}
	for _, u := range k.upstreams {
		for name, runs := range u.RunCounts() {
			c.Check(runs, qt.Equals, 1, qt.Commentf("%s", name))
		}
	}
}

// coordinator returns the name of the instance that holds the lease.
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

// TestLateAssignmentWriteCausesOnlyAnElection applies a write of a former coordinator after it was replaced. The current
// coordinator's next write then finds an unexpected version: it must neither continue with its own assignment nor stay
// without one.
func TestLateAssignmentWriteCausesOnlyAnElection(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.waitServing("n0")
	page, err := k.store.Rows(context.Background(), "gateway-assignment", "keyed")
	c.Assert(err, qt.IsNil)
	c.Assert(page.Rows, qt.HasLen, 1)
	_, err = k.store.Commit(context.Background(), cuminlift.RowTransaction{
		Put: page.Rows,
	})
	c.Assert(err, qt.IsNil)
	// A new upstream makes the coordinator write the assignment.
	k.upstream("k1", "keyed", "z1")
	eventually(func() bool {
		for key := 0; key < platform.KeyCount; key += platform.KeyCount / 16 {
			if _, text, _ := k.send("n1", http.MethodGet, "/read/x", key, ""); strings.HasPrefix(text, "k1") {
				return true
			}
		}
		return false
	})
	for name := range k.instances {
		k.waitServing(name)
	}
}

func TestKeysAreServedDuringStoreOutage(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 3)
	k.configure(1, "keyed")
	for i := range 2 {
		k.upstream(fmt.Sprint("k", i), "keyed", "z1")
	}
	for name := range k.instances {
		k.waitServing(name)
	}
	result := retryIfStalled(func() string {
		k.store.SetDown(false)
		for name := range k.instances {
			k.waitServing(name)
		}
		k.store.SetDown(true)
		// Longer than any grant or lease is valid.
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
	c.Check(result, qt.Equals, "0 refused")
	k.store.SetDown(false)
	k.configure(2, "plain")
	k.upstream("p0", "plain", "z1")
	eventually(func() bool {
		_, text, _ := k.send("n2", http.MethodGet, "/read/x", 77, "")
		return strings.HasPrefix(text, "p0")
	})
}

func TestLostRepliesAndDroppedHistoryAreTolerated(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.waitServing("n0")
	k.store.SetLoseReplies(true)
	k.putWithoutReply("servers", "k1")
	k.store.SetLoseReplies(false)
	k.store.TruncateHistory()
	k.upstream("k2", "keyed", "z1")
	eventually(func() bool {
		return k.upstreams["k2"].HoldsKey(platform.KeyCount-1) || len(k.upstreams["k2"].RunCounts()) > 0 || k.holdsAny("k2")
	})
	k.waitServing("n1")
}

// putWithoutReply writes a row while the store loses its replies.
func (k *cluster) putWithoutReply(table, key string) {
	_, err := k.store.Commit(context.Background(), cuminlift.RowTransaction{
		Put: []cuminlift.Row{{
			Table: table,
			Key:   key,
			Value: []byte("no entry"),
		}},
	})
	k.c.Assert(err, qt.Equals, rowstore.ErrUnavailable)
}

func (k *cluster) holdsAny(id string) bool {
	for key := uint32(0); key < platform.KeyCount; key += 64 {
		if k.upstreams[id].HoldsKey(key) {
			return true
		}
	}
	return false
}

func TestDrainingUpstreamAndEvacuatedZoneLoseTheirKeys(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.upstream("k1", "keyed", "z2")
	k.upstream("k2", "keyed", "z3")
	k.waitServing("n0")
	k.register("k0", "keyed", "z1", "draining")
	k.put("op", "evacuate/z2", "{}")
	eventually(func() bool { return !k.holdsAny("k0") && !k.holdsAny("k1") })
	for key := 0; key < platform.KeyCount; key += 4096 {
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

func TestShutdownFinishesRequestsInProgress(t *testing.T) {
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
			status, _, _ := k.sendWithID("n0", http.MethodPost, "/order/x", 0, "", fmt.Sprint("last-", i))
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
	address := freeAddress(c)
	k.startWithMetrics("n0", address)
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

// testLog returns the log output of instances: standard error if CUMINLIFT_TEST_LOG is set, else none.
func (k *cluster) logWriter() io.Writer {
	if k.log != nil {
		return k.log
	}
	return testLog()
}

func testLog() io.Writer {
	if os.Getenv("CUMINLIFT_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}
