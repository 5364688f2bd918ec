package daemon_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"cuminlift/core/assign"
	"cuminlift/core/ownership"
	"cuminlift/internal/daemon"
	"cuminlift/schema"
)

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"instance":"entry-1","zone":"zone-a"}`))
	f.Add([]byte(`{"callers":"10.0.0.1:80","tls":{}}`))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := daemon.ParseSettings(text)
		if err == nil && settings.GetTls() == nil {
			t.Fatal("settings without TLS files passed validation")
		}
	})
}

// FuzzEvents steps a guardian with arbitrary events of the kinds that peers, upstreams and the platform cause.
func FuzzEvents(f *testing.F) {
	for _, event := range []*schema.OwnershipEvent{
		{
			Kind: schema.EventKind_heard,
			View: &schema.View{
				Service:  "calendar",
				From:     "entry-2/1",
				Sequence: 1,
				Document: &schema.Ownership{
					Version: 3,
					Guardians: []*schema.Member{{
						Id: "entry-1/1",
					}},
					Pools: []*schema.Pool{{
						Zone: "zone-a",
						Home: "entry-1/1",
					}},
					Holders: []*schema.Holder{{
						Name: "calendar-1",
						Zone: "zone-a",
					}},
					Slices: []*schema.Slice{{
						Owner: "calendar-1",
					}},
				},
			},
		},
		{
			Kind:    schema.EventKind_read,
			Outcome: schema.WriteOutcome_committed,
			Document: &schema.Ownership{
				Version: 9,
				Holders: []*schema.Holder{{
					Name: "calendar-1",
					Zone: "zone-without-pool",
				}},
				Slices: []*schema.Slice{{
					Owner:    "calendar-1",
					Previous: []string{"nobody"},
				}},
			},
		},
		{
			Kind: schema.EventKind_replied,
			Reply: &schema.GrantReply{
				Upstream: "calendar-1",
				Sequence: 1,
			},
		},
	} {
		content, err := proto.Marshal(event)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(_ *testing.T, content []byte) {
		event := &schema.OwnershipEvent{}
		if proto.Unmarshal(content, event) != nil {
			return
		}
		g := newGuardian()
		tick := &schema.OwnershipEvent{
			Kind: schema.EventKind_tick,
		}
		for step := range 5 {
			g.Step(ownership.DefaultTiming().HeartbeatInterval*10*1<<step, event)
			g.Step(ownership.DefaultTiming().HeartbeatInterval*11*1<<step, tick)
		}
		g.Route(1)
		g.OwnerLease(0, 1)
	})
}

func newGuardian() *ownership.Guardian {
	self := &schema.Member{
		Id:   "entry-1/1",
		Name: "entry-1",
		Zone: "zone-a",
	}
	g := ownership.NewGuardian(ownership.Config{
		Self:    self,
		Service: "calendar",
		Timing:  ownership.DefaultTiming(),
		Keyed:   true,
		Planner: assign.NewPlanner(assign.Config{
			Keyed: true,
		}),
	})
	g.Step(1, &schema.OwnershipEvent{
		Kind: schema.EventKind_listed,
		Facts: &schema.Facts{
			Members: []*schema.Member{self},
		},
	})
	return g
}
