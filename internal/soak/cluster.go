package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cuminlift"
	"cuminlift/core/route"
	"cuminlift/internal/gateway"
	"cuminlift/internal/mutant"
	"cuminlift/internal/standin/backend"
	"cuminlift/internal/standin/loopback"
	"cuminlift/internal/standin/rowserver"
	"cuminlift/platform"
)

// maxProcesses bounds the number of instances and of backends: each has an address of its own.
const maxProcesses = 100

const (
	// stopTimeout is how long an instance may take to stop.
	stopTimeout = 6 * time.Second
	// drainTime is how long a backend serves after it has reported that it is draining.
	drainTime = 4 * time.Second
	// callTimeout bounds a call of the soak itself.
	callTimeout = 2 * time.Second
)

const (
	plainService = "orders"
	keyedService = "calendar"
	callerHost   = "soak.example"
)

// process is a program that was started.
type process struct {
	command *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// signal sends a signal to the process, which may have ended.
func (p *process) signal(s syscall.Signal) {
	// A process that has ended needs no signal.
	_ = p.command.Process.Signal(s)
}

// kill ends the process and returns when it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// cluster is a running system with its stand-ins.
type cluster struct {
	config   Config
	schedule Schedule
	folder   string
	store    *process
	// direct is the store without a link.
	direct *platform.Store
	// Instances and backends are numbered from 0. Each has a link: instances to the store, backends from all instances.
	instances  []*process
	storeLinks []*link
	backends   []*backendSlot
	mutex      sync.Mutex
	history    History
	// eventsErr is what went wrong while events were read: the history then has gaps.
	eventsErr    error
	version      uint64
	backendCount int
	readers      sync.WaitGroup
}

// backendSlot is a place for backends, one after another.
type backendSlot struct {
	link    *link
	process *process
	// address is that of the running backend without its link.
	address  string
	id       string
	born     int64
	zone     string
	service  string
	leaving  bool
	occupied bool
}

// Hosts and ports of the processes.
const (
	storeHost    = 201
	linkHost     = 202
	instanceHost = 1
	backendHost  = 101
	storePort    = 7900
	frontPort    = 7000
	readyPort    = 7001
	peerPort     = 7002
	storeLinks   = 7100
	backendLinks = 7300
	backendPort  = 7500
)

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number%zoneCount+1) }

// start starts a program, whose error output goes to a file in the folder.
func (k *cluster) start(name, program string, out io.Writer, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(k.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(k.config.Programs, program), args...)
	command.Env = append(os.Environ(), mutant.Variable+"="+string(k.config.Mutant))
	command.Stderr = log
	command.Stdout = out
	if out == nil {
		command.Stdout = log
	}
	// The process does not outlive the soak.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true,
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	p := &process{
		command: command,
		ended:   make(chan struct{}),
	}
	go func() {
		// How it ended is in its log.
		_ = command.Wait()
		close(p.ended)
	}()
	return p, nil
}

func newCluster(config Config, schedule Schedule, folder string) (*cluster, error) {
	k := &cluster{
		config:   config,
		schedule: schedule,
		folder:   folder,
	}
	var err error
	if k.store, err = k.start("store", "cuminlift-standin", nil, "store", "--listen", loopback.Address(storeHost, storePort)); err != nil {
		return nil, err
	}
	k.direct = platform.NewStore(loopback.Address(storeHost, storePort), http.DefaultClient)
	if err := k.awaitStore(); err != nil {
		return k, err
	}
	if err := k.configure(); err != nil {
		return k, err
	}
	for i := range schedule.Instances {
		l, err := newLink(loopback.Address(linkHost, storeLinks+i), loopback.Address(storeHost, storePort))
		if err != nil {
			return k, err
		}
		k.storeLinks = append(k.storeLinks, l)
		k.instances = append(k.instances, nil)
		if err := k.startInstance(i); err != nil {
			return k, err
		}
	}
	for i := range schedule.Backends {
		l, err := newLink(loopback.Address(linkHost, backendLinks+i), loopback.Address(backendHost+i, backendPort))
		if err != nil {
			return k, err
		}
		service := plainService
		if i%2 == 0 {
			service = keyedService
		}
		k.backends = append(k.backends, &backendSlot{
			link:    l,
			address: loopback.Address(backendHost+i, backendPort),
			zone:    zoneName(i / 2),
			service: service,
		})
		if err := k.startBackend(i); err != nil {
			return k, err
		}
	}
	return k, nil
}

func (k *cluster) awaitStore() error {
	var err error
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err = k.direct.Rows(ctx, "op", "")
		cancel()
		if err == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the store does not answer: %w", err)
}

// stop ends all processes.
func (k *cluster) stop() {
	if k == nil {
		return
	}
	processes := []*process{k.store}
	processes = append(processes, k.instances...)
	for _, b := range k.backends {
		processes = append(processes, b.process)
		b.link.close()
	}
	for _, l := range k.storeLinks {
		l.close()
	}
	for _, p := range processes {
		if p != nil {
			p.kill()
		}
	}
	k.readers.Wait()
}

