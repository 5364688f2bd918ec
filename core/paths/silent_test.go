package paths_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
	"cuminlift/core/paths"
)

// The paths to all upstreams fall silent just after a renewal, on a large site with up to 0.96 s between grants. A coordinator that resigns too late lets the grants run out.
func TestSilentLossIsNoticedBeforeKeysLapse(t *testing.T) {
	c := qt.New(t)
	const total = 577
	for _, interval := range []time.Duration{600 * ms, 960 * ms} {
		var m paths.Monitor
		m.Reached(ms, "s", "u0")
		leadership := authority.NewLeadership(0)
		leadership.SetMembers([]string{"b"})
		sent := interval
		resigned := time.Duration(0)
		for now := 20 * ms; now < 3*time.Second && resigned == 0; now += 20 * ms {
			leadership.Renewed(now)
			leadership.Acknowledged("b", now, true)
			leadership.PathsLost(now, m.Lacks(now, "s", total, func(string) time.Duration { return now }) != "")
			leadership.MemberPaths("b", paths.Reaches(0, m.FailedCount()))
			if leadership.ResignReason(now) != "" {
				resigned = now
			}
			if now >= sent+360*ms {
				for u := range total {
					m.Failed(now, sent, "s", fmt.Sprint("u", u))
				}
				sent = now + 20*ms
			}
		}
		c.Check(resigned != 0 && resigned < 2350*ms, qt.IsTrue, qt.Commentf("renewed every %v, resigns %v after the last grants", interval, resigned))
	}
}

// silentLoss is a service whose paths fall silent.
type silentLoss struct {
	total, instances int
	// perUpstream is the number of answers per second and upstream, over all instances.
	perUpstream float64
	// interval is the time between grants of a range.
	interval time.Duration
}

func smallSite(total, instances int, perUpstream float64) silentLoss {
	return silentLoss{
		total:       total,
		instances:   instances,
		perUpstream: perUpstream,
		interval:    600 * ms,
	}
}

func largeSite(perUpstream float64) silentLoss {
	return silentLoss{
		total:       577,
		instances:   75,
		perUpstream: perUpstream,
		interval:    960 * ms,
	}
}

// Paths to 60 in 100 of the holders fall silent, and others reach all. A coordinator that does not notice lets the grants run out.
func TestSilentLossOfMostPathsIsNoticedBeforeKeysLapse(t *testing.T) {
	for _, site := range []silentLoss{
		smallSite(9, 3, 5),
		smallSite(16, 9, 6),
		smallSite(16, 9, 2),
		largeSite(5),
		largeSite(1),
	} {
		checkSilentLoss(t, site)
	}
}

// The same for a service that gets few requests, so that few answers tell that others reach it.
func TestSilentLossOfMostPathsToAQuietServiceIsNoticedBeforeKeysLapse(t *testing.T) {
	checkSilentLoss(t, smallSite(9, 3, 1))
}

func checkSilentLoss(t *testing.T, site silentLoss) {
	t.Run(fmt.Sprintf("%d upstreams at %v per second", site.total, site.perUpstream), func(t *testing.T) {
		c := qt.New(t)
		late, times := 0, []time.Duration{}
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 1))
			var m paths.Monitor
			lost := (site.total*6 + 9) / 10
			answered := map[string]time.Duration{}
			type call struct{ sent, end time.Duration }
			calls := make([]call, site.total)
			validUntil := make([]time.Duration, site.total)
			const start = 5 * time.Second // The cut.
			for u := range calls {
				calls[u].sent = start + time.Duration(random.Float64()*float64(site.interval))
				validUntil[u] = calls[u].sent - site.interval + 2350*ms
				m.Reached(start-ms, "s", fmt.Sprint("u", u))
			}
			noticed := time.Duration(0)
			firstLapse := start + 10*time.Second
			for u := range lost {
				firstLapse = min(firstLapse, validUntil[u])
			}
			for now := start; now < start+4*time.Second && noticed == 0; now += 10 * ms {
				for u := range calls {
					name := fmt.Sprint("u", u)
					if now >= calls[u].sent && calls[u].end == 0 {
						calls[u].end = calls[u].sent + 350*ms
						if u >= lost {
							m.Reached(now, "s", name)
							calls[u].sent, calls[u].end = now+site.interval, 0
						}
					}
					if calls[u].end != 0 && now >= calls[u].end {
						m.Failed(now, calls[u].sent, "s", name)
						calls[u].sent, calls[u].end = now+20*ms, 0
					}
					if now < validUntil[u] || u >= lost {
						if random.Float64() < site.perUpstream*0.01 {
							answered[name] = now
							if u >= lost && random.IntN(site.instances) == 0 {
								m.Reached(now, "s", name) // An answer to the coordinator's own instance.
							}
						}
					}
				}
				if now%(20*ms) == 0 {
					if m.Lacks(now, "s", site.total, func(id string) time.Duration { return answered[id] }) != "" {
						noticed = now - start
					}
				}
				if now%(100*ms) == 0 {
					for _, p := range m.DueProbes(now, listed(site.total)) {
						if number(p.Upstream) >= lost && now > start {
							m.Reached(now, "s", p.Upstream)
						}
					}
				}
			}
			if noticed == 0 || noticed+200*ms > firstLapse-start {
				late++
			}
			if noticed != 0 {
				times = append(times, noticed)
			}
		}
		slices.Sort(times)
		if len(times) > 0 {
			t.Logf("noticed after %v (median), %v (latest), in %d of 40", times[len(times)/2], times[len(times)-1], len(times))
		}
		c.Check(late, qt.Equals, 0, qt.Commentf("of 40 losses are noticed later than 200 ms before the first keys lapse"))
	})
}
