package entry

import (
	"context"
	"sync/atomic"
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
	// maxDisowned bounds the claims that are disowned at one time.
	maxDisowned = 1024
)

// settler has the outcomes of granted claims recorded, beside the requests
// that brought them. It goes on until the ledger confirms.
type settler struct {
	ledger mustardramp.Ledger
	group  errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	// disowned counts the claims that are being disowned.
	disowned atomic.Int64
}

func (s *settler) start(ledger mustardramp.Ledger) {
	s.ledger = ledger
	s.ctx, s.cancel = context.WithCancel(context.Background())
}

// settle has an outcome recorded.
func (s *settler) settle(settlement mustardramp.Settlement) {
	s.group.Go(func() error {
		s.repeat(settlement, func(ctx context.Context) error {
			return s.ledger.Settle(ctx, settlement)
		})
		return nil
	})
}

// disown settles a claim whose reply was lost, if it was granted. Nothing was
// sent under it. Beyond maxDisowned a claim stays as it is, and its key is
// refused until an operator settles it.
func (s *settler) disown(claim mustardramp.Claim) {
	if s.disowned.Add(1) > maxDisowned {
		s.disowned.Add(-1)
		klog.InfoS("claim-left", "service", claim.ID.Service, "caller", claim.ID.Caller, "key", claim.ID.Key)
		return
	}
	s.group.Go(func() error {
		defer s.disowned.Add(-1)
		settlement := unsent(claim)
		s.repeat(settlement, func(ctx context.Context) error {
			reply, err := s.ledger.Claim(ctx, claim)
			if err != nil || reply.State != mustardramp.ClaimGranted {
				return err
			}
			settlement.Attempt = reply.Attempt
			return s.ledger.Settle(ctx, settlement)
		})
		return nil
	})
}

func unsent(claim mustardramp.Claim) mustardramp.Settlement {
	return mustardramp.Settlement{
		ID:          claim.ID,
		Home:        claim.Home,
		Host:        claim.Host,
		Incarnation: claim.Incarnation,
		Outcome:     mustardramp.NotRun,
	}
}

// repeat tries until the ledger confirms, settleSpan has passed or the host
// stops.
func (s *settler) repeat(about mustardramp.Settlement, try func(context.Context) error) {
	span, end := context.WithTimeout(s.ctx, settleSpan)
	defer end()
	for pause := firstSettlePause; ; pause = min(2*pause, lastSettlePause) {
		ctx, cancel := context.WithTimeout(span, settleTimeout)
		err := try(ctx)
		cancel()
		if err == nil {
			return
		}
		if !pauseFor(span, pause) {
			klog.ErrorS(err, "settlement-lost", "service", about.ID.Service, "caller", about.ID.Caller,
				"key", about.ID.Key, "outcome", about.Outcome.String())
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
