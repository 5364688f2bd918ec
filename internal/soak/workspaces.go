package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"cuminlift/core/workspace"
	"cuminlift/internal/standin/backend"
)

// The workspaces of a run. A caller with unknownKey has none.
const (
	ordinaryWorkspace = "ordinary"
	LimitedWorkspace  = "limited"
	unknownKey        = "key-unknown"
)

// Quota of LimitedWorkspace, and the bounds of the platform's settings for it.
const (
	limitedRate, limitedBurst = 5, 10
	quotaWindow               = 5 * time.Second
	quotaOver, quotaSlack     = 0.1, 20
)

func (k *cluster) workspaces() []workspace.Entry {
	if k.history.NoWorkspaces {
		return nil
	}
	return []workspace.Entry{
		{
			Workspace: workspace.Workspace{
				Name: ordinaryWorkspace,
			},
			Keys: []string{"key-" + ordinaryWorkspace},
		},
		{
			Workspace: workspace.Workspace{
				Name:  LimitedWorkspace,
				Rate:  limitedRate,
				Burst: limitedBurst,
			},
			Keys: []string{"key-" + LimitedWorkspace},
		},
	}
}

// drawWorkspace returns the workspace of a request, empty for none, and the key to send. One in ten belongs to LimitedWorkspace, and one in
// fifty has an unknown key.
func drawWorkspace(random *rand.Rand) (name, key string) {
	switch n := random.IntN(50); {
	case n == 0:
		return "", unknownKey
	case n <= 5:
		return LimitedWorkspace, "key-" + LimitedWorkspace
	}
	return ordinaryWorkspace, "key-" + ordinaryWorkspace
}

// checkWorkspaces has no excuse.
func checkWorkspaces(h *History) []Violation {
	var found []Violation
	runs := begun(h)
	for _, r := range h.Results {
		for _, e := range runs[r.Request] {
			if e.Workspace != r.Workspace || (r.Workspace == "" && !h.NoWorkspaces) {
				found = append(found, Violation{
					At:    e.At,
					Story: []string{fmt.Sprintf("%s for workspace %q, asked by %q", describe(e), e.Workspace, r.Workspace)},
				})
			}
		}
		wrong := r.Status == http.StatusUnauthorized
		if r.Workspace == "" && !h.NoWorkspaces {
			wrong = !wrong && r.Status != http.StatusServiceUnavailable // An instance without a configuration knows no keys.
		}
		if r.Outcome == Answered && wrong {
			found = append(found, Violation{
				At:    r.EndedAt,
				Story: []string{fmt.Sprintf("%s instance %d answers %s of workspace %q with %d", clockText(r.EndedAt), r.Instance, r.Request, r.Workspace, r.Status)},
			})
		}
	}
	return found
}

// checkQuota excuses requests that were held up on their way.
func checkQuota(h *History) []Violation {
	var found []Violation
	var window []backend.Event
	most := int((limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOver) + quotaSlack)
	for _, e := range h.Events {
		if e.Kind != backend.Begun || e.Workspace != LimitedWorkspace {
			continue
		}
		window = append(window, e)
		for e.At-window[0].At >= quotaWindow.Nanoseconds() {
			window = window[1:]
		}
		if len(window) > most && !h.overlaps(window[0].At-contact.Nanoseconds(), e.At, holdups) {
			found = append(found, Violation{
				At:    e.At,
				Story: []string{describe(window[0]), fmt.Sprintf("%s is request %d since then, of at most %d", describe(e), len(window), most)},
			})
		}
	}
	return found
}
