package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cuminlift/internal/standin/loopback"
)

const (
	// slotsTime is how long after the last request slots may be in use: its deadline, the time in which an end may be reported, and the
	// interval between measurements, which a busy coordinator lengthens.
	slotsTime = requestTime + time.Second + 5*time.Second
	// slotsInterval is the time between looks.
	slotsInterval = 500 * time.Millisecond
)

// awaitFreeSlots waits until no slot is in use any more, at most for slotsTime, and records which are then. No request may be sent meanwhile.
func (k *cluster) awaitFreeSlots() {
	inUse := k.slotsInUse()
	for end := time.Now().Add(slotsTime); len(inUse) > 0 && time.Now().Before(end); inUse = k.slotsInUse() {
		time.Sleep(slotsInterval)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.history.SlotsInUse = inUse
}

// slotsInUse asks all instances. One that does not answer, because it has been killed or paused, is no coordinator.
func (k *cluster) slotsInUse() map[int]map[string]int {
	all := map[int]map[string]int{}
	for i := range k.instances {
		metrics := struct {
			Slots map[string]int `json:"slots-in-use"`
		}{}
		if k.metrics(i, &metrics) != nil {
			continue
		}
		for service, n := range metrics.Slots {
			if n == 0 {
				continue
			}
			if all[i] == nil {
				all[i] = map[string]int{}
			}
			all[i][service] = n
		}
	}
	return all
}

// metrics reads the metrics of an instance into v.
func (k *cluster) metrics(instance int, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), readinessInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+loopback.Address(instanceHost+instance, metricsPort), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(v)
}

// checkSlots has no excuse: whatever happened to an instance, its requests have ended.
func checkSlots(h *History) []Violation {
	var found []Violation
	for instance, services := range h.SlotsInUse {
		for service, n := range services {
			found = append(found, Violation{
				Story: []string{fmt.Sprintf("instance %d counts %d slots of %s in use, %v after the last request", instance, n, service, slotsTime)},
			})
		}
	}
	return found
}
