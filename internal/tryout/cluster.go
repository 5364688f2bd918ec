// Package tryout runs the whole path in one process on loopback addresses: a platform, upstreams and instances.
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
	// Count is over all zones.
	Count int
	Slots int
	Work  time.Duration
	// Connect is how long a new connection takes.
	Connect time.Duration
	Cold    time.Duration
	// IgnoreFence makes upstreams that take every grant.
	IgnoreFence bool
}

// Config constructs a Cluster.
type Config struct {
	// Folder holds keys; it is made if missing.
	Folder string
	Zones  []string
	// Instances is the number in each zone.
	Instances int
	Upstreams []Upstreams
	// LogWriter takes the instances' logs, nil for none.
	LogWriter io.Writer
	// LogLevels is the log setting of each instance.
	LogLevels string
	Timing    ownership.Timing
	// OnOutcome is called for each outcome at an upstream, or is nil.
	OnOutcome func(*schema.Outcome)
	// RecordTraces keeps a trace of every instance and upstream, for MergedTrace.
	RecordTraces bool
	// StopMs bounds graceful stops, 0 for the default.
	StopMs uint32
	// DrainMs is the time between not ready and the end of service, 0 for the default.
	DrainMs uint32
}

// Instance is one running daemon.
type Instance struct {
	Daemon   *daemon.Daemon
	Settings *schema.Settings
	// trace holds what the instance recorded. It is read after the instance stopped.
	trace  *bytes.Buffer
	cancel context.CancelFunc
	done   chan error
}

// Cluster is the running whole.
type Cluster struct {
	config    Config
	Platform  *platform.Platform
	Instances []*Instance
	// Upstreams holds the stand-ins by name.
	Upstreams map[string]*upstream.Upstream
	listed    *schema.InstanceList
	authority *identity.Authority
	mutex     sync.Mutex
	// cut holds the pairs of zones, or of an address and a zone, that can't reach each other.
	cut   map[string]bool
	zones map[string]string
	clock *clock.Machine
	// outcomes are what upstreams saw, guarded by mutex.
	outcomes []*schema.TraceLine
}

// Start starts everything. Close must be called.
func Start(config Config) (*Cluster, error) {
	authority, err := identity.NewAuthority(config.Folder)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		config:    config,
		Platform:  platform.New(),
		Upstreams: map[string]*upstream.Upstream{},
		listed:    &schema.InstanceList{},
		authority: authority,
		cut:       map[string]bool{},
		zones:     map[string]string{},
		clock:     clock.NewMachine(),
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
	c.Platform.SetInstanceList(c.listed)
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
			OnOutcome:       c.observe,
		})
		if err := standin.Listen("127.0.0.1:0"); err != nil {
			return err
		}
		standin.SetFaults(&schema.UpstreamFaults{
			IgnoreFence: u.IgnoreFence,
		})
		c.Upstreams[name] = standin
		c.zones[standin.Address()] = zone
		c.listed.Upstreams = append(c.listed.Upstreams, &schema.ListedUpstream{
			Name:    name,
			Service: u.Service,
			Zone:    zone,
			Address: standin.Address(),
		})
	}
	return nil
}

// StartInstance starts one more instance.
func (c *Cluster) StartInstance(name, zone string) (*Instance, error) {
	files, err := c.authority.IssueForDevelopment(name)
	if err != nil {
		return nil, err
	}
	files.CallersPlain = true
	return c.start(&schema.Settings{
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

func (c *Cluster) start(settings *schema.Settings) (*Instance, error) {
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
	recorded := &bytes.Buffer{}
	if c.config.RecordTraces {
		config.Trace = recorded
	}
	d, err := daemon.New(config)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		Daemon:   d,
		Settings: settings,
		trace:    recorded,
		cancel:   cancel,
		done:     make(chan error, 1),
	}
	c.mutex.Lock()
	c.Instances = append(c.Instances, i)
	c.zones[d.Self().GetPeers()] = zone
	c.zones[d.Self().GetForward()] = zone
	c.mutex.Unlock()
	go func() { i.done <- d.Run(ctx) }()
	return i, nil
}

// Stop stops an instance gracefully and waits for it.
func (i *Instance) Stop() error {
	i.cancel()
	err := <-i.done
	i.done <- err
	return err
}

// Kill ends an instance without a goodbye and waits for it.
func (i *Instance) Kill() {
	i.Daemon.Kill()
	_ = i.Stop()
}

// Restart starts an instance anew with the addresses of a stopped one, as a restarted process would.
func (c *Cluster) Restart(i *Instance) (*Instance, error) {
	self := i.Daemon.Self()
	settings := i.Settings
	settings.Callers = i.Daemon.Callers()
	settings.Peers = self.GetPeers()
	settings.Forward = self.GetForward()
	settings.Operators = self.GetOperators()
	return c.start(settings)
}

// Close ends everything at once.
func (c *Cluster) Close() {
	var waiting sync.WaitGroup
	for _, i := range c.Instances {
		waiting.Go(i.Kill)
	}
	waiting.Wait()
	for _, u := range c.Upstreams {
		u.Close()
	}
	c.Platform.Close()
}

// UpdateInstanceList changes the platform's list through change, which gets a copy of nothing: it must not keep its argument.
func (c *Cluster) UpdateInstanceList(change func(*schema.InstanceList)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := &schema.InstanceList{
		Upstreams: append([]*schema.ListedUpstream(nil), c.listed.GetUpstreams()...),
	}
	change(next)
	c.listed = next
	c.Platform.SetInstanceList(next)
}

// SetZonePartition cuts a zone from all others and, where platformToo is set, from the platform, or joins it again.
func (c *Cluster) SetZonePartition(zone string, cut, platformToo bool) {
	c.mutex.Lock()
	c.cut[zone] = cut
	var blocked []string
	for _, i := range c.Instances {
		if platformToo && c.cut[i.Settings.GetZone()] {
			blocked = append(blocked, i.Settings.GetInstance())
		}
	}
	c.mutex.Unlock()
	c.Platform.SetFaults(&schema.PlatformFaults{
		Blocked: blocked,
	})
}

func (c *Cluster) reachable(from, address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	to, known := c.zones[address]
	if !known || to == from {
		return true
	}
	return !c.cut[from] && !c.cut[to]
}

// WaitUntil waits until condition holds or the time is over, and reports whether it held.
func WaitUntil(limit time.Duration, condition func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return condition()
}

// AllUpstreamsUsable reports whether every service has an owner or an upstream that can be used, on the homes.
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

// observe takes what an upstream saw.
func (c *Cluster) observe(o *schema.Outcome) {
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

// MergedTrace returns what the instances and upstreams recorded, by time. All instances must have stopped.
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

// OperatorClient returns a client of the first instance for an operator called name.
func (c *Cluster) OperatorClient(name string) (*operator.Client, error) {
	return c.OperatorClientAt(c.Instances[0], name)
}

// OperatorClientAt returns a client of an instance for an operator called name.
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

// ApplyEstate puts an estate text in force through the first instance.
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

// TemporaryFolder makes a folder for keys that remove deletes.
func TemporaryFolder() (folder string, remove func(), err error) {
	folder, err = os.MkdirTemp("", "cuminlift-")
	if err != nil {
		return "", nil, fmt.Errorf("make temporary folder: %w", err)
	}
	return filepath.Join(folder, "keys"), func() { _ = os.RemoveAll(folder) }, nil
}
