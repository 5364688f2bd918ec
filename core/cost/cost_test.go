package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/cost"
)

// tailed returns a work that varies by half around a mean. Two of 100 works are seven times as long.
func tailed(random *rand.Rand, mean time.Duration) time.Duration {
	work := float64(mean) / 1.12 * (0.5 + random.Float64())
	if random.Float64() < 0.02 {
		work *= 7
	}
	return time.Duration(work)
}

func checkNear(c *qt.C, got, want, tolerance float64) {
	c.Helper()
	c.Check(math.Abs(got/want-1) <= tolerance, qt.IsTrue, qt.Commentf("%v, expected %v", got, want))
}

// TestClassesAndSpeedsAreToldApart guards against one average of requests of 180 and 1,000 ms on upstreams of different speed.
func TestClassesAndSpeedsAreToldApart(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var m cost.Model
	short, long := m.Class("short", 800*time.Millisecond), m.Class("long", 3*time.Second)
	factors := []float64{1 / 0.6, 1, 1 / 1.6}
	speeds := make([]cost.Speed, len(factors))
	now := time.Duration(0)
	for range 2000 {
		now += 5 * time.Millisecond
		class, mean := short, 180*time.Millisecond
		if random.IntN(4) == 0 {
			class, mean = long, time.Second
		}
		i := random.IntN(len(factors))
		took := time.Duration(float64(tailed(random, mean)) * factors[i])
		work := time.Duration(float64(took) / speeds[i].Factor())
		speeds[i].Observe(class, class.Expect(0, 0), took)
		class.Observe(now, 0, 0, work)
	}
	checkNear(c, float64(long.Work.Mean())/float64(short.Work.Mean()), 1000.0/180, 0.2)
	checkNear(c, speeds[0].Factor()/speeds[2].Factor(), 1.6/0.6, 0.25)
	for i, factor := range factors {
		checkNear(c, float64(short.Work.Mean())*speeds[i].Factor(), 180e6*factor, 0.3)
	}
	// Without the tail, no work exceeds 1.5 times the mean. What has taken longer is one of the long ones.
	c.Check(short.Work.Quantile(0.9) < 2*short.Work.Mean(), qt.IsTrue)
	c.Check(short.Work.Quantile(0.995) > 3*short.Work.Mean(), qt.IsTrue)
	c.Check(short.Work.Remaining(400*time.Millisecond) > 2*short.Work.Mean(), qt.IsTrue)
	c.Check(short.Work.Remaining(100*time.Millisecond) < short.Work.Mean(), qt.IsTrue)
}

// TestFirstRequestsHaveReasonableEstimates guards against the default of 100 ms for requests with an objective of 3 s.
func TestFirstRequestsHaveReasonableEstimates(t *testing.T) {
	c := qt.New(t)
	var m cost.Model
	class := m.Class("long", 3*time.Second)
	checkNear(c, class.Expect(0, 0).Seconds(), 0.84, 0.2)
	for i := range 20 {
		class.Observe(time.Duration(i)*time.Millisecond, 0, 0, 200*time.Millisecond)
	}
	checkNear(c, class.Expect(0, 0).Seconds(), 0.2, 0.4)
	class.Learn(time.Second, time.Second/2, 1000)
	c.Check(class.Expect(0, 0) > 500*time.Millisecond, qt.IsTrue)
	var speed cost.Speed
	speed.Learn(2, 100)
	checkNear(c, speed.Factor(), 2, 0.2)
}

// TestOldObservationsAreForgotten guards against estimates that follow a change of the work only after minutes.
func TestOldObservationsAreForgotten(t *testing.T) {
	c := qt.New(t)
	var m cost.Model
	class := m.Class("a", time.Second)
	now := time.Duration(0)
	observe := func(n int, work time.Duration) {
		for range n {
			now += 10 * time.Millisecond
			class.Observe(now, 0, 0, work)
		}
	}
	observe(3000, 100*time.Millisecond)
	observe(400, 400*time.Millisecond)
	checkNear(c, class.Work.Mean().Seconds(), 0.4, 0.15)
	now += time.Hour
	observe(10, 50*time.Millisecond)
	c.Check(class.Work.Mean() < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", class.Work.Mean()))
}

// TestModelIsBounded guards against memory that grows with the number of classes or keys.
func TestModelIsBounded(t *testing.T) {
	c := qt.New(t)
	var m cost.Model
	classes := map[*cost.Class]bool{}
	for i := range 5000 {
		classes[m.Class(fmt.Sprint(i), time.Second)] = true
	}
	c.Check(len(classes) < 100, qt.IsTrue, qt.Commentf("%d classes", len(classes)))
}

// TestKeysAndSizesThatStandOut covers a key whose requests take four times as long as the others, and large bodies that do.
func TestKeysAndSizesThatStandOut(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	var m cost.Model
	class := m.Class("a", time.Second)
	for i := range 4000 {
		key, bytes, mean := uint32(random.IntN(60000)+100), 100, 100*time.Millisecond
		switch random.IntN(10) {
		case 0:
			key, mean = 7, 4*mean
		case 1:
			bytes, mean = 1<<20, 4*mean
		}
		class.Observe(time.Duration(i)*time.Millisecond, key, bytes, tailed(random, mean))
	}
	checkNear(c, class.Expect(7, 100).Seconds(), 0.4, 0.45)
	checkNear(c, class.Expect(8, 1<<20).Seconds(), 0.4, 0.45)
	c.Check(class.Expect(8, 100) < 200*time.Millisecond, qt.IsTrue)
}

// TestReportsCountWhileTheyAreNew covers load reports that are old, and an upstream that always reports the same wrong figure.
func TestReportsCountWhileTheyAreNew(t *testing.T) {
	c := qt.New(t)
	var speed cost.Speed
	for i := range 200 {
		speed.Report(time.Duration(i)*10*time.Millisecond, 300)
	}
	checkNear(c, speed.Present(2*time.Second), 1, 0.05)
	speed.Report(2*time.Second, 900)
	c.Check(speed.Present(2*time.Second) > 2.5, qt.IsTrue)
	c.Check(speed.Present(2500*time.Millisecond) < 1.3, qt.IsTrue)
}

// TestObserverListsWhatOthersLearn covers a coordinator that begins with the estimates of other instances.
func TestObserverListsWhatOthersLearn(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	var o cost.Observer
	for i := range 3000 {
		u := random.IntN(40)
		took := tailed(random, 200*time.Millisecond)
		if u == 7 {
			took *= 2
		}
		o.Observe(time.Duration(i)*time.Millisecond, cost.Answer{
			Service:     "calendar",
			Class:       "a",
			Upstream:    fmt.Sprint(u),
			Incarnation: 1,
			Took:        took,
		})
	}
	classes, speeds := o.List(func(string) bool { return true })
	c.Assert(classes, qt.HasLen, 1)
	checkNear(c, classes[0].Mean.Seconds(), 0.2, 0.25)
	c.Check(len(speeds) > 10 && len(speeds) < 40, qt.IsTrue, qt.Commentf("%d listed", len(speeds)))
	for _, speed := range speeds {
		if speed.Upstream == "7" {
			checkNear(c, speed.Factor, 2, 0.4)
		}
	}
	classes, _ = o.List(func(string) bool { return false })
	c.Check(classes, qt.HasLen, 0)
}
