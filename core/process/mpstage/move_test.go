package mpstage

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpview"
)

// Guards against pieces that are lost when the number of shards changes: those that wait in a queue
// of the earlier division must still be made.
func TestQueuesMoveWithoutLosingPieces(t *testing.T) {
	const (
		jobs   = 300
		pieces = 3
		// jobInterval loads the smaller of the two lists to about nine tenths.
		jobInterval = 6500 * time.Microsecond
	)
	few, many := usableRows(newRows(2, 2, 2, 2, 2, 2), ""), usableRows(newRows(5, 5, 5, 5, 5, 5), "")
	for name, c := range map[string]struct{ before, after *mplist.Usable }{
		"upstreams are added": {few, many},
		"upstreams are lost":  {many, few},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "first", Batch: &fleetFirst.spec}}})
				if err != nil {
					t.Fatal(err)
				}
				var usable atomic.Pointer[mplist.Usable]
				usable.Store(c.before)
				owner := NewOwner(ctx, OwnerConfig{
					Client: &fakeClient{freed: map[string]bool{}}, Quotas: noQuotas{}, Notices: mpnotice.New(), Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
				})
				owner.Update(table, c.before)
				router := NewRouter(RouterConfig{
					VM: "vm", Local: owner, View: mpview.Empty, Table: func() *mproute.Table { return table }, Usable: usable.Load, Logger: log.NewNopLogger(), Clock: time.Now,
				})
				before := router.division("first").count
				var wg sync.WaitGroup
				for i := range jobs {
					if i == jobs/2 {
						usable.Store(c.after)
						owner.Update(table, c.after)
					}
					spec := mpbatch.JobSpec{
						Request: fmt.Sprintf("%016x", i*7919), Count: pieces, Key: "k", ResultBytes: 1, DC: fmt.Sprint("dc", i%6),
						SoftDeadline: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute),
					}
					wg.Go(func() {
						results, err := router.Make(ctx, "first", spec)
						if err != nil || len(results) != pieces {
							t.Errorf("job %s: %d results: %v", spec.Request, len(results), err)
						}
					})
					<-time.After(jobInterval)
				}
				wg.Wait()
				if after := router.division("first").count; after == before {
					t.Errorf("the pool had %d shards before and after", before)
				}
			})
		})
	}
}
