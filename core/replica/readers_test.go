package replica_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
	"cuminlift/core/replica"
)

// refusal plays a store that refuses the coordinator and some of its followers.
type refusal struct {
	readers    replica.Readers
	probes     []replica.Probes
	names      []string
	leadership *authority.Leadership
	// probed counts probes, and reading the instances that read the store in the last heartbeat.
	probed, reading int
	// earlier plays followers of a coordinator that tells all of them that the store fails.
	earlier bool
}

func newRefusal(followers int) *refusal {
	r := &refusal{
		probes:     make([]replica.Probes, followers),
		leadership: authority.NewLeadership(0),
	}
	for i := range followers {
		r.names = append(r.names, fmt.Sprintf("i%03d", i))
	}
	r.leadership.SetMembers(r.names)
	return r
}

// heartbeat plays one heartbeat to all followers at now. reaches tells which of them reach the store.
func (r *refusal) heartbeat(now time.Duration, reaches func(i int) bool) {
	count := r.readers.Count()
	if count == 0 || r.earlier {
		count = len(r.names)
	}
	var connected []replica.Reader
	r.reading = 0
	for i, name := range r.names {
		p := &r.probes[i]
		if r.earlier || r.readers.Reads(name) {
			r.reading++
			if p.Due(now, count, float64(i*37%len(r.names))/float64(len(r.names))) {
				r.probed++
				p.Ended(now+20*time.Millisecond, reaches(i))
			}
		}
		connected = append(connected, replica.Reader{
			Name:    name,
			Reached: p.Reached(now),
		})
		r.leadership.Acknowledged(name, now, p.Reached(now))
	}
	r.readers.Choose(now+10*time.Millisecond, connected)
}

// TestRefusedCoordinatorResignsAsFastWhateverTheNumberOfInstances guards against a coordinator that stays for seconds because its
// followers probe the store less often than their reports last, and against store calls by all of them.
func TestRefusedCoordinatorResignsAsFastWhateverTheNumberOfInstances(t *testing.T) {
	const from = 10 * time.Second
	for _, followers := range []int{2, 9, 65, 300} {
		for _, earlier := range []bool{false, true} {
			c := qt.New(t)
			r := newRefusal(followers)
			r.earlier = earlier
			r.leadership.RenewalFailed(from)
			now := from
			for resigns := false; !resigns && now < from+20*time.Second; now += authority.HeartbeatInterval {
				r.heartbeat(now, func(i int) bool { return i%3 > 0 || followers < 3 })
				resigns = r.leadership.ShouldResign(now)
			}
			comment := qt.Commentf("%d followers, all told %v: %v, %d probes, %d read at the end", followers, earlier, now-from, r.probed, r.reading)
			c.Check(now-from <= 2400*time.Millisecond, qt.IsTrue, comment)
			c.Check(float64(r.probed) <= 21*(now-from).Seconds()+4, qt.IsTrue, comment)
			c.Check(earlier || r.reading <= 3, qt.IsTrue, comment)
			t.Log(comment.String())
		}
	}
}

// TestFewReadersAreReplacedOnceTheStoreRefusesThem guards against an outdated coordinator whose readers lose the store one after the
// other, or are refused from the start, while one other instance reaches it.
func TestFewReadersAreReplacedOnceTheStoreRefusesThem(t *testing.T) {
	c := qt.New(t)
	for _, reaching := range []int{0, 7, 64} {
		r := newRefusal(65)
		now := 10 * time.Second
		until := func(limit time.Duration, reaches func(i int) bool) bool {
			for end := now + limit; now < end; now += authority.HeartbeatInterval {
				r.heartbeat(now, reaches)
				if r.reading <= 3 && r.readers.Reads(r.names[reaching]) && r.probes[reaching].Reached(now) {
					return true
				}
			}
			return false
		}
		c.Check(until(5*time.Second, func(i int) bool { return i == reaching }), qt.IsTrue, qt.Commentf("only %d", reaching))
		until(2*time.Second, func(i int) bool { return i == 20 })
		c.Check(until(6*time.Second, func(i int) bool { return i == reaching }), qt.IsTrue, qt.Commentf("%d again", reaching))
	}
}

// TestAFailedProbeEndsTheReport guards against a coordinator that resigns although the store is lost for all.
func TestAFailedProbeEndsTheReport(t *testing.T) {
	c := qt.New(t)
	p := &replica.Probes{}
	c.Check(p.Reached(0), qt.IsFalse)
	c.Check(p.Due(time.Second, 1, 0), qt.IsTrue)
	c.Check(p.Due(time.Second, 1, 0), qt.IsFalse, qt.Commentf("one is running"))
	p.Ended(time.Second, true)
	c.Check(p.Reached(1500*time.Millisecond), qt.IsTrue)
	c.Check(p.Due(1500*time.Millisecond, 1, 0), qt.IsTrue)
	p.Ended(1500*time.Millisecond, false)
	c.Check(p.Reached(1500*time.Millisecond), qt.IsFalse)
	c.Check(p.Due(1800*time.Millisecond, 1, 0), qt.IsTrue)
	p.Ended(1800*time.Millisecond, true)
	c.Check(p.Reached(5*time.Second), qt.IsFalse, qt.Commentf("nobody has asked since"))
}
