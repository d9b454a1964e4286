package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// Bounds of the attempts to have an outcome recorded.
const (
	settleTimeout    = 3 * time.Second
	firstSettlePause = 20 * time.Millisecond
	lastSettlePause  = 5 * time.Second
	// settleSpan ends the attempts for an outcome that the ledger never takes.
	settleSpan = time.Hour
)

// settler has the outcomes of granted claims recorded, beside the requests
// that brought them. It goes on until the ledger confirms.
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

// settle has an outcome recorded.
func (s *settler) settle(settlement mustardramp.Settlement) {
	s.group.Go(func() error {
		s.repeat(settlement)
		return nil
	})
}

// repeat tries until the ledger confirms, settleSpan has passed or the host
// stops.
func (s *settler) repeat(settlement mustardramp.Settlement) {
	span, end := context.WithTimeout(s.ctx, settleSpan)
	defer end()
	for pause := firstSettlePause; ; pause = min(2*pause, lastSettlePause) {
		ctx, cancel := context.WithTimeout(span, settleTimeout)
		err := s.ledger.Settle(ctx, settlement)
		cancel()
		if err == nil {
			return
		}
		if !pauseFor(span, pause) {
			klog.ErrorS(err, "settlement-lost", "service", settlement.ID.Service, "caller", settlement.ID.Caller,
				"key", settlement.ID.Key, "outcome", settlement.Outcome.String())
			return
		}
	}
}

// stop waits until every outcome is recorded, or until the context ends.
func (s *settler) stop(ctx context.Context) error {
	release := context.AfterFunc(ctx, s.cancel)
	defer release()
	_ = s.group.Wait()
	s.cancel()
	return ctx.Err()
}

// pauseFor reports false when the context ended first.
func pauseFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
