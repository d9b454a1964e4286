package retry

import (
	"sync"
	"time"
)

// slackWindow is the span over which the fleet's further attempts beyond those
// that requests earn are bounded.
const slackWindow = 10 * time.Second

// slack is a host's part of the further attempts that the whole fleet may make
// whatever the traffic. Its zero value is none.
type slack struct {
	mu sync.Mutex
	// part is the host's part of a window's attempts.
	part float64
	left float64
	then time.Time
}

// Slack sets the host's part of the further attempts that the fleet may make in
// any ten seconds whatever the traffic. Half of it is saved up and half is
// earned over the window, so that no window sees more.
func (b *Budget) Slack(part float64) {
	s := &b.slack
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.part == 0 {
		s.left = part / 2
	}
	s.part = part
	s.left = min(s.left, part/2)
}

func (s *slack) isSet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part > 0
}

func (s *slack) spend(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.part <= 0 {
		return false
	}
	if !s.then.IsZero() {
		earned := s.part / 2 * max(0, now.Sub(s.then).Seconds()) / slackWindow.Seconds()
		s.left = min(s.left+earned, max(s.part/2, 1))
	}
	s.then = now
	if s.left < 1 {
		return false
	}
	s.left--
	return true
}
