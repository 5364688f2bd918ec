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

// Failover measures how long keys of a lost upstream or home go without an answer, on stand-ins in one process.
func Failover(folder string, rounds int) (*Table, error) {
	t := &Table{
		Name:    "failover",
		Columns: []string{"loss", "runs", "min-ms", "p50-ms", "p99-ms", "max-ms"},
	}
	losses := []struct {
		name string
		lose func(*tryout.Cluster, *rand.Rand) (key string, err error)
	}{
		{
			name: "upstream freezes",
			lose: freezeOwner,
		},
		{
			name: "upstream is killed",
			lose: killOwner,
		},
		{
			name: "home is killed",
			lose: killHome,
		},
	}
	for _, loss := range losses {
		var times []time.Duration
		for n := range rounds {
			d, err := oneLoss(fmt.Sprintf("%s/%s-%d", folder, strings.ReplaceAll(loss.name, " ", "-"), n), uint64(n), loss.lose)
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

func oneLoss(folder string, seed uint64, lose func(*tryout.Cluster, *rand.Rand) (string, error)) (time.Duration, error) {
	cluster, err := startCluster(folder, 1)
	if err != nil {
		return 0, err
	}
	defer cluster.Close()
	random := rand.New(rand.NewPCG(seed, 3))
	time.Sleep(3*time.Second + time.Duration(random.IntN(500))*time.Millisecond)
	key, err := lose(cluster, random)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	target := "http://" + cluster.Instances[0].Daemon.CallerAddress() + "/calendar/" + key
	if !tryout.WaitUntil(20*time.Second, func() bool { return answers(target) }) {
		return 0, fmt.Errorf("key %s is not served again after 20 s", key)
	}
	return time.Since(began), nil
}

func answers(target string) bool {
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

func ownerOf(cluster *tryout.Cluster, key string) (*schema.OwnerReply, error) {
	client, err := cluster.OperatorClient("operator")
	if err != nil {
		return nil, err
	}
	return client.Owner(context.Background(), "calendar", key)
}

func freezeOwner(cluster *tryout.Cluster, random *rand.Rand) (string, error) {
	key := fmt.Sprintf("seminar-%d", random.IntN(100000))
	owner, err := ownerOf(cluster, key)
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
	owner, err := ownerOf(cluster, key)
	if err != nil {
		return "", err
	}
	cluster.Upstreams[owner.GetUpstream()].Close()
	return key, nil
}

// killHome kills the home of a key's owner, never the first instance, through which the key is asked for.
func killHome(cluster *tryout.Cluster, random *rand.Rand) (string, error) {
	for range 1000 {
		key := fmt.Sprintf("seminar-%d", random.IntN(100000))
		owner, err := ownerOf(cluster, key)
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
	return "", fmt.Errorf("no key has its home on another instance")
}
