package quorum

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/journal"
)

// noopMachine is a state machine without state.
type noopMachine struct{}

func (noopMachine) Apply(mustardramp.Index, []byte) []byte { return nil }
func (noopMachine) Snapshot() ([]byte, error)              { return nil, nil }
func (noopMachine) Restore([]byte) error                   { return nil }

const commandBytes = 200

// BenchmarkCommit measures commits proposed to a follower in a group of three
// members, over TCP on loopback and with real files and syncs.
func BenchmarkCommit(b *testing.B) {
	for _, concurrent := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("concurrent=%d", concurrent), func(b *testing.B) {
			members := startLinkedMembers(b, 3, b.TempDir(), func() mustardramp.StateMachine { return noopMachine{} })
			follower := waitForFollower(b, members)
			measure(b, concurrent, func(int64) error {
				_, err := follower.group.Propose(b.Context(), make([]byte, commandBytes))
				return err
			})
		})
	}
}

func waitForFollower(b *testing.B, members []*linkedMember) *linkedMember {
	b.Helper()
	if _, err := members[0].group.Propose(b.Context(), nil); err != nil {
		b.Fatal(err)
	}
	for _, m := range members {
		if !m.group.Status().IsLeading() {
			return m
		}
	}
	b.Fatal("got no follower, want two")
	return nil
}

// BenchmarkClaim measures claims of new keys by an entry host against a ledger of
// three members, over TCP on loopback and with real files and syncs.
func BenchmarkClaim(b *testing.B) {
	for _, concurrent := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("concurrent=%d", concurrent), func(b *testing.B) {
			client := newLedgerGroup(b, b.TempDir()).client("entry-1")
			if _, err := client.Claim(b.Context(), groupClaim("entry-1", -1)); err != nil {
				b.Fatal(err)
			}
			measure(b, concurrent, func(number int64) error {
				reply, err := client.Claim(b.Context(), groupClaim("entry-1", number))
				if err == nil && reply.State != mustardramp.ClaimGranted {
					return fmt.Errorf("got state %d, want a grant", reply.State)
				}
				return err
			})
		})
	}
}

// baselineSyncs is the number of batches that reportSync syncs.
const baselineSyncs = 200

// reportSync measures the time that one journal takes to sync one batch, as a
// baseline from the same disk and run.
func reportSync(b *testing.B) {
	b.Helper()
	j, _, err := journal.Open(disk.System{}, b.TempDir(), journal.Options{})
	if err != nil {
		b.Fatal(err)
	}
	syncs := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for range baselineSyncs {
		start := time.Now()
		if err := j.Append(make([]byte, commandBytes)); err != nil {
			b.Fatal(err)
		}
		if err := syncs.RecordValue(time.Since(start).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	if err := j.Close(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(syncs.ValueAtQuantile(50))/1000, "sync-p50-ms")
	b.ReportMetric(float64(syncs.ValueAtQuantile(99))/1000, "sync-p99-ms")
}

// measure performs b.N operations and reports their latency. The second parameter
// is the number of concurrent operations.
func measure(b *testing.B, concurrent int, do func(number int64) error) {
	b.Helper()
	var left atomic.Int64
	left.Store(int64(b.N))
	histograms := make([]*hdrhistogram.Histogram, concurrent)
	var work errgroup.Group
	b.ResetTimer()
	for i := range concurrent {
		histograms[i] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		work.Go(func() error {
			for number := left.Add(-1); number >= 0; number = left.Add(-1) {
				start := time.Now()
				if err := do(number); err != nil {
					return err
				}
				if err := histograms[i].RecordValue(time.Since(start).Microseconds()); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := work.Wait(); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	all := histograms[0]
	for _, h := range histograms[1:] {
		all.Merge(h)
	}
	b.ReportMetric(float64(all.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(all.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "operations/s")
	reportSync(b)
}

// BenchmarkFailover measures the time from the stop of the leader to the first
// commit through another member.
func BenchmarkFailover(b *testing.B) {
	worst := time.Duration(0)
	total := time.Duration(0)
	for range b.N {
		b.StopTimer()
		members := startLinkedMembers(b, 3, b.TempDir(), func() mustardramp.StateMachine { return noopMachine{} })
		follower := waitForFollower(b, members)
		b.StartTimer()
		start := time.Now()
		for _, m := range members {
			if m.group.Status().IsLeading() {
				m.stop()
			}
		}
		for {
			if _, err := follower.group.Propose(b.Context(), nil); err == nil {
				break
			}
		}
		took := time.Since(start)
		total += took
		worst = max(worst, took)
		b.StopTimer()
		for _, m := range members {
			m.stop()
		}
		b.StartTimer()
	}
	b.ReportMetric(total.Seconds()/float64(b.N), "mean-s")
	b.ReportMetric(worst.Seconds(), "max-s")
}
