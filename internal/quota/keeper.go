package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// renewAge is the age from which a vote is asked for again. With a step every
	// second it is renewed every 2 s, 1 s before it ends. If that fails, the next request
	// starts a campaign, which costs the request one round trip.
	renewAge = 1500 * time.Millisecond
	// idleAfter is the time without requests after which a keeper renews no votes.
	idleAfter = 5 * time.Second
	// forgetAfter is the time without requests after which a keeper forgets a bucket.
	forgetAfter = time.Minute
	// minCampaignPause and maxCampaignPause bound the time between two campaigns for one
	// workspace, of which the first failed.
	minCampaignPause = 200 * time.Millisecond
	maxCampaignPause = time.Second
	// voterBackoff is how long a host that did not answer is asked after the others.
	voterBackoff = 5 * time.Second
	// askersPeriod is the time in which the hosts that asked are counted.
	askersPeriod = time.Second
	// minSilence and maxSilence bound the time for which a host refuses by itself.
	minSilence = 10 * time.Millisecond
	maxSilence = time.Second
)

// electorate is the hosts whose votes decide on keepers. It includes hosts that are
// lost: a minority that is cut off must not take itself for the whole fleet.
type electorate struct {
	// hosts is sorted by name.
	hosts []mustardramp.HostName
}

// newElectorate returns the electorate of the hosts, in any order.
func newElectorate(hosts []mustardramp.HostName) *electorate {
	hosts = slices.Clone(hosts)
	slices.Sort(hosts)
	return &electorate{hosts: slices.Compact(hosts)}
}

// weight returns the weight of a host's vote. The first host weighs more, so that of
// two halves of the fleet one has a majority.
func (e *electorate) weight(host mustardramp.HostName) int {
	i, ok := slices.BinarySearch(e.hosts, host)
	switch {
	case !ok:
		return 0
	case i == 0:
		return 3
	default:
		return 2
	}
}

// weightWithout returns the weight of all votes but those of some hosts.
func (e *electorate) weightWithout(some map[mustardramp.HostName]bool) (sum int) {
	for _, host := range e.hosts {
		if !some[host] {
			sum += e.weight(host)
		}
	}
	return sum
}

// majority returns the least weight that more than half of the votes have.
func (e *electorate) majority() int {
	return len(e.hosts) + 1
}

// keeper is the state of one workspace at a host that keeps it, or tries to.
type keeper struct {
	bucket bucket
	// number is that of the campaign. Votes of an earlier one no longer count: they may
	// have been released.
	number uint64
	// votes maps each voter to the time until which its vote lasts.
	votes map[mustardramp.HostName]time.Time
	// provisional holds the provisional votes likewise, until they count.
	provisional map[mustardramp.HostName]time.Time
	// answered holds the hosts that answered the campaign.
	answered map[mustardramp.HostName]bool
	// started holds the hosts whose votes are provisional, and denied those that gave such
	// a vote to another candidate.
	started, denied map[mustardramp.HostName]bool
	// acceptsProvisional is true while provisional votes are asked for, and
	// countsProvisional once they count.
	acceptsProvisional, countsProvisional bool
	// mostKnown is the largest number of hosts that a started voter knows.
	mostKnown int
	// named holds the candidates that voters which have forgotten no vote have voted for.
	named map[mustardramp.HostName]bool
	// until is the time until which a majority of the votes lasts.
	until time.Time
	// failedAt is when a voter last did not answer.
	failedAt map[mustardramp.HostName]time.Time
	// holder is the host that voters last named as the keeper, and pausedUntil the time
	// until which no other campaign is begun.
	holder      mustardramp.HostName
	pausedUntil time.Time
	// remaining is the shortest time after which a voter may change its vote.
	remaining time.Duration
	// limit is the level that the bucket may have after the campaign, by the votes.
	limit float64
	// known is true once the bucket has been in use.
	known   bool
	usedAt  time.Time
	askers  map[mustardramp.HostName]bool
	counted time.Time
	// askerCount is the number of hosts that asked in the last period.
	askerCount int
}

// isKeeping reports whether this host may lend tokens.
func (k *keeper) isKeeping(now time.Time) bool {
	return now.Before(k.until)
}

