//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// lease is a range of keys that a server holds, or the highest generation number that it has seen on the range.
type lease struct {
	from, to uint32
	fence    uint64
	until    time.Time
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	From     uint32 `json:"from"`
	To       uint32 `json:"to"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
	Handover string `json:"handover"`
}

// without returns leases without a range.
func without(leases []lease, from, to uint32) []lease {
	var kept []lease
	for _, l := range leases {
		if l.to < from || l.from > to {
			kept = append(kept, l)
			continue
		}
		if l.from < from {
			left := l
			left.to = from - 1
			kept = append(kept, left)
		}
		if l.to > to {
			right := l
			right.from = to + 1
			kept = append(kept, right)
		}
	}
	return kept
}

// answerKeys takes a grant or a release, as the page "Keys that backends hold" says.
func (b *server) answerKeys(r *http.Request, body []byte, arrived time.Time) []byte {
	var call keyCall
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		return b.encode("", http.StatusMisdirectedRequest, nil, "Not-Executed: 1", "Instance-Id: "+b.id)
	}
	if json.Unmarshal(body, &call) != nil || !b.keyed || call.To < call.From {
		return b.encode("", http.StatusBadRequest, nil)
	}
	if strings.HasSuffix(r.URL.Path, "/release") {
		return b.release(call)
	}
	hold, err := time.ParseDuration(call.HoldTime)
	if err != nil {
		return b.encode("", http.StatusBadRequest, nil)
	}
	b.mutex.Lock()
	for _, seen := range b.fences {
		if seen.from <= call.To && seen.to >= call.From && seen.fence > call.Fence {
			b.mutex.Unlock()
			b.record.write("grant", "", "server=%s keys=%d-%d fence=%d refused: %d was seen", b.id, call.From, call.To, call.Fence, seen.fence)
			return b.encode("", http.StatusConflict, nil)
		}
	}
	granted := lease{
		from:  call.From,
		to:    call.To,
		fence: call.Fence,
		until: arrived.Add(hold),
	}
	b.fences = append(without(b.fences, call.From, call.To), granted)
	b.leases = append(without(b.leases, call.From, call.To), granted)
	b.mutex.Unlock()
	b.record.write("grant", "", "server=%s keys=%d-%d fence=%d for %s", b.id, call.From, call.To, call.Fence, call.HoldTime)
	return b.encode("", http.StatusOK, nil)
}

func (b *server) release(call keyCall) []byte {
	b.record.write("release", "", "server=%s keys=%d-%d fence=%d", b.id, call.From, call.To, call.Fence)
	b.mutex.Lock()
	b.leases = without(b.leases, call.From, call.To)
	for b.works(call.From, call.To) {
		changed := b.changed
		b.mutex.Unlock()
		<-changed
		b.mutex.Lock()
	}
	b.released++
	handover := fmt.Sprintf("%s-%s", strings.TrimPrefix(b.id, "i-"), strconv.Itoa(b.released))
	b.mutex.Unlock()
	return b.encode("", http.StatusOK, nil, "Handover: "+handover)
}

// works reports whether a request runs on a range. The caller holds the mutex.
func (b *server) works(from, to uint32) bool {
	for key, n := range b.busy {
		if n > 0 && key >= from && key <= to {
			return true
		}
	}
	return false
}

func (b *server) holds(key uint32) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range b.leases {
		if key >= l.from && key <= l.to && time.Now().Before(l.until) {
			return true
		}
	}
	return false
}

func (b *server) begin(key uint32) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.busy[key]++
}

func (b *server) finish(key uint32) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.busy[key]--
	b.notify()
}

// held returns what the server holds now.
func (b *server) held(now time.Time) []lease {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var held []lease
	for _, l := range b.leases {
		if now.Before(l.until) {
			held = append(held, l)
		}
	}
	return held
}

// pair is two servers and a range of keys.
type pair struct {
	a, b     string
	from, to uint32
}

// double is a time during which two servers held the same keys.
type double struct {
	pair
	fenceA, fenceB uint64
	since, last    time.Time
}

const (
	// lookInterval is the time between looks at what all servers hold, and maxDouble the time in the rule OWNER.
	lookInterval = 10 * time.Millisecond
	maxDouble    = 500 * time.Millisecond
)

// watchOwners looks for keys that two servers hold at the same time for longer than the rule allows, until stop is closed.
func watchOwners(w *world, stop <-chan struct{}) (broken []string) {
	open := map[pair]*double{}
	end := func(p pair, d *double) {
		delete(open, p)
		if lasted := d.last.Sub(d.since); lasted > maxDouble {
			line := fmt.Sprintf("OWNER: %s (generation %d) and %s (generation %d), both up, held keys %d to %d at the same time for %.3f s, from %.3f s on",
				d.a, d.fenceA, d.b, d.fenceB, d.from, d.to, lasted.Seconds(), d.since.Sub(w.record.began).Seconds())
			w.record.write("double", "", "%s", line)
			broken = append(broken, line)
		}
	}
	for {
		select {
		case <-stop:
			for p, d := range open {
				end(p, d)
			}
			return broken
		case <-time.After(lookInterval):
		}
		now := time.Now()
		var all [][]lease
		for _, b := range w.servers {
			all = append(all, b.held(now))
		}
		for i, a := range w.servers {
			for j := i + 1; j < len(w.servers); j++ {
				for _, x := range all[i] {
					for _, y := range all[j] {
						from, to := max(x.from, y.from), min(x.to, y.to)
						if from > to || a.service != w.servers[j].service {
							continue
						}
						p := pair{
							a:    a.id,
							b:    w.servers[j].id,
							from: from,
							to:   to,
						}
						d := open[p]
						if d == nil {
							d = &double{
								pair:   p,
								fenceA: x.fence,
								fenceB: y.fence,
								since:  now,
							}
							open[p] = d
						}
						d.last = now
					}
				}
			}
		}
		for p, d := range open {
			if d.last != now {
				end(p, d)
			}
		}
	}
}
