package gateway_test

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/internal/gateway"
	"cuminlift/schema"
)

// leaseReads counts reads of the lease, and calls first at the first one.
type leaseReads struct {
	cuminlift.RowStore
	first func()

	mutex sync.Mutex
	count int
}

func (s *leaseReads) Rows(ctx context.Context, table, part string) (cuminlift.RowPage, error) {
	page, err := s.RowStore.Rows(ctx, table, part)
	if table == "gateway-lease" {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.count++
		if s.count == 1 {
			s.first()
		}
	}
	return page, err
}

// TestFirstLeaseIsLeftToAFitterInstance guards against a deployment whose first coordinator is too small, because it looked for the
// others before they had registered.
func TestFirstLeaseIsLeftToAFitterInstance(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.adjust = func(settings *gateway.Settings) {
		settings.CPUShare = 0.1
		settings.LinkMbps = 1
	}
	row, err := proto.Marshal(&schema.InstanceRow{
		Name:        "n1",
		Address:     "127.0.0.1:1",
		CpuPermille: 800,
		LinkMbps:    200,
	})
	c.Assert(err, qt.IsNil)
	reads := &leaseReads{
		RowStore: k.rows,
		first:    func() { k.put("gateway-instances", "n1", string(row)) },
	}
	k.rows = reads
	k.start("n0")
	eventually(func() bool {
		page, err := k.store.Rows(context.Background(), "gateway-lease", "")
		return err == nil && len(page.Rows) == 1
	})
	reads.mutex.Lock()
	defer reads.mutex.Unlock()
	c.Check(reads.count > 1, qt.IsTrue, qt.Commentf("the lease was taken at the first read"))
}
