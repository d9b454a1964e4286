package linkquota

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// answerWeight is the weight of a new answer in the moving mean of answer sizes.
const answerWeight = 0.05

// Link limits one host's part of the link in both directions: requests go out,
// answers come back. Its zero value has no limit.
type Link struct {
	out, back Meter
}

// Configure replaces the rate of the link in each direction, in bytes per second,
// and the number of hosts that share it.
func (l *Link) Configure(rate mustardramp.Bytes, hosts int) {
	l.out.Configure(rate, hosts)
	l.back.Configure(rate, hosts)
}

// Service limits the requests of one service on a Link that all services of the
// host share. It expects each answer to have the mean size of its rank.
type Service struct {
	Link *Link
	// answers holds the mean answer size by rank, in bytes.
	answers [mustardramp.RankCount]atomic.Int64
}

// Allow charges a request and its expected answer, or reports false when the rank
// has no capacity left in either direction. A size below 0 means that the size is
// unknown.
func (s *Service) Allow(rank mustardramp.Rank, size mustardramp.Bytes, now time.Time) bool {
	if !s.HasCapacity(rank, now) || !s.Link.out.Allow(rank, size, now) {
		return false
	}
	s.Link.back.Charge(rank, mustardramp.Bytes(s.answers[rank].Load()), now)
	return true
}

// HasCapacity reports whether the rank has capacity left in both directions. It
// charges nothing.
func (s *Service) HasCapacity(rank mustardramp.Rank, now time.Time) bool {
	return s.Link.back.buckets[rank].hasCapacity(now) && s.Link.out.buckets[rank].hasCapacity(now)
}

// Learn updates the mean answer size of a rank. Answers from any region count.
func (s *Service) Learn(rank mustardramp.Rank, size mustardramp.Bytes) {
	mean := &s.answers[rank]
	old := mean.Load()
	if old == 0 {
		mean.Store(int64(size))
		return
	}
	mean.Store(old + int64(answerWeight*float64(int64(size)-old)))
}
