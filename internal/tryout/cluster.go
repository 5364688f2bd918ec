// Package tryout runs a complete cluster in one process on loopback addresses: a platform stand-in, upstream stand-ins
// and daemon instances.
package tryout

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cuminlift/core/ownership"
	"cuminlift/core/trace"
	"cuminlift/internal/daemon"
	"cuminlift/internal/standin/platform"
	"cuminlift/internal/standin/upstream"
	"cuminlift/io/clock"
	"cuminlift/io/identity"
	"cuminlift/io/operator"
	"cuminlift/schema"
)

// Upstreams describes the upstreams of one service.
type Upstreams struct {
	Service string
	Keyed   bool
	// Count is the total over all zones.
	Count int
	Slots int
	// Work is the service time of a request.
	Work time.Duration
	// Connect is the delay of a new connection.
	Connect time.Duration
	// Cold is the length of an upstream's cold start.
	Cold time.Duration
	// IgnoreFence makes the upstreams accept grants of any incarnation and fence.
	IgnoreFence bool
}

// Config configures a Cluster.
type Config struct {
	// Folder holds the certificates and keys; it is created if missing.
	Folder string
	Zones  []string
	// Instances is the number of instances in each zone.
	Instances int
	Upstreams []Upstreams
	// LogWriter receives the logs of all instances; nil discards them.
	LogWriter io.Writer
	// LogLevels is the log setting of all instances: a level for each subsystem.
	LogLevels string
	Timing    ownership.Timing
	// OnOutcome is called for each outcome at an upstream, unless it is nil.
	OnOutcome func(*schema.Outcome)
	// RecordTraces keeps a trace of every instance and upstream in memory for MergedTrace.
	RecordTraces bool
	// StopMs is the time limit of a graceful stop, 0 for the default.
	StopMs uint32
	// DrainMs is the time that a stopping instance still serves after it reports not ready, 0 for the default.
	DrainMs uint32
}

// Instance is one running daemon.
type Instance struct {
	Daemon   *daemon.Daemon
	Settings *schema.Settings
	// trace is written by the daemon and must only be read after it has stopped.
	trace  *bytes.Buffer
	cancel context.CancelFunc
	done   chan error
}

// Cluster is a running platform with its upstreams and instances.
type Cluster struct {
	config    Config
	Platform  *platform.Platform
	Instances []*Instance
	// Upstreams holds the upstream stand-ins by name.
	Upstreams    map[string]*upstream.Upstream
	instanceList *schema.InstanceList
	authority    *identity.Authority
	mutex        sync.Mutex
	// partitioned is set for zones that are cut off from all other zones.
	partitioned map[string]bool
	// zoneByAddress maps the addresses of upstreams and of instances' peer and forwarding ports to their zones.
	zoneByAddress map[string]string
	clock         *clock.BootClock
	// outcomes are the recorded outcomes at upstreams, guarded by mutex.
	outcomes []*schema.TraceLine
}

// Start starts the platform, the upstreams and the instances. Close must be called.
func Start(config Config) (*Cluster, error) {
	authority, err := identity.NewAuthority(config.Folder)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		config:        config,
		Platform:      platform.New(),
		Upstreams:     map[string]*upstream.Upstream{},
		instanceList:  &schema.InstanceList{},
		authority:     authority,
		partitioned:   map[string]bool{},
		zoneByAddress: map[string]string{},
		clock:         clock.NewBootClock(),
	}
	if err := c.Platform.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for _, u := range config.Upstreams {
		if err := c.startUpstreams(u); err != nil {
			c.Close()
			return nil, err
		}
	}
	c.Platform.SetInstanceList(c.instanceList)
	for _, zone := range config.Zones {
		for n := range config.Instances {
			if _, err := c.StartInstance(fmt.Sprintf("entry-%s-%d", zone, n+1), zone); err != nil {
				c.Close()
				return nil, err
			}
		}
	}
	return c, nil
}

