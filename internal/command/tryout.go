package command

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cuminlift/examples"
	"cuminlift/internal/traffic"
	"cuminlift/internal/tryout"
	"cuminlift/io/operator"
	"cuminlift/schema"
)

// TryoutCommand runs a complete cluster in one process and sends mixed traffic to it.
type TryoutCommand struct {
	Estate    string        `help:"Estate file; the built-in seminars example if empty."`
	Instances int           `help:"Number of instances in each of three zones." default:"3"`
	Stage     time.Duration `help:"Duration of each of the three stages." default:"5s"`
	Verbose   bool          `help:"Print the logs of the instances."`
}

// Help returns the detailed help text.
func (c *TryoutCommand) Help() string {
	return "Starts a platform, 32 upstreams and nine instances on loopback, sends mixed traffic, takes a zone out of service and returns it, and prints latency and outcomes as seen by callers."
}

// exampleUpstreams returns the upstreams of the seminars example at its current production size.
func exampleUpstreams() []tryout.Upstreams {
	return []tryout.Upstreams{
		{
			Service: "calendar",
			Keyed:   true,
			Count:   16,
			Slots:   2,
			Work:    3 * time.Millisecond,
			Connect: time.Millisecond,
			Cold:    time.Second,
		},
		{
			Service: "registrations",
			Count:   10,
			Slots:   2,
			Work:    4 * time.Millisecond,
			Connect: time.Millisecond,
			Cold:    time.Second,
		},
		{
			Service: "media",
			Count:   6,
			Slots:   2,
			Work:    10 * time.Millisecond,
			Connect: time.Millisecond,
			Cold:    time.Second,
		},
	}
}

// Run implements the command.
func (c *TryoutCommand) Run(e *Environment) error {
	folder, remove, err := tryout.TemporaryFolder()
	if err != nil {
		return err
	}
	defer remove()
	config := tryout.Config{
		Folder:    folder,
		Zones:     []string{"zone-a", "zone-b", "zone-c"},
		Instances: c.Instances,
		Upstreams: exampleUpstreams(),
	}
	if c.Verbose {
		config.LogWriter = e.Stderr
	}
	cluster, err := tryout.Start(config)
	if err != nil {
		return err
	}
	defer cluster.Close()
	client, err := cluster.OperatorClient("operator")
	if err != nil {
		return err
	}
	if err := c.applyEstate(e, cluster); err != nil {
		return err
	}
	start := time.Now()
	if !tryout.WaitUntil(30*time.Second, func() bool { return cluster.AllUpstreamsUsable(3) }) {
		return fmt.Errorf("timed out after 30 s waiting for all upstreams to become usable: use --verbose to see the logs of the instances")
	}
	fmt.Fprintf(e.Stdout, "all %d upstreams are owned and usable after %v\n", len(cluster.Upstreams), time.Since(start).Round(time.Millisecond))
	if err := c.runStages(e, cluster, client); err != nil {
		return err
	}
	return checkUpstreams(e, cluster)
}

func (c *TryoutCommand) applyEstate(e *Environment, cluster *tryout.Cluster) error {
	text := []byte(examples.Seminars)
	if c.Estate != "" {
		var err error
		if text, err = os.ReadFile(filepath.Clean(c.Estate)); err != nil {
			return err
		}
	}
	reply, err := cluster.ApplyEstate(e.Context, string(text))
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Stdout, "estate accepted as version %d\n", reply.GetVersion())
	return nil
}

func (c *TryoutCommand) runStages(e *Environment, cluster *tryout.Cluster, client *operator.Client) error {
	zone := &schema.Out{
		Kind: "zone",
		Name: "zone-b",
	}
	stages := []struct {
		title   string
		request *schema.ChangeRequest
	}{
		{
			title: "all zones in service",
		},
		{
			title: "zone-b is taken out of service",
			request: &schema.ChangeRequest{
				Out:    zone,
				Reason: "try-out",
			},
		},
		{
			title: "zone-b is returned to service",
			request: &schema.ChangeRequest{
				In:     zone,
				Reason: "try-out",
			},
		},
	}
	for i, stage := range stages {
		if stage.request != nil {
			reply, err := client.Change(e.Context, stage.request)
			if err != nil {
				return err
			}
			if reply.GetError() != "" {
				return fmt.Errorf("%s", reply.GetError())
			}
		}
		fmt.Fprintf(e.Stdout, "\n%s:\n", stage.title)
		traffic.PrintResults(e.Stdout, traffic.Run(e.Context, mixedWorkload(cluster, c.Stage, uint64(i))))
	}
	return nil
}

// mixedWorkload returns a workload of checks, registrations and downloads that is spread over all instances.
func mixedWorkload(cluster *tryout.Cluster, length time.Duration, seed uint64) traffic.Config {
	config := traffic.Config{
		Duration: length,
		Seed:     seed,
		Timeout:  10 * time.Second,
		Kinds: []traffic.RequestKind{
			{
				Name:   "check",
				Method: "GET",
				Path:   "/calendar/seminar-%d",
				Keys:   10000,
				Rate:   300,
			},
			{
				Name:           "registration",
				Method:         "POST",
				Path:           "/registrations/seminar-%d",
				Keys:           10000,
				Rate:           50,
				IdempotencyKey: true,
			},
			{
				Name:   "download",
				Method: "GET",
				Path:   "/media/slides-%d?size=100000",
				Keys:   1000,
				Rate:   20,
			},
		},
	}
	for _, i := range cluster.Instances {
		config.Targets = append(config.Targets, "http://"+i.Daemon.Callers())
	}
	return config
}

// checkUpstreams prints the totals of the upstreams' request counters. It returns an error if a registration ran more
// than once, which violates the at-most-once guarantee.
func checkUpstreams(e *Environment, cluster *tryout.Cluster) error {
	var served, refused, repeated, unowned uint64
	var maxRunning uint32
	for _, u := range cluster.Upstreams {
		counters := u.Counters()
		served += counters.GetServed()
		refused += counters.GetRefused()
		repeated += counters.GetRepeatedRuns()
		unowned += counters.GetUnowned()
		maxRunning = max(maxRunning, counters.GetMostRunning())
	}
	fmt.Fprintf(e.Stdout, "\nupstreams: served %d, max. concurrency of one upstream %d, refused for lack of slots %d, refused for keys not owned %d, registrations run more than once %d\n",
		served, maxRunning, refused, unowned, repeated)
	if repeated > 0 {
		return fmt.Errorf("%d registrations ran more than once: this violates the at-most-once guarantee, please report it", repeated)
	}
	return nil
}
