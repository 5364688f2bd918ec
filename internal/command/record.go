package command

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cuminlift/core/trace"
	"cuminlift/examples"
	"cuminlift/internal/traffic"
	"cuminlift/internal/tryout"
	"cuminlift/schema"
)

// RecordCommand records a trace of a loopback cluster during a failure or operator action.
type RecordCommand struct {
	Scenario string `arg:"" enum:"upstream-killed,upstream-frozen,platform-down,zone-out-and-back,instance-stopped" help:"Failure or operator action to record."`
	Out      string `help:"Output folder for the trace." default:"testdata/traces"`
}

// Traffic runs for warmupDuration before the scenario starts and for observationDuration after that.
const (
	warmupDuration      = 500 * time.Millisecond
	observationDuration = 2500 * time.Millisecond
)

// Run implements the command.
func (c *RecordCommand) Run(e *Environment) error {
	folder, remove, err := tryout.TemporaryFolder()
	if err != nil {
		return err
	}
	defer remove()
	cluster, err := tryout.Start(scenarioConfig(folder))
	if err != nil {
		return err
	}
	defer cluster.Close()
	if _, err := cluster.ApplyEstate(e.Context, examples.Seminars); err != nil {
		return err
	}
	if !tryout.WaitUntil(30*time.Second, func() bool { return cluster.AllUpstreamsUsable(3) }) {
		return fmt.Errorf("timed out after 30 s waiting for all upstreams to become usable")
	}
	results := make(chan []*traffic.Result, 1)
	go func() { results <- traffic.Run(e.Context, scenarioTraffic(cluster)) }()
	time.Sleep(warmupDuration)
	if err := c.runScenario(e, cluster); err != nil {
		return err
	}
	traffic.PrintResults(e.Stdout, <-results)
	for _, i := range cluster.Instances {
		if err := i.Stop(); err != nil {
			return err
		}
	}
	return c.writeTrace(e, cluster)
}

func scenarioConfig(folder string) tryout.Config {
	return tryout.Config{
		Folder:       folder,
		Zones:        []string{"zone-a", "zone-b"},
		Instances:    1,
		RecordTraces: true,
		StopMs:       3000,
		Upstreams: []tryout.Upstreams{
			{
				Service: "calendar",
				Keyed:   true,
				Count:   3,
				Slots:   2,
				Work:    2 * time.Millisecond,
			},
			{
				Service: "registrations",
				Count:   2,
				Slots:   2,
				Work:    2 * time.Millisecond,
			},
			{
				Service: "media",
				Count:   2,
				Slots:   2,
				Work:    2 * time.Millisecond,
			},
		},
	}
}

func scenarioTraffic(cluster *tryout.Cluster) traffic.Config {
	config := mixedWorkload(cluster, warmupDuration+observationDuration, 1)
	config.Targets = config.Targets[:1]
	for i := range config.Kinds {
		config.Kinds[i].Rate = 10
	}
	return config
}

// runScenario triggers the failure or operator action of the selected scenario.
func (c *RecordCommand) runScenario(e *Environment, cluster *tryout.Cluster) error {
	switch c.Scenario {
	case "upstream-killed":
		cluster.Upstreams["calendar-2"].Close()
	case "upstream-frozen":
		frozen := cluster.Upstreams["calendar-1"]
		frozen.SetFaults(&schema.UpstreamFaults{
			Frozen: true,
		})
		time.AfterFunc(observationDuration*3/4, func() { frozen.SetFaults(&schema.UpstreamFaults{}) })
	case "platform-down":
		cluster.Platform.SetFaults(&schema.PlatformFaults{
			Down: true,
		})
		time.AfterFunc(observationDuration*3/4, func() { cluster.Platform.SetFaults(&schema.PlatformFaults{}) })
	case "instance-stopped":
		go func() { _ = cluster.Instances[1].Stop() }()
	case "zone-out-and-back":
		return c.takeZoneOutAndBack(e, cluster)
	}
	return nil
}

// takeZoneOutAndBack takes takeZoneOutAndBack-b out of service and returns it halfway through the observation.
func (c *RecordCommand) takeZoneOutAndBack(e *Environment, cluster *tryout.Cluster) error {
	client, err := cluster.OperatorClient("operator")
	if err != nil {
		return err
	}
	zone := &schema.Out{
		Kind: "zone",
		Name: "zone-b",
	}
	if _, err := client.Change(e.Context, &schema.ChangeRequest{
		Out:    zone,
		Reason: "record",
		Force:  true,
	}); err != nil {
		return err
	}
	time.Sleep(observationDuration / 2)
	_, err = client.Change(e.Context, &schema.ChangeRequest{
		In:     zone,
		Reason: "record",
	})
	return err
}

func (c *RecordCommand) writeTrace(e *Environment, cluster *tryout.Cluster) error {
	lines, err := cluster.MergedTrace()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("create trace folder: %w", err)
	}
	name := filepath.Join(c.Out, c.Scenario+".trace")
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create trace file: %w", err)
	}
	defer file.Close()
	for _, line := range lines {
		if err := trace.Write(file, line); err != nil {
			return err
		}
	}
	fmt.Fprintf(e.Stdout, "%s: %d lines\n", name, len(lines))
	return nil
}