func (c *Cluster) startUpstreams(u Upstreams) error {
	for n := range u.Count {
		zone := c.config.Zones[n%len(c.config.Zones)]
		name := fmt.Sprintf("%s-%d", u.Service, n+1)
		standin := upstream.New(upstream.Config{
			Name:            name,
			Keyed:           u.Keyed,
			Slots:           u.Slots,
			Work:            u.Work,
			Connect:         u.Connect,
			Cold:            u.Cold,
			ColdStartFactor: 5,
			OnOutcome:       c.recordOutcome,
		})
		if err := standin.Listen("127.0.0.1:0"); err != nil {
			return err
		}
		standin.SetFaults(&schema.UpstreamFaults{
			IgnoreFence: u.IgnoreFence,
		})
		c.Upstreams[name] = standin
		c.zoneByAddress[standin.Address()] = zone
		c.instanceList.Upstreams = append(c.instanceList.Upstreams, &schema.ListedUpstream{
			Name:    name,
			Service: u.Service,
			Zone:    zone,
			Address: standin.Address(),
		})
	}
	return nil
}

// StartInstance issues certificates for an additional instance and starts it.
func (c *Cluster) StartInstance(name, zone string) (*Instance, error) {
	files, err := c.authority.IssueForDevelopment(name)
	if err != nil {
		return nil, err
	}
	files.CallersPlain = true
	return c.startDaemon(&schema.Settings{
		Instance:  name,
		Zone:      zone,
		Callers:   "127.0.0.1:0",
		Peers:     "127.0.0.1:0",
		Forward:   "127.0.0.1:0",
		Operators: "127.0.0.1:0",
		Platform:  "http://" + c.Platform.Address(),
		Tls:       files,
		Log:       c.config.LogLevels,
		StopMs:    c.config.StopMs,
		DrainMs:   c.config.DrainMs,
	})
}

func (c *Cluster) startDaemon(settings *schema.Settings) (*Instance, error) {
	log := c.config.LogWriter
	if log == nil {
		log = io.Discard
	}
	zone := settings.GetZone()
	config := daemon.Config{
		Settings:  settings,
		Timing:    c.config.Timing,
		LogOutput: log,
		Allow:     func(address string) bool { return c.reachable(zone, address) },
	}
	traceBuffer := &bytes.Buffer{}
	if c.config.RecordTraces {
		config.Trace = traceBuffer
	}
	d, err := daemon.New(config)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		Daemon:   d,
		Settings: settings,
		trace:    traceBuffer,
		cancel:   cancel,
		done:     make(chan error, 1),
	}
	c.mutex.Lock()
	c.Instances = append(c.Instances, i)
	c.zoneByAddress[d.Self().GetPeers()] = zone
	c.zoneByAddress[d.Self().GetForward()] = zone
	c.mutex.Unlock()
	go func() { i.done <- d.Run(ctx) }()
	return i, nil
}

// Stop stops the instance gracefully and waits until it has ended.
func (i *Instance) Stop() error {
	i.cancel()
	err := <-i.done
	i.done <- err
	return err
}

// Kill ends the instance without a graceful stop and waits until it has ended.
func (i *Instance) Kill() {
	i.Daemon.Kill()
	_ = i.Stop()
}

// Restart starts an instance with the settings and addresses of a stopped one, like a restarted process.
func (c *Cluster) Restart(i *Instance) (*Instance, error) {
	self := i.Daemon.Self()
	settings := i.Settings
	settings.Callers = i.Daemon.Callers()
	settings.Peers = self.GetPeers()
	settings.Forward = self.GetForward()
	settings.Operators = self.GetOperators()
	return c.startDaemon(settings)
}

// Close kills all instances and closes the upstreams and the platform.
func (c *Cluster) Close() {
	var group sync.WaitGroup
	for _, i := range c.Instances {
		group.Go(i.Kill)
	}
	group.Wait()
	for _, u := range c.Upstreams {
		u.Close()
	}
	c.Platform.Close()
}

// UpdateInstanceList applies change to a copy of the platform's instance list and publishes the result. The entries are
// shared with the previous list; change may add, remove or replace them, but must not modify them or keep its argument.
func (c *Cluster) UpdateInstanceList(change func(*schema.InstanceList)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := &schema.InstanceList{
		Upstreams: append([]*schema.ListedUpstream(nil), c.instanceList.GetUpstreams()...),
	}
	change(next)
	c.instanceList = next
	c.Platform.SetInstanceList(next)
}

