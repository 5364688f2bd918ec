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

// TryoutCommand runs the whole path in one process.
type TryoutCommand struct {
	Estate    string        `help:"Estate text; the built-in one of the seminars if empty."`
	Instances int           `help:"Instances in each of three zones." default:"3"`
	Stage     time.Duration `help:"Length of each of the three stages." default:"5s"`
	Verbose   bool          `help:"Show the instances' logs."`
}

// Help returns examples.
func (c *TryoutCommand) Help() string {
	return "Starts a platform, 32 upstreams and nine instances on loopback, sends mixed traffic, takes a zone out and back, and prints what callers saw."
}

// seminarUpstreams are the sizes of today.
func seminarUpstreams() []tryout.Upstreams {
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
		Upstreams: seminarUpstreams(),
	}
	if c.Verbose {
		config.LogWriter = e.Errors
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
	if err := c.apply(e, cluster); err != nil {
		return err
	}
	began := time.Now()
	if !tryout.WaitUntil(30*time.Second, func() bool { return cluster.AllUpstreamsUsable(3) }) {
		return fmt.Errorf("not all upstreams are usable after 30 s: run again with --verbose")
	}
	fmt.Fprintf(e.Out, "all %d upstreams are owned and usable after %v\n", len(cluster.Upstreams), time.Since(began).Round(time.Millisecond))
	if err := c.stages(e, cluster, client); err != nil {
		return err
	}
	return checkUpstreams(e, cluster)
}

func (c *TryoutCommand) apply(e *Environment, cluster *tryout.Cluster) error {
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
	fmt.Fprintf(e.Out, "estate accepted as version %d\n", reply.GetVersion())
	return nil
}

func (c *TryoutCommand) stages(e *Environment, cluster *tryout.Cluster, client *operator.Client) error {
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
			title: "zone-b is taken out",
			request: &schema.ChangeRequest{
				Out:    zone,
				Reason: "try-out",
			},
		},
		{
			title: "zone-b is taken back",
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
		fmt.Fprintf(e.Out, "\n%s:\n", stage.title)
		traffic.PrintResults(e.Out, traffic.Run(e.Context, mixedTraffic(cluster, c.Stage, uint64(i))))
	}
	return nil
}

// mixedTraffic is checks, registrations and downloads to all instances in turn.
func mixedTraffic(cluster *tryout.Cluster, length time.Duration, seed uint64) traffic.Config {
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

// checkUpstreams prints what the upstreams counted, and fails where a promise was broken.
func checkUpstreams(e *Environment, cluster *tryout.Cluster) error {
	var served, refused, repeated, unowned uint64
	var most uint32
	for _, u := range cluster.Upstreams {
		load := u.Counters()
		served += load.GetServed()
		refused += load.GetRefused()
		repeated += load.GetRepeatedRuns()
		unowned += load.GetUnowned()
		most = max(most, load.GetMostRunning())
	}
	fmt.Fprintf(e.Out, "\nupstreams: served %d, most at a time on one %d, sent over its slots %d, for a key it did not own %d, registrations run twice %d\n",
		served, most, refused, unowned, repeated)
	if repeated > 0 {
		return fmt.Errorf("%d registrations ran twice: this breaks a promise, report it", repeated)
	}
	return nil
}
