package measure

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cuminlift/internal/traffic"
	"cuminlift/internal/tryout"
	"cuminlift/schema"
)

// loadBalancer distributes requests over the instances that were ready at its last health check.
type loadBalancer struct {
	mutex   sync.Mutex
	targets []string
}

// readinessPeriod is the interval and the timeout of the load balancer's health checks.
const readinessPeriod = 100 * time.Millisecond

func (b *loadBalancer) set(targets []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.targets = targets
}

func (b *loadBalancer) pick(n int) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.targets[n%len(b.targets)]
}

// pollReadiness updates the list of ready instances until ctx ends. instances returns the addresses to check. The last
// list stays if no instance is ready.
func (b *loadBalancer) pollReadiness(ctx context.Context, instances func() []string) {
	client := &http.Client{
		Timeout: readinessPeriod,
	}
	for ctx.Err() == nil {
		var ready []string
		for _, address := range instances() {
			response, err := client.Get("http://" + address + "/cuminlift/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, "http://"+address)
			}
		}
		if len(ready) > 0 {
			b.set(ready)
		}
		time.Sleep(readinessPeriod)
	}
}

// stopExperiment is a cluster whose instances are restarted one after the other behind a load balancer.
type stopExperiment struct {
	cluster      *tryout.Cluster
	mutex        sync.Mutex
	current      []*tryout.Instance
	loadBalancer *loadBalancer
}

func (r *stopExperiment) addresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := make([]string, 0, len(r.current))
	for _, i := range r.current {
		addresses = append(addresses, i.Daemon.Callers())
	}
	return addresses
}

// replace stops the instance at index gracefully, starts another at the same addresses and waits until it has the
// ownership document of every service.
func (r *stopExperiment) replace(index int) error {
	r.mutex.Lock()
	old := r.current[index]
	r.mutex.Unlock()
	if err := old.Stop(); err != nil {
		return err
	}
	next, err := r.cluster.Restart(old)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	r.current[index] = next
	r.mutex.Unlock()
	ok := tryout.WaitUntil(30*time.Second, func() bool {
		return len(next.Daemon.Status().GetServices()) == 3 && hasOwnershipDocuments(next)
	})
	if !ok {
		return fmt.Errorf("%s has no ownership documents 30 s after its start", next.Daemon.Self().GetName())
	}
	return nil
}

// hasOwnershipDocuments reports whether the instance has the ownership document of every service.
func hasOwnershipDocuments(i *tryout.Instance) bool {
	for _, s := range i.Daemon.Status().GetServices() {
		if s.GetVersion() == 0 {
			return false
		}
	}
	return true
}

// PlannedStops restarts instances gracefully and takes a zone out of service and back under load. It counts the requests
// whose response was truncated or missing, and those that were refused.
func PlannedStops(folder string, rounds int) (*Table, error) {
	t := &Table{
		Name:    "stops",
		Columns: []string{"what", "stops", "kind", "sent", "good", "cut-or-no-answer", "refused", "p50-ms", "p99-ms", "longest-gap-ms"},
	}
	cluster, err := startCluster(folder+"/stops", 1)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	time.Sleep(4 * time.Second)
	r := &stopExperiment{
		cluster:      cluster,
		current:      append([]*tryout.Instance(nil), cluster.Instances...),
		loadBalancer: &loadBalancer{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.loadBalancer.set([]string{"http://" + cluster.Instances[0].Daemon.Callers()})
	go r.loadBalancer.pollReadiness(ctx, r.addresses)
	time.Sleep(3 * readinessPeriod)
	err = r.runUnderLoad(t, "rolling replacement", rounds, func() error {
		for n := range rounds {
			if err := r.replace(n % len(r.current)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return t, r.runUnderLoad(t, "zone out and back", 0, func() error { return r.excludeAndRestoreZone() })
}

// runUnderLoad sends mixed traffic while action runs and adds a row for each kind of request.
func (r *stopExperiment) runUnderLoad(t *Table, scenario string, stops int, action func() error) error {
	config := r.traffic()
	stop := make(chan struct{})
	config.Stop = stop
	results := make(chan []*traffic.Result, 1)
	go func() { results <- traffic.Run(context.Background(), config) }()
	err := action()
	time.Sleep(time.Second)
	close(stop)
	for _, result := range <-results {
		lost, refused := 0, 0
		for outcome, n := range result.Outcomes {
			switch {
			case outcome == "cut":
				lost += n
			case strings.HasPrefix(outcome, "no-answer"):
				lost += n
			case strings.HasPrefix(outcome, "5") || strings.HasPrefix(outcome, "409"):
				refused += n
			}
		}
		t.Add(scenario, stops, result.Kind, result.Sent, result.SuccessCount(), lost, refused, milliseconds(result.Quantile(50)), milliseconds(result.Quantile(99)),
			milliseconds(result.LongestGap))
	}
	return err
}

func (r *stopExperiment) traffic() traffic.Config {
	return traffic.Config{
		PickTarget: r.loadBalancer.pick,
		Duration:   time.Hour,
		Seed:       1,
		Timeout:    10 * time.Second,
		Kinds: []traffic.RequestKind{
			{
				Name:   "check",
				Method: http.MethodGet,
				Path:   "/calendar/seminar-%d",
				Keys:   10000,
				Rate:   200,
			},
			{
				Name:           "registration",
				Method:         http.MethodPost,
				Path:           "/registrations/seminar-%d",
				Keys:           10000,
				Rate:           40,
				IdempotencyKey: true,
			},
			{
				Name:   "download",
				Method: http.MethodGet,
				Path:   "/media/slides-%d?size=2000000",
				Keys:   1000,
				Rate:   10,
			},
		},
	}
}

// excludeAndRestoreZone takes zone-b out of service and returns it to service three seconds later.
func (r *stopExperiment) excludeAndRestoreZone() error {
	client, err := r.cluster.OperatorClientAt(r.current[0], "operator")
	if err != nil {
		return err
	}
	zone := &schema.Out{
		Kind: "zone",
		Name: "zone-b",
	}
	for _, request := range []*schema.ChangeRequest{
		{
			Out:    zone,
			Reason: "measure",
		},
		{
			In:     zone,
			Reason: "measure",
		},
	} {
		time.Sleep(3 * time.Second)
		reply, err := client.Change(context.Background(), request)
		if err != nil {
			return err
		}
		if reply.GetError() != "" {
			return fmt.Errorf("%s", reply.GetError())
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}
