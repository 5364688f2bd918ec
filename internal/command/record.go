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

// RecordCommand records a trace of the whole path on loopback while something goes wrong.
type RecordCommand struct {
	Scenario string `arg:"" enum:"upstream-killed,upstream-frozen,platform-down,zone-out-and-back,instance-stopped" help:"What happens."`
	Out      string `help:"Folder for the trace." default:"testdata/traces"`
}

const (
	recordBefore = 500 * time.Millisecond
	recordAfter  = 2500 * time.Millisecond
)

// Run implements the command.
func (c *RecordCommand) Run(e *Environment) error {
	folder, remove, err := tryout.TemporaryFolder()
	if err != nil {
		return err
	}
	defer remove()
	cluster, err := tryout.Start(recordConfig(folder))
	if err != nil {
		return err
	}
	defer cluster.Close()
	if _, err := cluster.ApplyEstate(e.Context, examples.Seminars); err != nil {
		return err
	}
	if !tryout.WaitUntil(30*time.Second, func() bool { return cluster.AllUpstreamsUsable(3) }) {
		return fmt.Errorf("not all upstreams are usable after 30 s")
	}
	results := make(chan []*traffic.Result, 1)
	go func() { results <- traffic.Run(e.Context, recordTraffic(cluster)) }()
	time.Sleep(recordBefore)
	if err := c.act(e, cluster); err != nil {
		return err
	}
	traffic.PrintResults(e.Out, <-results)
	for _, i := range cluster.Instances {
		if err := i.Stop(); err != nil {
			return err
		}
	}
	return c.write(e, cluster)
}

func recordConfig(folder string) tryout.Config {
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

func recordTraffic(cluster *tryout.Cluster) traffic.Config {
	config := mixedTraffic(cluster, recordBefore+recordAfter, 1)
	config.Targets = config.Targets[:1]
	for i := range config.Kinds {
		config.Kinds[i].Rate = 10
	}
	return config
}

// act makes happen what the scenario says.
func (c *RecordCommand) act(e *Environment, cluster *tryout.Cluster) error {
	switch c.Scenario {
	case "upstream-killed":
		cluster.Upstreams["calendar-2"].Close()
	case "upstream-frozen":
		frozen := cluster.Upstreams["calendar-1"]
		frozen.SetFaults(&schema.UpstreamFaults{
			Frozen: true,
		})
		time.AfterFunc(recordAfter*3/4, func() { frozen.SetFaults(&schema.UpstreamFaults{}) })
	case "platform-down":
		cluster.Platform.SetFaults(&schema.PlatformFaults{
			Down: true,
		})
		time.AfterFunc(recordAfter*3/4, func() { cluster.Platform.SetFaults(&schema.PlatformFaults{}) })
	case "instance-stopped":
		go func() { _ = cluster.Instances[1].Stop() }()
	case "zone-out-and-back":
		return c.zone(e, cluster)
	}
	return nil
}

func (c *RecordCommand) zone(e *Environment, cluster *tryout.Cluster) error {
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
	time.Sleep(recordAfter / 2)
	_, err = client.Change(e.Context, &schema.ChangeRequest{
		In:     zone,
		Reason: "record",
	})
	return err
}

func (c *RecordCommand) write(e *Environment, cluster *tryout.Cluster) error {
	lines, err := cluster.MergedTrace()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("make folder for traces: %w", err)
	}
	name := filepath.Join(c.Out, c.Scenario+".trace")
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	defer file.Close()
	for _, line := range lines {
		if err := trace.Write(file, line); err != nil {
			return err
		}
	}
	fmt.Fprintf(e.Out, "%s: %d lines\n", name, len(lines))
	return nil
}
