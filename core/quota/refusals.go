package quota

import (
	"slices"
	"strings"
	"time"
)

// maxRefusals is the number of workspaces of which Refusals are listed one by one.
const maxRefusals = 10

// Refusal tells how many requests of a workspace were refused, and why.
type Refusal struct {
	// Workspace is empty for the sum of those that are not listed.
	Workspace   string
	Rate, Burst float64
	Refused     int
	// Sent is the number of requests that were counted in the last Window.
	Sent int
	// Age is how long the sender has counted.
	Age time.Duration
}

// refusalLog collects refusals.
type refusalLog struct {
	refused map[string]int
}

func (l *refusalLog) add(workspace string) {
	if l.refused == nil {
		l.refused = map[string]int{}
	}
	l.refused[workspace]++
}

// take returns the workspaces with the most refusals since the last call, then the sum of the others if there are any. describe
// returns the quota of a workspace and what was sent.
func (l *refusalLog) take(age time.Duration, describe func(workspace string) (rate, burst float64, sent int)) []Refusal {
	var list []Refusal
	for workspace, refused := range l.refused {
		list = append(list, Refusal{
			Workspace: workspace,
			Refused:   refused,
			Age:       age,
		})
	}
	clear(l.refused)
	slices.SortFunc(list, func(a, b Refusal) int {
		if a.Refused != b.Refused {
			return b.Refused - a.Refused
		}
		return strings.Compare(a.Workspace, b.Workspace)
	})
	if len(list) > maxRefusals {
		rest := Refusal{
			Age: age,
		}
		for _, r := range list[maxRefusals:] {
			rest.Refused += r.Refused
		}
		list = append(list[:maxRefusals], rest)
	}
	for i := range list {
		if name := list[i].Workspace; name != "" {
			list[i].Rate, list[i].Burst, list[i].Sent = describe(name)
		}
	}
	return list
}

// Refusals returns how many requests were refused since the last call.
func (l *Ledger) Refusals(now time.Duration) []Refusal {
	return l.refusals.take(now-l.start, func(workspace string) (rate, burst float64, sent int) {
		rate, burst, _ = l.limits(workspace)
		if b := l.buckets[workspace]; b != nil {
			sent = b.sent.total(now)
		}
		return rate, burst, sent
	})
}

// Refusals returns how many requests were refused since the last call.
func (s *Shares) Refusals(now time.Duration) []Refusal {
	return s.refusals.take(now-s.since, func(workspace string) (rate, burst float64, sent int) {
		rate, burst, _ = s.limits(workspace)
		if b := s.buckets[workspace]; b != nil {
			sent = b.sent.total(now)
		}
		return rate, burst, sent
	})
}
