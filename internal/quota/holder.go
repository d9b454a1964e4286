package quota

import (
	"math"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// TokenLifetime is how long a token may be used by a later request than those that
	// waited for it. Requests of 5 s may use the tokens that were lent in 5.25 s: of the
	// 0.5 x rate that the rule allows beyond the quota in 5 s, lateness takes 0.25, the
	// bins of the keeper 0.05 and the fallback 0.18.
	TokenLifetime = 250 * time.Millisecond
	// answerLifetime is how long the requests that wait for an answer may use its
	// tokens.
	answerLifetime = time.Second
	// fallbackShare is the share of the rate that all hosts together admit without a
	// keeper. Their tokens last fallbackLifetime.
	fallbackShare    = 0.03
	fallbackLifetime = time.Second
	// demandPeriod is the time over which a host counts its own requests.
	demandPeriod = time.Second
	// batchPeriod is the time for which a host with much demand asks in advance. With
	// 200 ms, tokens that expired unused caused refusals inside the quota.
	batchPeriod = 100 * time.Millisecond
	// keeperBackoff is how long a keeper that did not answer is not asked, and
	// minKeeperBackoff how long one whose connection failed at once.
	keeperBackoff    = time.Second
	minKeeperBackoff = 100 * time.Millisecond
	// fallbackPause is how long a host that reached no keeper asks none.
	fallbackPause = 250 * time.Millisecond
)

// batch is tokens that expire together.
type batch struct {
	count     int
	expiresAt time.Time
}

// demand estimates the requests of one host in a second.
type demand struct {
	start         time.Time
	count, before int
}

// add counts a request.
func (d *demand) add(now time.Time) {
	switch elapsed := now.Sub(d.start); {
	case elapsed >= 2*demandPeriod:
		d.start, d.count, d.before = now, 0, 0
	case elapsed >= demandPeriod:
		d.start, d.count, d.before = d.start.Add(demandPeriod), 0, d.count
	}
	d.count++
}

// rate returns the requests of the last second, in proportion from two periods.
func (d *demand) rate(now time.Time) float64 {
	part := min(1, now.Sub(d.start).Seconds()/demandPeriod.Seconds())
	return float64(d.before)*(1-part) + float64(d.count)
}

// ahead returns the tokens to ask for beside those for waiting requests. Two standard
// deviations less than the mean of batchPeriod rarely remain unused; below 40 requests
// a second it is none.
func (d *demand) ahead(now time.Time) int {
	mean := d.rate(now) * batchPeriod.Seconds()
	return int(max(0, mean-2*math.Sqrt(mean)))
}

// outcome is how a holder answers a request.
type outcome int

const (
	// mustWait means that a keeper must be asked.
	mustWait outcome = iota
	admitted
	refused
)

// holder is the state of one workspace at a host that admits its requests.
type holder struct {
	quota   mustardramp.Quota
	batches []batch
	// unused counts the tokens to give back with the next request to the keeper.
	unused int
	demand demand
	// silentUntil is the time until which this host refuses as the keeper stated.
	silentUntil time.Time
	// fallbackUntil is the time until which this host asks no keeper.
	fallbackUntil time.Time
	fallback      fallback
	// keeper is the host that last lent tokens, or was named as the keeper.
	keeper mustardramp.HostName
	// heardAt is when the keeper last answered.
	heardAt           time.Time
	usedAt            time.Time
	admitted, refused int64
}

// arrive decides on a request. The draw is used by the fallback.
func (h *holder) arrive(now time.Time, hosts int, draw float64) outcome {
	h.usedAt = now
	if h.takeToken(now) {
		return admitted
	}
	if now.Before(h.fallbackUntil) {
		if h.fallback.take(now, h.quota, hosts, draw) {
			return admitted
		}
		return refused
	}
	if now.Before(h.silentUntil) {
		return refused
	}
	return mustWait
}

// takeToken uses a token that has not expired, the oldest first.
func (h *holder) takeToken(now time.Time) bool {
	h.expire(now)
	if len(h.batches) == 0 {
		return false
	}
	h.batches[0].count--
	if h.batches[0].count == 0 {
		h.batches = h.batches[1:]
	}
	return true
}

// expire moves the tokens that have expired to those that are given back.
func (h *holder) expire(now time.Time) {
	for len(h.batches) > 0 && !now.Before(h.batches[0].expiresAt) {
		h.unused += h.batches[0].count
		h.batches = h.batches[1:]
	}
}

// receive applies the answer of a keeper that was asked at a time. It returns how many
// of the waiting requests are admitted; the other tokens remain for later requests.
// Tokens that arrive after their lifetime are given back.
func (h *holder) receive(askedAt, now time.Time, keeper mustardramp.HostName, a Response, waiting int) int {
	h.keeper, h.heardAt = keeper, now
	h.fallbackUntil = time.Time{}
	if a.RetryIn > 0 {
		h.silentUntil = now.Add(min(a.RetryIn, maxSilence))
	}
	if now.Sub(askedAt) >= answerLifetime {
		h.unused += a.Granted
		return 0
	}
	used := min(waiting, a.Granted)
	if rest := a.Granted - used; rest > 0 {
		h.batches = append(h.batches, batch{rest, askedAt.Add(TokenLifetime)})
		h.expire(now)
	}
	return used
}

// lose records that no keeper could be reached.
func (h *holder) lose(now time.Time) {
	h.keeper = ""
	h.fallbackUntil = now.Add(fallbackPause)
}

// retryAfter returns the time until a token is expected.
func (h *holder) retryAfter(now time.Time) time.Duration {
	return max(h.silentUntil.Sub(now), h.fallbackUntil.Sub(now), 0)
}

// fallback is the share of a quota that one host admits without a keeper. Tokens come
// one at a time at even intervals and are not saved up: when all hosts have been
// without a keeper for a time, they must not have a token each at once.
type fallback struct {
	// next is when the next token comes, and last when it was used last.
	next   time.Time
	period time.Duration
}

// take uses the token that came within the lifetime. The draw from 0 to 1 sets the time
// of the first token, so that the hosts' tokens do not come together.
func (f *fallback) take(now time.Time, q mustardramp.Quota, hosts int, draw float64) bool {
	period := time.Duration(min(float64(max(hosts, 1))/(fallbackShare*q.Rate), 1e6) * float64(time.Second))
	if f.period != period {
		f.period = period
		f.next = now.Add(time.Duration(draw * float64(period)))
	}
	if now.Before(f.next) {
		return false
	}
	// Skips the tokens that have expired.
	if late := now.Sub(f.next); late >= fallbackLifetime {
		skip := (late-fallbackLifetime)/period + 1
		f.next = f.next.Add(skip * period)
		if now.Before(f.next) {
			return false
		}
	}
	f.next = f.next.Add(period)
	return true
}
