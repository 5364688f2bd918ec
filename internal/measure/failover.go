package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"time"

	"cuminlift/internal/tryout"
	"cuminlift/schema"
)

func sortDurations(times []time.Duration) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
}

// Failover measures how long keys are unavailable after the failure of their upstream or of its home instance, in one
// process with stand-ins for platform and upstreams.
func Failover(folder string, rounds int) (*Table, error) {
	t := &Table{
		Name:    "failover",
		Columns: []string{"loss", "runs", "min-ms", "p50-ms", "p99-ms", "max-ms"},
	}
	losses := []struct {
		name   string
		inject func(*tryout.Cluster, *rand.Rand) (key string, err error)
	}{
		{
			name:   "upstream freezes",
			inject: freezeOwner,
		},
		{
			name:   "upstream is killed",
			inject: killOwner,
		},
		{
			name:   "home is killed",
			inject: killHome,
		},
	}
	for _, loss := range losses {
		var times []time.Duration
		for n := range rounds {
			d, err := timeFailover(fmt.Sprintf("%s/%s-%d", folder, strings.ReplaceAll(loss.name, " ", "-"), n), uint64(n), loss.inject)
			if err != nil {
				return nil, err
			}
			times = append(times, d)
		}
		sortDurations(times)
		t.Add(loss.name, rounds, milliseconds(times[0]), milliseconds(quantileOf(times, 0.5)), milliseconds(quantileOf(times, 0.99)),
			milliseconds(times[len(times)-1]))
	}
	return t, nil
}

// timeFailover starts a cluster, injects one failure and returns the time until the affected key is served again.
func timeFailover(folder string, seed uint64, inject func(*tryout.Cluster, *rand.Rand) (string, error)) (time.Duration, error) {
	cluster, err := startCluster(folder, 1)
	if err != nil {
		return 0, err
	}
	defer cluster.Close()
	random := rand.New(rand.NewPCG(seed, 3))
	time.Sleep(3*time.Second + time.Duration(random.IntN(500))*time.Millisecond)
	key, err := inject(cluster, random)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	target := "http://" + cluster.Instances[0].Daemon.Callers() + "/calendar/" + key
	if !tryout.WaitUntil(20*time.Second, func() bool { return respondsOK(target) }) {
		return 0, fmt.Errorf("key %s is not served again after 20 s", key)
	}
	return time.Since(began), nil
}

// respondsOK reports whether target answers with status 200 within 300 ms.
func respondsOK(target string) bool {
	client := &http.Client{
		Timeout: 300 * time.Millisecond,
	}
	response, err := client.Get(target)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

func queryOwner(cluster *tryout.Cluster, key string) (*schema.OwnerReply, error) {
	client, err := cluster.OperatorClient("operator")
	if err != nil {
		return nil, err
	}
	return client.Owner(context.Background(), "calendar", key)
}

func freezeOwner(cluster *tryout.Cluster, random *rand.Rand) (string, error) {
	key := fmt.Sprintf("seminar-%d", random.IntN(100000))
	owner, err := queryOwner(cluster, key)
	if err != nil {
		return "", err
	}
	cluster.Upstreams[owner.GetUpstream()].SetFaults(&schema.UpstreamFaults{
		Frozen: true,
	})
	return key, nil
}

func killOwner(cluster *tryout.Cluster, random *rand.Rand) (string, error) {
	key := fmt.Sprintf("seminar-%d", random.IntN(100000))
	owner, err := queryOwner(cluster, key)
	if err != nil {
		return "", err
	}
	cluster.Upstreams[owner.GetUpstream()].Close()
	return key, nil
}

// killHome kills the home instance of some key's owner. It never kills the first instance, which the probes are sent to.
func killHome(cluster *tryout.Cluster, random *rand.Rand) (string, error) {
	for range 1000 {
		key := fmt.Sprintf("seminar-%d", random.IntN(100000))
		owner, err := queryOwner(cluster, key)
		if err != nil {
			return "", err
		}
		for _, i := range cluster.Instances[1:] {
			if i.Daemon.Self().GetId() == owner.GetHome() {
				i.Kill()
				return key, nil
			}
		}
	}
	return "", fmt.Errorf("no key found whose home is not the first instance")
}
