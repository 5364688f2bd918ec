package measure

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"cuminlift/examples"
	"cuminlift/internal/metrics"
	"cuminlift/internal/tryout"
	"cuminlift/schema"
)

// startCluster starts perZone instances in each of three zones with the upstreams of the example configuration, and
// waits until every upstream is usable.
func startCluster(folder string, perZone int) (*tryout.Cluster, error) {
	cluster, err := tryout.Start(tryout.Config{
		Folder:    folder,
		Zones:     []string{"zone-a", "zone-b", "zone-c"},
		Instances: perZone,
		Upstreams: []tryout.Upstreams{
			{
				Service: "calendar",
				Keyed:   true,
				Count:   16,
				Slots:   2,
				Work:    3 * time.Millisecond,
			},
			{
				Service: "registrations",
				Count:   10,
				Slots:   2,
				Work:    3 * time.Millisecond,
			},
			{
				Service: "media",
				Count:   6,
				Slots:   2,
				Work:    3 * time.Millisecond,
			},
		},
	})
	if err != nil {
		return nil, err
	}
	if _, err := cluster.ApplyEstate(context.Background(), examples.Seminars); err != nil {
		cluster.Close()
		return nil, err
	}
	if !tryout.WaitUntil(time.Minute, func() bool { return cluster.AllUpstreamsUsable(3) }) {
		cluster.Close()
		return nil, fmt.Errorf("%d instances did not become ready within a minute", 3*perZone)
	}
	return cluster, nil
}

// controlUsage holds the resources that all instances of this process have spent on the control plane so far. The CPU
// time is that of the whole process.
type controlUsage struct {
	cpu        time.Duration
	bytes      int64
	heartbeats int64
	reads      int64
	writes     int64
	grants     int64
	decisions  int64
}

func sumUsage(cluster *tryout.Cluster) controlUsage {
	u := controlUsage{}
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	for _, i := range cluster.Instances {
		m := i.Daemon.Metrics()
		u.bytes += m.Get(metrics.HeartbeatBytes)
		u.heartbeats += m.Get(metrics.HeartbeatsSent)
		u.reads += m.Get(metrics.TableReads)
		u.writes += m.Get(metrics.TableWrites)
		u.grants += m.Get(metrics.GrantsSent)
		u.decisions += m.Get(metrics.ControlNanoseconds)
	}
	return u
}

// ControlOverhead measures the control plane's cost per instance without traffic, for several cluster sizes.
func ControlOverhead(folder string, length time.Duration) (*Table, error) {
	t := &Table{
		Name: "control",
		Columns: []string{
			"instances", "cpu-percent", "decisions-percent", "heartbeats-s", "bytes-s", "reads-s", "writes-s", "grants-s", "heap-mb",
		},
	}
	for _, perZone := range []int{1, 2, 3, 4, 6, 8} {
		cluster, err := startCluster(fmt.Sprintf("%s/control-%d", folder, perZone), perZone)
		if err != nil {
			return nil, err
		}
		time.Sleep(4 * time.Second)
		before := sumUsage(cluster)
		time.Sleep(length)
		after := sumUsage(cluster)
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		n := float64(len(cluster.Instances))
		perInstanceRate := func(a, b int64) float64 { return float64(b-a) / n / length.Seconds() }
		t.Add(int(n),
			float64(after.cpu-before.cpu)/float64(length)/n*100,
			perInstanceRate(before.decisions, after.decisions)/1e9*100,
			perInstanceRate(before.heartbeats, after.heartbeats),
			perInstanceRate(before.bytes, after.bytes),
			perInstanceRate(before.reads, after.reads),
			perInstanceRate(before.writes, after.writes),
			perInstanceRate(before.grants, after.grants),
			float64(memory.HeapAlloc)/n/1e6)
		cluster.Close()
	}
	return t, nil
}

// ConfigurationDelay measures the time from the acceptance of a configuration change until every instance applies it.
func ConfigurationDelay(folder string, rounds int) (*Table, error) {
	t := &Table{
		Name:    "inforce",
		Columns: []string{"instances", "changes", "p50-ms", "max-ms"},
	}
	for _, perZone := range []int{1, 4, 8, 16} {
		cluster, err := startCluster(fmt.Sprintf("%s/inforce-%d", folder, perZone), perZone)
		if err != nil {
			return nil, err
		}
		var times []time.Duration
		for n := range rounds {
			d, err := timeConfigurationChange(cluster, n)
			if err != nil {
				cluster.Close()
				return nil, err
			}
			times = append(times, d)
		}
		sortDurations(times)
		t.Add(len(cluster.Instances), rounds, milliseconds(quantileOf(times, 0.5)), milliseconds(times[len(times)-1]))
		cluster.Close()
	}
	return t, nil
}

// timeConfigurationChange takes an instance out of service, or returns it to service on odd rounds, and returns the time
// until every instance applies that version.
func timeConfigurationChange(cluster *tryout.Cluster, n int) (time.Duration, error) {
	client, err := cluster.OperatorClient("operator")
	if err != nil {
		return 0, err
	}
	excluded := &schema.Out{
		Kind: "instance",
		Name: "entry-zone-c-1",
	}
	request := &schema.ChangeRequest{
		Reason: "measure",
		Out:    excluded,
	}
	if n%2 == 1 {
		request.Out = nil
		request.In = excluded
	}
	reply, err := client.Change(context.Background(), request)
	if err != nil {
		return 0, err
	}
	if reply.GetError() != "" {
		return 0, fmt.Errorf("%s", reply.GetError())
	}
	began := time.Now()
	ok := tryout.WaitUntil(30*time.Second, func() bool {
		for _, i := range cluster.Instances {
			if i.Daemon.Status().GetConfiguration().GetVersion() < reply.GetVersion() {
				return false
			}
		}
		return true
	})
	if !ok {
		return 0, fmt.Errorf("version %d is not active on every instance after 30 s", reply.GetVersion())
	}
	return time.Since(began), nil
}

// startSingleInstance starts one instance and one upstream with no service time and many slots, so that only the
// forwarding path is measured.
func startSingleInstance(folder string) (*tryout.Cluster, error) {
	cluster, err := tryout.Start(tryout.Config{
		Folder:    folder,
		Zones:     []string{"zone-a"},
		Instances: 1,
		Upstreams: []tryout.Upstreams{{
			Service: "media",
			Count:   1,
			Slots:   64,
		}},
	})
	if err != nil {
		return nil, err
	}
	text := strings.ReplaceAll(examples.Seminars, "\"slots\": 2", "\"slots\": 64")
	if _, err := cluster.ApplyEstate(context.Background(), text); err != nil {
		cluster.Close()
		return nil, err
	}
	if !tryout.WaitUntil(time.Minute, func() bool { return cluster.AllUpstreamsUsable(3) }) {
		cluster.Close()
		return nil, fmt.Errorf("the instance did not become ready within a minute")
	}
	time.Sleep(4 * time.Second)
	return cluster, nil
}