// startInstance starts an instance of the gateway.
func (k *cluster) startInstance(number int) error {
	name := fmt.Sprintf("instance-%d", number)
	settings, err := platform.EncodeSettings(gateway.Settings{
		Name:             name,
		Zone:             zoneName(number),
		FrontAddress:     loopback.Address(instanceHost+number, frontPort),
		ReadyAddress:     loopback.Address(instanceHost+number, readyPort),
		PeerAddress:      loopback.Address(instanceHost+number, peerPort),
		StoreAddress:     loopback.Address(linkHost, storeLinks+number),
		MaxGrantDuration: 4 * time.Second,
		ShutdownTimeout:  stopTimeout,
		RetryRatio:       0.2,
		RetryWindow:      10 * time.Second,
		RetrySlack:       60,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(k.folder, name+".json")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return err
	}
	k.instances[number], err = k.start(name, "cuminlift-gateway", nil, "run", "--settings", path)
	return err
}

// startBackend starts a new backend in a slot.
func (k *cluster) startBackend(slot int) error {
	b := k.backends[slot]
	k.backendCount++
	id := fmt.Sprintf("backend-%d", k.backendCount)
	settings, err := json.Marshal(backend.Settings{
		ID:          id,
		Service:     b.service,
		Zone:        b.zone,
		Listen:      b.address,
		Address:     loopback.Address(linkHost, backendLinks+slot),
		Store:       loopback.Address(storeHost, storePort),
		Keyed:       b.service == keyedService,
		Slots:       4,
		ServiceMS:   15,
		HeartbeatMS: int(heartbeat.Milliseconds()),
		DrainMS:     int(drainTime.Milliseconds()),
	})
	if err != nil {
		return err
	}
	path := filepath.Join(k.folder, id+".json")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	p, err := k.start(id, "cuminlift-standin", writer, "backend", path)
	writer.Close()
	if err != nil {
		reader.Close()
		return err
	}
	b.process, b.id, b.leaving, b.occupied = p, id, false, true
	k.readers.Go(func() {
		defer reader.Close()
		err := backend.ReadEvents(reader, func(e backend.Event) {
			k.mutex.Lock()
			defer k.mutex.Unlock()
			k.history.Events = append(k.history.Events, e)
			if e.Kind == backend.Started && e.Backend == b.id {
				b.born = e.Born
			}
		})
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.eventsErr = errors.Join(k.eventsErr, err)
	})
	return nil
}

// killBackend ends the backend of a slot. Its entry expires.
func (k *cluster) killBackend(slot int) {
	b := k.backends[slot]
	b.process.kill()
	k.mutex.Lock()
	k.history.Exits = append(k.history.Exits, Exit{
		Backend: b.id,
		Born:    b.born,
		At:      time.Now().UnixNano(),
	})
	k.mutex.Unlock()
	b.occupied = false
}

// commit writes to the store as the operators do, until it is acknowledged or ctx ends.
func (k *cluster) commit(ctx context.Context, transaction cuminlift.RowTransaction) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := k.direct.Commit(callCtx, transaction)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// configure writes the next version of the configuration.
func (k *cluster) configure() error {
	k.mutex.Lock()
	k.version += 3 // Versions rise in uneven steps.
	version := k.version
	k.mutex.Unlock()
	row, err := platform.EncodeConfiguration(platform.Configuration{
		Version: version,
		Routes: []route.Route{
			routeTo("read", "/read/", route.Idempotent, keyedService),
			routeTo("book", "/book/", route.AtMostOnce, keyedService),
			routeTo("order", "/order/", route.AtMostOnce, plainService),
			routeTo("list", "/list/", route.Idempotent, plainService),
		},
		Services: []route.Service{
			{
				Name:         keyedService,
				HealthPath:   backend.HealthPath,
				Connections:  64,
				Keyed:        true,
				ColdRate:     1000,
				ColdDuration: time.Millisecond,
			},
			{
				Name:         plainService,
				HealthPath:   backend.HealthPath,
				Connections:  64,
				ColdRate:     1000,
				ColdDuration: time.Millisecond,
			},
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxFault+callTimeout)
	defer cancel()
	return k.commit(ctx, cuminlift.RowTransaction{
		Put: []cuminlift.Row{row},
	})
}

func routeTo(name, prefix string, kind route.Kind, service string) route.Route {
	return route.Route{
		Name:      name,
		Host:      callerHost,
		Prefix:    prefix,
		Kind:      kind,
		Timeout:   2 * time.Second,
		Objective: 200 * time.Millisecond,
		Attempts:  3,
		Priority:  1,
		WeightedServices: []route.WeightedService{{
			Service: service,
			Weight:  1,
		}},
	}
}

const (
	// heartbeat is the time between registrations of a backend, and expiryTime how long an entry is kept without one.
	heartbeat  = 300 * time.Millisecond
	expiryTime = 3 * heartbeat
)

// expire removes the entries of backends that have been silent, as the platform does, until ctx ends.
func (k *cluster) expire(ctx context.Context) {
	type seen struct {
		version, era uint64
		at           time.Time
	}
	latest := map[string]seen{}
	for ; ctx.Err() == nil; time.Sleep(heartbeat / 2) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := k.direct.Rows(callCtx, platform.RowRegistry{}.UpstreamTable(), "")
		cancel()
		if err != nil {
			clear(latest) // Nothing expires because the store was away.
			continue
		}
		for _, row := range page.Rows {
			last := latest[row.Key]
			if last.version != row.Version || last.era != page.Era {
				latest[row.Key] = seen{
					version: row.Version,
					era:     page.Era,
					at:      time.Now(),
				}
				continue
			}
			if time.Since(last.at) < expiryTime {
				continue
			}
			// A backend that has registered meanwhile keeps its entry.
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			_, _ = k.direct.Commit(callCtx, cuminlift.RowTransaction{
				Require: []cuminlift.Row{row},
				Remove:  []cuminlift.Row{row},
			})
			cancel()
		}
	}
}

// control sends a control call as JSON to a stand-in.
func (k *cluster) control(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers with status %d", url, response.StatusCode)
	}
	return nil
}

func (k *cluster) setStoreFaults(faults rowserver.Faults) error {
	return k.control("http://"+loopback.Address(storeHost, storePort)+rowserver.FaultsPath, faults)
}
