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

// balancer sends callers to the instances that say they are ready, as of its last look.
type balancer struct {
	mutex   sync.Mutex
	targets []string
}

// balancerPeriod is how often the balancer looks.
const balancerPeriod = 100 * time.Millisecond

func (b *balancer) set(targets []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.targets = targets
}

func (b *balancer) pick(n int) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.targets[n%len(b.targets)]
}

// look keeps the list of ready instances until ctx ends. instances returns the callers' addresses to look at.
func (b *balancer) look(ctx context.Context, instances func() []string) {
	client := &http.Client{
		Timeout: balancerPeriod,
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
		time.Sleep(balancerPeriod)
	}
}

// stopRun is a cluster whose instances are replaced one after the other.
type stopRun struct {
	cluster  *tryout.Cluster
	mutex    sync.Mutex
	current  []*tryout.Instance
	balancer *balancer
}

func (r *stopRun) addresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := make([]string, 0, len(r.current))
	for _, i := range r.current {
		addresses = append(addresses, i.Daemon.CallerAddress())
	}
	return addresses
}

// replace stops the instance at index gracefully and starts another in its place.
func (r *stopRun) replace(index int) error {
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
		return len(next.Daemon.Status().GetServices()) == 3 && hasDocuments(next)
	})
	if !ok {
		return fmt.Errorf("%s has no documents 30 s after its start", next.Daemon.Self().GetName())
	}
	return nil
}

// hasDocuments reports whether the instance has the document of every service.
func hasDocuments(i *tryout.Instance) bool {
	for _, s := range i.Daemon.Status().GetServices() {
		if s.GetVersion() == 0 {
			return false
		}
	}
	return true
}

// PlannedStops replaces instances under load, and counts requests that were cut, got no answer or were refused.
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
	r := &stopRun{
		cluster:  cluster,
		current:  append([]*tryout.Instance(nil), cluster.Instances...),
		balancer: &balancer{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.balancer.set([]string{"http://" + cluster.Instances[0].Daemon.CallerAddress()})
	go r.balancer.look(ctx, r.addresses)
	time.Sleep(3 * balancerPeriod)
	err = r.underLoad(t, "rolling replacement", rounds, func() error {
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
	return t, r.underLoad(t, "zone out and back", 0, func() error { return r.zoneOutAndBack() })
}

// underLoad sends mixed traffic while work goes on.
func (r *stopRun) underLoad(t *Table, what string, stops int, work func() error) error {
	config := r.traffic()
	stop := make(chan struct{})
	config.Stop = stop
	results := make(chan []*traffic.Result, 1)
	go func() { results <- traffic.Run(context.Background(), config) }()
	err := work()
	time.Sleep(time.Second)
	close(stop)
	for _, one := range <-results {
		lost, refused := 0, 0
		for outcome, n := range one.Outcomes {
			switch {
			case outcome == "cut":
				lost += n
			case strings.HasPrefix(outcome, "no-answer"):
				lost += n
			case strings.HasPrefix(outcome, "5") || strings.HasPrefix(outcome, "409"):
				refused += n
			}
		}
		t.Add(what, stops, one.Kind, one.Sent, one.SuccessCount(), lost, refused, milliseconds(one.Quantile(50)), milliseconds(one.Quantile(99)),
			milliseconds(one.LongestGap))
	}
	return err
}

func (r *stopRun) traffic() traffic.Config {
	return traffic.Config{
		PickTarget: r.balancer.pick,
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

func (r *stopRun) zoneOutAndBack() error {
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