// begin starts a campaign with a number that is higher than those before.
func (k *keeper) begin(number uint64) {
	k.number = number
	k.votes, k.until, k.limit = nil, time.Time{}, math.Inf(1)
	k.provisional, k.answered = nil, map[mustardramp.HostName]bool{}
	k.started, k.denied = map[mustardramp.HostName]bool{}, map[mustardramp.HostName]bool{}
	k.acceptsProvisional, k.countsProvisional = false, false
	k.mostKnown, k.named = 0, map[mustardramp.HostName]bool{}
	k.holder, k.remaining = "", maxCampaignPause
}

// lacksMajority reports whether the hosts that give votes other than provisional ones are
// too few for a majority.
func (k *keeper) lacksMajority(e *electorate) bool {
	return e.weightWithout(k.started) < e.majority()
}

// isContested reports whether a voter named a keeper that was not restarted.
func (k *keeper) isContested() bool {
	for candidate := range k.named {
		if k.answered[candidate] && !k.started[candidate] {
			return true
		}
	}
	return false
}

// isVain reports whether the votes that can still be given to this host are too few for a
// majority.
func (k *keeper) isVain(e *electorate) bool {
	if k.acceptsProvisional {
		return e.weightWithout(k.denied) < e.majority()
	}
	return k.lacksMajority(e)
}

// endCampaign ends a campaign that has won. Provisional votes that did not count are
// asked for again once they are no longer provisional.
func (k *keeper) endCampaign() {
	k.acceptsProvisional = k.countsProvisional
}

// fail ends a campaign without a majority. The draw from 0 to 1 spreads the next
// campaigns of hosts that shared the votes. It returns the release of the votes.
func (k *keeper) fail(now time.Time, draw float64) Ballot {
	pause := max(minCampaignPause, min(k.remaining, maxCampaignPause))
	k.pausedUntil = now.Add(time.Duration(float64(pause) * (0.75 + draw/2)))
	k.votes, k.provisional, k.until = nil, nil, time.Time{}
	return Ballot{Release: true, Unused: !k.known, Number: k.number}
}

// targets returns the hosts to ask for votes now, in the order given: enough for a
// majority and a tenth of the fleet more, or all if everyone is set.
func (k *keeper) targets(now time.Time, e *electorate, order []mustardramp.HostName, everyone bool) []mustardramp.HostName {
	order = slices.Clone(order)
	slices.SortStableFunc(order, func(a, b mustardramp.HostName) int {
		return cmp.Compare(k.reluctance(now, a), k.reluctance(now, b))
	})
	goal := e.majority() + len(e.hosts)/5 + 2
	sum := 0
	var out []mustardramp.HostName
	for _, host := range order {
		if sum >= goal && !everyone {
			break
		}
		sum += e.weight(host)
		if now.Before(k.provisional[host]) {
			continue
		}
		if until, ok := k.votes[host]; !ok || until.Sub(now) <= VoteTerm-renewAge {
			out = append(out, host)
		}
	}
	return out
}

// reluctance orders the voters: those that voted already, others, and last those that
// did not answer.
func (k *keeper) reluctance(now time.Time, host mustardramp.HostName) int {
	if at, ok := k.failedAt[host]; ok && now.Sub(at) < voterBackoff {
		return 2
	}
	if now.Before(k.votes[host]) {
		return 0
	}
	return 1
}

// recordVote applies the answer of a voter that was asked at a time.
func (k *keeper) recordVote(askedAt, now time.Time, e *electorate, host mustardramp.HostName, v Vote) {
	delete(k.failedAt, host)
	k.answered[host], k.started[host], k.denied[host] = true, v.Provisional, false
	if !v.Granted {
		if v.Holder != "" {
			k.holder = v.Holder
			k.denied[host] = v.Provisional
			if !v.Provisional {
				k.named[v.Holder] = true
			}
		}
		if v.Remaining > 0 {
			k.remaining = min(k.remaining, v.Remaining)
		}
		if k.votes[host].Before(now) {
			delete(k.votes, host)
		}
		return
	}
	if v.HasEarlier {
		k.limit = min(k.limit, float64(v.Level)+k.bucket.quota.Rate*v.Age.Seconds())
	}
	votes := &k.votes
	if v.Provisional && !k.countsProvisional {
		votes, k.mostKnown = &k.provisional, max(k.mostKnown, v.Known)
	}
	if *votes == nil {
		*votes = map[mustardramp.HostName]time.Time{}
	}
	(*votes)[host] = askedAt.Add(VoteTerm)
	k.count(e)
}

