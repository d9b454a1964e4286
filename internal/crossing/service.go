package crossing

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// answerWeight is the weight of a new answer in the moving mean of sizes.
const answerWeight = 0.05

// Link is one host's part of the link, in both directions: requests go out,
// answers come back. Its zero value lets everything pass.
type Link struct {
	out, back Meter
}

// Configure replaces the rate of the link each way and the number of hosts
// that share it.
func (l *Link) Configure(rate mustardramp.Bytes, hosts int) {
	l.out.Configure(rate, hosts)
	l.back.Configure(rate, hosts)
}

// Service meters the requests of one service on a Link that all services of the
// host share. It expects answers of the mean size by rank.
type Service struct {
	Link *Link
	// answers hold the mean sizes in bytes.
	answers [mustardramp.RankCount]atomic.Int64
}

// Allow books a request of a size and its expected answer, or reports false
// when the rank has used its part of either direction.
func (s *Service) Allow(rank mustardramp.Rank, size mustardramp.Bytes, now time.Time) bool {
	if !s.Link.back.levels[rank].room(now) || !s.Link.out.Allow(rank, size, now) {
		return false
	}
	s.Link.back.Book(rank, mustardramp.Bytes(s.answers[rank].Load()), now)
	return true
}

// Learn takes in the size of an answer, wherever it came from.
func (s *Service) Learn(rank mustardramp.Rank, size mustardramp.Bytes) {
	mean := &s.answers[rank]
	old := mean.Load()
	if old == 0 {
		mean.Store(int64(size))
		return
	}
	mean.Store(old + int64(answerWeight*float64(int64(size)-old)))
}
