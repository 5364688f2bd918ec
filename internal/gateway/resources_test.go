package gateway_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/internal/gateway"
	"cuminlift/schema"
)

// TestInstanceRowHoldsTheResources guards against an instance whose link is unknown to the others, which then rank it by its CPU share
// alone.
func TestInstanceRowHoldsTheResources(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.adjust = func(settings *gateway.Settings) {
		settings.CPUShare = 0.4
		settings.LinkMbps = 10
		settings.MemoryBytes = 184 << 20
		settings.MaxFDs = 512
	}
	k.start("n0")
	eventually(func() bool { return len(k.instanceRows()) == 1 })
	page, err := k.store.Rows(context.Background(), "gateway-instances", "")
	c.Assert(err, qt.IsNil)
	row := &schema.InstanceRow{}
	c.Assert(proto.Unmarshal(page.Rows[0].Value, row), qt.IsNil)
	c.Check(row.GetCpuPermille(), qt.Equals, uint32(400))
	c.Check(row.GetLinkMbps(), qt.Equals, uint32(10))
	c.Check(row.GetMemoryMb(), qt.Equals, uint32(184))
	c.Check(row.GetMaxFds(), qt.Equals, uint32(512))
}
