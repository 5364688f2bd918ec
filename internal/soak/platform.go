package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cuminlift"
	"cuminlift/core/route"
	"cuminlift/internal/standin/backend"
	"cuminlift/internal/standin/loopback"
	"cuminlift/internal/standin/rowserver"
	"cuminlift/platform"
)

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
			patient(routeTo("export", "/export/", route.Idempotent, plainService)),
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
		Workspaces: k.workspaces(),
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

// patient gives the requests of a route more time.
func patient(r route.Route) route.Route {
	r.Timeout = patientTime
	r.Objective = patientTime / 2
	return r
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