// admitProvisional lets provisional votes count if no other keeper can be left: after a
// restart of the fleet, all hosts have answered, and those that were not restarted have
// voted for none but restarted hosts. Among candidates that campaign after the restart,
// the majority decides as always. No voter may know more hosts than this one, since a
// keeper could be among them.
func (k *keeper) admitProvisional(e *electorate) {
	if len(k.provisional) == 0 || k.mostKnown > len(e.hosts) {
		return
	}
	weight := 0
	for _, host := range e.hosts {
		if !k.answered[host] {
			return
		}
		if !k.votes[host].IsZero() || !k.provisional[host].IsZero() {
			weight += e.weight(host)
		}
	}
	for candidate := range k.named {
		if !k.started[candidate] {
			return
		}
	}
	if weight < e.majority() {
		return
	}
	k.countsProvisional = true
	if k.votes == nil {
		k.votes = map[mustardramp.HostName]time.Time{}
	}
	maps.Copy(k.votes, k.provisional)
	k.provisional = nil
	k.count(e)
}

// recordFailure records that a voter that was asked at a time did not answer, unless it
// has given its vote to a later request.
func (k *keeper) recordFailure(askedAt, now time.Time, host mustardramp.HostName) {
	if k.votes[host].After(askedAt.Add(VoteTerm)) {
		return
	}
	if k.failedAt == nil {
		k.failedAt = map[mustardramp.HostName]time.Time{}
	}
	k.failedAt[host] = now
}

// count finds the time until which a majority of the votes lasts.
func (k *keeper) count(e *electorate) {
	type vote struct {
		until  time.Time
		weight int
	}
	votes := make([]vote, 0, len(k.votes))
	for host, until := range k.votes {
		votes = append(votes, vote{until, e.weight(host)})
	}
	slices.SortFunc(votes, func(a, b vote) int { return b.until.Compare(a.until) })
	k.until = time.Time{}
	sum := 0
	for _, v := range votes {
		if sum += v.weight; sum >= e.majority() {
			k.until = v.until
			return
		}
	}
}

// open sets the level of the bucket after a campaign has won: what the bucket held, if
// this host kept the workspace before, and no more than the voters' memories of other
// keepers allow.
func (k *keeper) open(now time.Time) {
	if !k.known {
		k.bucket.level, k.bucket.filledAt = capacity(k.bucket.quota), now
		k.bucket.binStart = now
	}
	k.bucket.refill(now)
	k.bucket.level = min(k.bucket.level, k.limit)
	k.known = true
}

// lend answers the request of a host.
func (k *keeper) lend(now time.Time, a *Request) Response {
	k.countAsker(now, a.Host)
	k.bucket.giveBack(now, a.Unused)
	granted := k.bucket.take(now, a.Want)
	answer := Response{Kept: true}
	if granted < a.Want {
		answer.RetryIn = k.silence()
	} else {
		granted += k.bucket.take(now, min(a.Ahead, k.spare()))
	}
	answer.Granted = granted
	return answer
}

// spare returns the tokens that may be lent for expected requests: those beyond half of
// the capacity. Near the limit a token that lies unused at one host is a refusal at
// another.
func (k *keeper) spare() int {
	return max(0, int(k.bucket.level-capacity(k.bucket.quota)/2))
}

// countAsker counts the hosts that ask.
func (k *keeper) countAsker(now time.Time, host mustardramp.HostName) {
	k.usedAt = now
	if now.Sub(k.counted) >= askersPeriod {
		k.askerCount, k.askers, k.counted = len(k.askers), map[mustardramp.HostName]bool{}, now
	}
	k.askers[host] = true
}

// silence returns the time for which a host that was denied refuses by itself: until
// its turn among the hosts that ask comes, but no longer than it takes to fill half of
// the bucket, so that no tokens are lost while all are silent.
func (k *keeper) silence() time.Duration {
	rate := k.bucket.quota.Rate
	if rate <= 0 {
		return maxSilence
	}
	turn := float64(max(k.askerCount, len(k.askers), 1)) / rate
	filled := capacity(k.bucket.quota) / 2 / rate
	d := time.Duration(min(turn, filled) * float64(time.Second))
	return max(minSilence, min(max(d, k.bucket.untilToken()), maxSilence))
}

// isForgettable reports whether the state holds nothing that a later campaign needs.
func (k *keeper) isForgettable(now time.Time) bool {
	return !k.isKeeping(now) && now.Sub(k.usedAt) > forgetAfter
}