// SetZonePartition cuts a zone off from all other zones, or reconnects it. With includePlatform, exactly the instances
// in cut-off zones are blocked at the platform afterwards; without it, none are.
func (c *Cluster) SetZonePartition(zone string, partitioned, includePlatform bool) {
	c.mutex.Lock()
	c.partitioned[zone] = partitioned
	var blocked []string
	for _, i := range c.Instances {
		if includePlatform && c.partitioned[i.Settings.GetZone()] {
			blocked = append(blocked, i.Settings.GetInstance())
		}
	}
	c.mutex.Unlock()
	c.Platform.SetFaults(&schema.PlatformFaults{
		Blocked: blocked,
	})
}

// reachable reports whether zone from can connect to address. Unknown addresses are always reachable.
func (c *Cluster) reachable(from, address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	to, known := c.zoneByAddress[address]
	if !known || to == from {
		return true
	}
	return !c.partitioned[from] && !c.partitioned[to]
}

// WaitUntil polls condition every 10 ms until it holds or the timeout has passed, and reports whether it held.
func WaitUntil(timeout time.Duration, condition func() bool) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return condition()
}

// AllUpstreamsUsable reports whether every instance knows this number of services and each upstream is usable on at
// least one instance.
func (c *Cluster) AllUpstreamsUsable(services int) bool {
	usable := map[string]bool{}
	for _, i := range c.Instances {
		status := i.Daemon.Status()
		if len(status.GetServices()) != services {
			return false
		}
		for _, s := range status.GetServices() {
			for _, u := range s.GetUpstreams() {
				if u.GetUsable() {
					usable[u.GetName()] = true
				}
			}
		}
	}
	return len(usable) == len(c.Upstreams)
}

// recordOutcome passes an upstream's outcome to OnOutcome and adds it to the trace.
func (c *Cluster) recordOutcome(o *schema.Outcome) {
	if c.config.OnOutcome != nil {
		c.config.OnOutcome(o)
	}
	if !c.config.RecordTraces {
		return
	}
	at := c.clock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outcomes = append(c.outcomes, &schema.TraceLine{
		Format:   trace.Format,
		AtUs:     at.Microseconds(),
		Instance: o.GetSubject(),
		Outcome:  o,
	})
}

// MergedTrace returns the traces of all instances and upstreams merged in order of time. All instances must have
// stopped.
func (c *Cluster) MergedTrace() ([]*schema.TraceLine, error) {
	c.mutex.Lock()
	traces := [][]*schema.TraceLine{c.outcomes}
	c.mutex.Unlock()
	for _, i := range c.Instances {
		lines, err := trace.Read(bytes.NewReader(i.trace.Bytes()))
		if err != nil {
			return nil, err
		}
		traces = append(traces, lines)
	}
	return trace.Merge(traces...), nil
}

// OperatorClient returns a client that connects to the first instance as the operator with this name.
func (c *Cluster) OperatorClient(name string) (*operator.Client, error) {
	return c.OperatorClientAt(c.Instances[0], name)
}

// OperatorClientAt returns a client that connects to an instance as the operator with this name.
func (c *Cluster) OperatorClientAt(i *Instance, name string) (*operator.Client, error) {
	files, err := c.authority.IssueForDevelopment(name)
	if err != nil {
		return nil, err
	}
	source, err := identity.Load(files)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(operator.Config{
		Address: i.Daemon.Self().GetOperators(),
		TLS:     source.Client("http/1.1"),
	}), nil
}

// ApplyEstate submits an estate text as the new configuration through the first instance.
func (c *Cluster) ApplyEstate(ctx context.Context, text string) (*schema.ChangeReply, error) {
	client, err := c.OperatorClient("operator")
	if err != nil {
		return nil, err
	}
	reply, err := client.Change(ctx, &schema.ChangeRequest{
		Text:   text,
		Reason: "try-out",
	})
	if err != nil {
		return nil, err
	}
	if reply.GetError() != "" {
		return nil, fmt.Errorf("%s", reply.GetError())
	}
	return reply, nil
}

// TemporaryFolder creates a temporary folder for keys; remove deletes it.
func TemporaryFolder() (folder string, remove func(), err error) {
	folder, err = os.MkdirTemp("", "cuminlift-")
	if err != nil {
		return "", nil, fmt.Errorf("create temporary folder: %w", err)
	}
	return filepath.Join(folder, "keys"), func() { _ = os.RemoveAll(folder) }, nil
}
