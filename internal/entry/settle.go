package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// Limits on the attempts to record an outcome.
const (
	settleTimeout    = 3 * time.Second
	minSettleBackoff = 20 * time.Millisecond
	maxSettleBackoff = 5 * time.Second
	// maxSettleTime ends the attempts for an outcome that the ledger never
	// accepts.
	maxSettleTime = time.Hour
)

// settler records the outcomes of granted claims in the background. It retries
// until the ledger confirms.
type settler struct {
	ledger mustardramp.Ledger
	group  errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
}

func (s *settler) start(ledger mustardramp.Ledger) {
	s.ledger = ledger
	s.ctx, s.cancel = context.WithCancel(context.Background())
}

// settle starts to record an outcome.
func (s *settler) settle(settlement mustardramp.Settlement) {
	s.group.Go(func() error {
		s.settleWithRetries(settlement)
		return nil
	})
}

// settleWithRetries retries until the ledger confirms, maxSettleTime has passed
// or the host stops.
func (s *settler) settleWithRetries(settlement mustardramp.Settlement) {
	overall, cancelOverall := context.WithTimeout(s.ctx, maxSettleTime)
	defer cancelOverall()
	for backoff := minSettleBackoff; ; backoff = min(2*backoff, maxSettleBackoff) {
		ctx, cancel := context.WithTimeout(overall, settleTimeout)
		err := s.ledger.Settle(ctx, settlement)
		cancel()
		if err == nil {
			return
		}
		if !sleep(overall, backoff) {
			klog.ErrorS(err, "settlement-lost", "service", settlement.ID.Service, "caller", settlement.ID.Caller,
				"key", settlement.ID.Key, "outcome", settlement.Outcome.String())
			return
		}
	}
}

// stop waits until every outcome is recorded. If the context ends first, it
// abandons the rest.
func (s *settler) stop(ctx context.Context) error {
	unregister := context.AfterFunc(ctx, s.cancel)
	defer unregister()
	_ = s.group.Wait()
	s.cancel()
	return ctx.Err()
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
