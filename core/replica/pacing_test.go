package replica_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/replica"
)

// TestReadsOfHundredsOfInstancesAreSpread replays the loss of a coordinator: all instances read the store for themselves for
// eight seconds, in which the upstreams' table changes all the time.
func TestReadsOfHundredsOfInstancesAreSpread(t *testing.T) {
	c := qt.New(t)
	const outage = 8 * time.Second
	reads := func(instances int) float64 {
		pause := replica.ReadPause(instances)
		if pause == 0 {
			return 0
		}
		return float64(instances) * float64(outage/pause) / outage.Seconds()
	}
	c.Check(reads(10) <= 400, qt.IsTrue)
	c.Check(reads(295) <= 400, qt.IsTrue, qt.Commentf("%.0f reads a second", reads(295)))
	// Changes of upstreams must be in force within two seconds, also where instances are few or thousands.
	c.Check(replica.ReadPause(4000) <= time.Second, qt.IsTrue)
	c.Check(replica.ReadPause(10) <= 100*time.Millisecond, qt.IsTrue)
	// One of the instances probes within 100 ms, whatever their number.
	for _, instances := range []int{10, 295, 4000} {
		between := replica.ProbePause(instances) / time.Duration(instances)
		c.Check(between <= 100*time.Millisecond, qt.IsTrue)
		c.Check(between >= 20*time.Millisecond, qt.IsTrue)
	}
}
