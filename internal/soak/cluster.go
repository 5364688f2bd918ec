package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cuminlift/internal/gateway"
	"cuminlift/internal/standin/backend"
	"cuminlift/internal/standin/loopback"
	"cuminlift/platform"
)

// maxProcesses bounds the number of instances and of backends: each has an address of its own.
const maxProcesses = 100

const (
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

// cluster is a running system with its stand-ins.
type cluster struct {
	config   Config
	schedule Schedule
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
	metricsPort  = 7003
	storeLinks   = 7100
	backendLinks = 7300
	backendPort  = 7500
)

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number%zoneCount+1) }

func newCluster(config Config, schedule Schedule) (*cluster, error) {
	k := &cluster{
		config:   config,
		schedule: schedule,
		history: History{
			NoWorkspaces: schedule.Seed%2 == 0,
			StopTimeout:  schedule.stopTimeout(),
		},
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
		ShutdownTimeout:  k.schedule.stopTimeout(),
		RetryRatio:       0.2,
		RetryWindow:      10 * time.Second,
		RetrySlack:       60,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(k.config.Folder, name+".json")
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
		Faults: backend.Faults{
			LateGrants: k.schedule.LateGrants,
		},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(k.config.Folder, id+".json")
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
