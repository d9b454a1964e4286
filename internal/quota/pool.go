package quota

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// StepInterval is the interval at which Step must be called.
	StepInterval = time.Second
	// askTimeout is the timeout of one request for tokens. It exceeds campaignTimeout, since the first
	// one for a workspace waits for the votes.
	askTimeout = 800 * time.Millisecond
	// campaignWait is how long a request waits for the campaign of the host that was asked.
	// It is shorter than askTimeout, so that the host does not count as lost.
	campaignWait = 300 * time.Millisecond
	// campaignTimeout is the time for each round of a campaign.
	campaignTimeout = 300 * time.Millisecond
	// changeTimeout is how long requests wait for a new keeper before the fallback
	// decides on them, with a request every changePause. A planned change takes a few round
	// trips, and some campaigns if several hosts share the votes.
	changeTimeout = 600 * time.Millisecond
	changePause   = 50 * time.Millisecond
	// keepersAsked is the number of hosts in rendezvous order that are asked in turn.
	keepersAsked = 3
	// logInterval is the least time between two log lines on the refusals of a workspace.
	logInterval = time.Second
	// holderRetention is the time without requests after which a host forgets the
	// counters of a workspace.
	holderRetention = time.Hour
	// minRetryAfter is the least time after which refused callers are told to return.
	minRetryAfter = 100 * time.Millisecond
)

// Config configures a Pool. Peers may be nil in a fleet of one host.
type Config struct {
	Self  Candidate
	Peers Peers
	// Clock defaults to mustardramp.SystemClock.
	Clock mustardramp.Clock
	// Index returns the log index of the routing table in force; nil means 0.
	Index func() mustardramp.Index
	// Distance returns the distance of a host; nil means that all are equally near. Votes
	// are asked of near hosts first.
	Distance func(mustardramp.HostName) mustardramp.Distance
	// Draw returns random numbers from 0 to 1 and may be called concurrently; nil means
	// rand.Float64.
	Draw func() float64
}

// Pool admits the requests of workspaces together with the pools on the other hosts. It
// implements mustardramp.Quotas.
type Pool struct {
	config Config
	fleet  atomic.Pointer[fleet]
	// holders maps a workspace to its *holderState, and keepers to its *keeperState.
	holders sync.Map
	keepers sync.Map
	// down maps a host that did not answer to the time until which it is not asked.
	down sync.Map
	// campaigns counts the campaigns of all workspaces.
	campaigns atomic.Uint64
	// calls are the goroutines that call other hosts.
	calls errgroup.Group
	// stopping is set once this host keeps no more workspaces, and stopped is closed when
	// it has released its votes.
	stopping atomic.Bool
	stopped  chan struct{}

	// mu guards voter.
	mu    sync.Mutex
	voter voter
}

var _ mustardramp.Quotas = (*Pool)(nil)

// holderState is a holder with the requests that wait for the keeper.
type holderState struct {
	name mustardramp.WorkspaceName

	mu sync.Mutex
	holder
	// waiting holds the requests in their order; each channel has room for the outcome.
	waiting []chan bool
	// asking is true while a goroutine asks keepers.
	asking bool
	// lost is true while no keeper can be reached.
	lost bool
	// loggedAt is the time of the last log line on refusals, and unlogged counts those
	// since.
	loggedAt time.Time
	unlogged int
}

// keeperState is a keeper with its campaign.
type keeperState struct {
	name mustardramp.WorkspaceName

	mu sync.Mutex
	keeper
	// campaign is closed when the campaign in progress ends; nil if there is none.
	campaign chan struct{}
	// forgotten is set once the state is no longer in the pool's map.
	forgotten bool
}

// New returns a pool of a fleet without hosts, which has no keepers. SetHosts sets them.
func New(config Config) *Pool {
	if config.Clock == nil {
		config.Clock = mustardramp.SystemClock{}
	}
	if config.Index == nil {
		config.Index = func() mustardramp.Index { return 0 }
	}
	if config.Draw == nil {
		config.Draw = rand.Float64
	}
	p := &Pool{config: config, stopped: make(chan struct{})}
	p.voter.startedAt = config.Clock.Now()
	p.fleet.Store(newFleet(nil, nil))
	return p
}

// SetHosts replaces the live entry hosts and those that are known: the live ones, and
// the lost ones that have not stated that they leave. Both include this host. One
// goroutine at a time may call it.
func (p *Pool) SetHosts(live, known []mustardramp.HostName) {
	if p.fleet.Load().isOf(live, known) {
		return
	}
	next := newFleet(live, known)
	p.fleet.Store(next)
	p.keepers.Range(func(_, value any) bool {
		k := value.(*keeperState)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.count(next.electorate)
		return true
	})
}

// Take implements mustardramp.Quotas.
func (p *Pool) Take(ctx context.Context, w mustardramp.WorkspaceName, q mustardramp.Quota) *mustardramp.Denial {
	if !q.IsLimited() {
		return nil
	}
	h := p.holder(w)
	h.mu.Lock()
	now := p.config.Clock.Now()
	h.quota = q
	h.demand.add(now)
	if decision := p.arrive(h, now); decision != mustWait {
		denial := p.finish(h, now, decision == admitted)
		h.mu.Unlock()
		return denial
	}
	result := make(chan bool, 1)
	h.waiting = append(h.waiting, result)
	start := !h.asking
	h.asking = true
	h.mu.Unlock()
	if start {
		p.calls.Go(func() error {
			p.askWhileWaiting(h)
			return nil
		})
	}
	isAdmitted, ended := false, false
	select {
	case isAdmitted = <-result:
	case <-ctx.Done():
		ended = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if ended {
		h.abandon(result)
	}
	return p.finish(h, p.config.Clock.Now(), isAdmitted)
}

// arrive decides on a request; the caller holds h.mu.
func (p *Pool) arrive(h *holderState, now time.Time) outcome {
	return h.holder.arrive(now, len(p.fleet.Load().electorate.hosts), p.config.Draw())
}

// abandon removes a request whose context has ended. If it was admitted meanwhile, its
// token is given back.
func (h *holderState) abandon(result chan bool) {
	if i := slices.Index(h.waiting, result); i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
		return
	}
	if <-result {
		h.unused++
	}
}

// finish counts the outcome of a request and returns its denial; the caller holds h.mu.
func (p *Pool) finish(h *holderState, now time.Time, isAdmitted bool) *mustardramp.Denial {
	if isAdmitted {
		h.admitted++
		return nil
	}
	h.refused++
	h.unlogged++
	if now.Sub(h.loggedAt) >= logInterval {
		klog.InfoS("quota-exceeded", "workspace", h.name, "rate", h.quota.Rate, "burst", h.quota.Burst,
			"keeper", h.keeper, "refused", h.unlogged)
		h.loggedAt, h.unlogged = now, 0
	}
	return h.denial(h.name, now, p.config.Draw())
}

// Return implements mustardramp.Quotas.
func (p *Pool) Return(w mustardramp.WorkspaceName) {
	value, ok := p.holders.Load(w)
	if !ok {
		return
	}
	h := value.(*holderState)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unused++
	h.admitted--
}

// askWhileWaiting asks keepers until no request waits. All requests that wait at the
// same time share one request to the keeper.
func (p *Pool) askWhileWaiting(h *holderState) {
	var failedSince time.Time
	for {
		h.mu.Lock()
		if len(h.waiting) == 0 {
			h.asking = false
			h.mu.Unlock()
			return
		}
		askedAt := p.config.Clock.Now()
		request := p.newRequest(h, askedAt, len(h.waiting))
		h.mu.Unlock()

		answer, keeper := p.askKeepers(h.name, request)

		h.mu.Lock()
		now := p.config.Clock.Now()
		if keeper == "" && !h.lost && (failedSince.IsZero() || now.Sub(failedSince) < changeTimeout) {
			if failedSince.IsZero() {
				failedSince = now
			}
			h.keeper = ""
			h.mu.Unlock()
			time.Sleep(changePause)
			continue
		}
		failedSince = time.Time{}
		if keeper == "" {
			p.fallBack(h, now)
		} else {
			h.lost = false
			used := h.receive(askedAt, now, keeper, answer, len(h.waiting))
			h.admit(used)
			// An answer that admits none must not be followed by another request at once.
			if answer.RetryIn > 0 || used == 0 {
				h.refuseAll()
			}
		}
		h.mu.Unlock()
	}
}

// newRequest returns the request for the tokens of waiting and of expected requests; the caller holds
// h.mu.
func (p *Pool) newRequest(h *holderState, now time.Time, waiting int) Request {
	h.expire(now)
	request := Request{
		Workspace: h.name, Host: p.config.Self.Host, Want: waiting, Unused: h.unused,
		Rate: h.quota.Rate, Burst: h.quota.Burst, Version: p.config.Index(),
	}
	if waiting > 0 {
		request.Ahead = h.demand.ahead(now)
	}
	h.unused = 0
	return request
}

// fallBack decides on the waiting requests without a keeper; the caller holds h.mu.
func (p *Pool) fallBack(h *holderState, now time.Time) {
	if !h.lost {
		klog.InfoS("quota-keeper-lost", "workspace", h.name, "keeper", h.keeper, "share", fallbackShare)
	}
	h.lost = true
	h.lose(now)
	for range len(h.waiting) {
		if p.arrive(h, now) == admitted {
			h.admit(1)
		}
	}
	h.refuseAll()
}

// admit admits the first n waiting requests.
func (h *holderState) admit(n int) {
	for _, result := range h.waiting[:n] {
		result <- true
	}
	h.waiting = h.waiting[n:]
}

// refuseAll refuses the waiting requests.
func (h *holderState) refuseAll() {
	for _, result := range h.waiting {
		result <- false
	}
	h.waiting = nil
}

// askKeepers asks the keeper that is known, or the first hosts in rendezvous order, and
// those that they name. The returned keeper is empty if none of them keeps the
// workspace.
func (p *Pool) askKeepers(w mustardramp.WorkspaceName, request Request) (Response, mustardramp.HostName) {
	var tried []mustardramp.HostName
	next := p.candidates(w)
	for len(next) > 0 && len(tried) <= keepersAsked {
		host := next[0]
		next = next[1:]
		if slices.Contains(tried, host) || p.isDown(host) {
			continue
		}
		tried = append(tried, host)
		askedAt := p.config.Clock.Now()
		answer, err := p.askOne(host, request)
		switch {
		case err != nil:
			// A host that refuses at once may be starting. Asking it again costs little.
			failedAt := p.config.Clock.Now()
			p.down.Store(host, failedAt.Add(min(keeperBackoff, max(minKeeperBackoff, 2*failedAt.Sub(askedAt)))))
		case answer.Kept:
			return answer, host
		case answer.Keeper != "":
			next = append([]mustardramp.HostName{answer.Keeper}, next...)
		}
	}
	return Response{}, ""
}

// candidates returns the hosts that may keep a workspace, the likeliest first.
func (p *Pool) candidates(w mustardramp.WorkspaceName) []mustardramp.HostName {
	order := p.fleet.Load().order(w)
	order = order[:min(keepersAsked, len(order))]
	h := p.holder(w)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.keeper == "" {
		return order
	}
	return append([]mustardramp.HostName{h.keeper}, order...)
}

func (p *Pool) isDown(host mustardramp.HostName) bool {
	until, ok := p.down.Load(host)
	return ok && p.config.Clock.Now().Before(until.(time.Time))
}

// askOne asks one host, which may be this one.
func (p *Pool) askOne(host mustardramp.HostName, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if host == p.config.Self.Host {
		return p.Answer(ctx, request), nil
	}
	return p.config.Peers.Ask(ctx, host, request)
}

// Answer answers a request as the keeper of the workspace. If this host does not keep it,
// it first tries to win the votes.
func (p *Pool) Answer(ctx context.Context, request Request) Response {
	if p.stopping.Load() {
		// Once the votes are released, another host can win them at the first try.
		select {
		case <-p.stopped:
		case <-ctx.Done():
		}
		return Response{}
	}
	k := p.lockKeeper(request.Workspace)
	defer k.mu.Unlock()
	now := p.config.Clock.Now()
	k.bucket.configure(now, mustardramp.Quota{Rate: request.Rate, Burst: request.Burst}, request.Version)
	if !k.isKeeping(now) {
		if request.Want == 0 || k.campaign == nil && now.Before(k.pausedUntil) {
			return Response{Keeper: k.otherHolder(p.config.Self.Host)}
		}
		p.awaitCampaign(ctx, k)
		if now = p.config.Clock.Now(); !k.isKeeping(now) {
			return Response{Keeper: k.otherHolder(p.config.Self.Host)}
		}
	}
	return k.lend(now, &request)
}

// otherHolder returns the keeper that the voters named, unless it is this host.
func (k *keeperState) otherHolder(self mustardramp.HostName) mustardramp.HostName {
	if k.holder == self {
		return ""
	}
	return k.holder
}

// awaitCampaign starts a campaign unless one is in progress, and waits for its end
// without k.mu, which the caller holds.
func (p *Pool) awaitCampaign(ctx context.Context, k *keeperState) {
	if k.campaign == nil {
		k.campaign = make(chan struct{})
		k.begin(p.campaigns.Add(1))
		p.calls.Go(func() error {
			p.runCampaign(k)
			return nil
		})
	}
	done := k.campaign
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, campaignWait)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
	k.mu.Lock()
}

// provisionalRounds is how often provisional votes are asked for. Those that did not vote
// may have started later than this host.
const provisionalRounds = 3

// runCampaign asks for the votes of a majority, first of a few hosts more than
// necessary and then of all. After a restart of most of the fleet it asks for provisional
// votes.
func (p *Pool) runCampaign(k *keeperState) {
	var asked []mustardramp.HostName
	ask := func(everyone bool) (won bool) {
		// After a start, hosts become known during the campaign.
		fleet := p.fleet.Load()
		order := p.voters(fleet, k.name)
		k.mu.Lock()
		targets := k.targets(p.config.Clock.Now(), fleet.electorate, order, everyone)
		k.mu.Unlock()
		asked = append(asked, targets...)
		return p.collect(k, targets)
	}
	won := ask(false)
	if !won && !p.needsProvisional(k) {
		won = ask(true)
	}
	if !won && p.needsProvisional(k) && p.beginProvisional(k) {
		for range provisionalRounds {
			if won = ask(true); won {
				break
			}
		}
	}
	k.mu.Lock()
	now := p.config.Clock.Now()
	var release Ballot
	if won = k.isKeeping(now); won {
		k.open(now)
		k.endCampaign()
		klog.InfoS("quota-keeper-began", "workspace", k.name, "hosts", len(p.fleet.Load().electorate.hosts), "level", int(k.bucket.level))
	} else {
		release = k.fail(now, p.config.Draw())
	}
	close(k.campaign)
	k.campaign = nil
	k.mu.Unlock()
	if !won {
		p.release(&p.calls, k.name, release, asked)
	}
}

// candidatePause is the time between the campaigns for provisional votes of one host and
// the next in rendezvous order. After a restart of the fleet, hosts that campaign at the
// same moment share the votes, each with those that are near, and none has a majority.
const candidatePause = 100 * time.Millisecond

// needsProvisional reports whether only provisional votes can make up a majority.
func (p *Pool) needsProvisional(k *keeperState) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.isContested() && k.lacksMajority(p.fleet.Load().electorate)
}

// beginProvisional makes the campaign accept provisional votes. It returns false if this
// host has given its own vote to another candidate by then.
func (p *Pool) beginProvisional(k *keeperState) bool {
	place := max(0, slices.Index(p.fleet.Load().order(k.name), p.config.Self.Host))
	time.Sleep(p.voter.untilStarted(p.config.Clock.Now()) + min(time.Duration(place)*candidatePause, campaignTimeout))
	k.mu.Lock()
	k.acceptsProvisional = true
	ballot := Ballot{Workspace: k.name, Candidate: p.config.Self, Number: k.number, Provisional: true}
	k.mu.Unlock()
	askedAt := p.config.Clock.Now()
	vote := p.Vote(ballot)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordVote(askedAt, p.config.Clock.Now(), p.fleet.Load().electorate, p.config.Self.Host, vote)
	return vote.Granted
}

// voters returns this host and the other live hosts, near ones first and those of one
// distance in rendezvous order. A majority needs few votes of another region.
func (p *Pool) voters(f *fleet, w mustardramp.WorkspaceName) []mustardramp.HostName {
	order := f.order(w)
	if i := slices.Index(order, p.config.Self.Host); i > 0 {
		order = slices.Insert(slices.Delete(order, i, i+1), 0, p.config.Self.Host)
	}
	if distance := p.config.Distance; distance != nil && len(order) > 0 {
		slices.SortStableFunc(order[1:], func(a, b mustardramp.HostName) int { return cmp.Compare(distance(a), distance(b)) })
	}
	return order
}

// collect asks hosts for their votes until a majority is reached, all have answered or
// the time is over, or no majority can be reached. It reports whether this host keeps the workspace.
func (p *Pool) collect(k *keeperState, targets []mustardramp.HostName) bool {
	answered := p.askVotes(k, targets)
	timer := time.NewTimer(campaignTimeout)
	defer timer.Stop()
	for range targets {
		select {
		case <-answered:
		case <-timer.C:
			return false
		}
		k.mu.Lock()
		k.admitProvisional(p.fleet.Load().electorate)
		won := k.isKeeping(p.config.Clock.Now())
		isVain := k.isVain(p.fleet.Load().electorate)
		k.mu.Unlock()
		if won || isVain {
			return won
		}
	}
	return false
}

// askVotes asks hosts for their votes in the background. The channel gets a value for
// each host that has answered or failed.
func (p *Pool) askVotes(k *keeperState, targets []mustardramp.HostName) <-chan struct{} {
	k.mu.Lock()
	number, provisional := k.number, k.acceptsProvisional
	k.mu.Unlock()
	answered := make(chan struct{}, len(targets))
	for _, host := range targets {
		p.calls.Go(func() error {
			askedAt := p.config.Clock.Now()
			vote, err := p.askVote(host, Ballot{Workspace: k.name, Candidate: p.config.Self, Number: number, Provisional: provisional})
			k.mu.Lock()
			defer k.mu.Unlock()
			now := p.config.Clock.Now()
			switch {
			case err != nil:
				k.recordFailure(askedAt, now, host)
			case k.number == number:
				k.recordVote(askedAt, now, p.fleet.Load().electorate, host, vote)
			}
			answered <- struct{}{}
			return nil
		})
	}
	return answered
}

// askVote sends a ballot to one host, which may be this one.
func (p *Pool) askVote(host mustardramp.HostName, ballot Ballot) (Vote, error) {
	if host == p.config.Self.Host {
		return p.Vote(ballot), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return p.config.Peers.Vote(ctx, host, ballot)
}

// release gives votes back in the background. Votes that are not given back expire.
func (p *Pool) release(group *errgroup.Group, w mustardramp.WorkspaceName, ballot Ballot, hosts []mustardramp.HostName) {
	ballot.Workspace, ballot.Candidate = w, p.config.Self
	for _, host := range hosts {
		group.Go(func() error {
			_, _ = p.askVote(host, ballot)
			return nil
		})
	}
}

// Vote answers the ballot of a host.
func (p *Pool) Vote(ballot Ballot) Vote {
	p.mu.Lock()
	defer p.mu.Unlock()
	vote := p.voter.vote(p.config.Clock.Now(), ballot)
	if vote.Provisional {
		vote.Known = len(p.fleet.Load().electorate.hosts)
	}
	return vote
}

// Step renews the votes for the workspaces that are in use, gives back expired tokens
// and forgets what is no longer used. One goroutine must call it every StepInterval.
func (p *Pool) Step() {
	now := p.config.Clock.Now()
	p.mu.Lock()
	p.voter.prune(now)
	p.mu.Unlock()
	p.keepers.Range(func(name, value any) bool {
		p.stepKeeper(now, name, value.(*keeperState))
		return true
	})
	p.holders.Range(func(name, value any) bool {
		p.stepHolder(now, name, value.(*holderState))
		return true
	})
}

func (p *Pool) stepKeeper(now time.Time, name any, k *keeperState) {
	k.mu.Lock()
	var targets []mustardramp.HostName
	if k.isKeeping(now) && now.Sub(k.usedAt) < idleAfter {
		fleet := p.fleet.Load()
		targets = k.targets(now, fleet.electorate, p.voters(fleet, k.name), false)
	} else if k.campaign == nil && k.isForgettable(now) {
		k.forgotten = true
		p.keepers.Delete(name)
	}
	k.mu.Unlock()
	p.askVotes(k, targets)
}

func (p *Pool) stepHolder(now time.Time, name any, h *holderState) {
	h.mu.Lock()
	h.expire(now)
	if now.Sub(h.usedAt) > holderRetention && !h.asking {
		p.holders.Delete(name)
	}
	keeper := h.keeper
	if h.unused == 0 || h.asking || keeper == "" {
		h.mu.Unlock()
		return
	}
	request := p.newRequest(h, now, 0)
	h.mu.Unlock()
	p.calls.Go(func() error {
		_, _ = p.askOne(keeper, request)
		return nil
	})
}

// Stop releases the votes of this host, so that other hosts keep its workspaces at once
// and know what its buckets held.
func (p *Pool) Stop() {
	if p.stopping.Swap(true) {
		return
	}
	defer close(p.stopped)
	var group errgroup.Group
	p.keepers.Range(func(_, value any) bool {
		k := value.(*keeperState)
		k.mu.Lock()
		now := p.config.Clock.Now()
		if !k.isKeeping(now) {
			k.mu.Unlock()
			return true
		}
		k.bucket.refill(now)
		ballot := Ballot{Release: true, Level: float32(k.bucket.level), Number: k.number}
		hosts := slices.Collect(maps.Keys(k.votes))
		for host := range k.provisional {
			hosts = append(hosts, host)
		}
		k.begin(p.campaigns.Add(1))
		k.mu.Unlock()
		p.release(&group, k.name, ballot, hosts)
		return true
	})
	_ = group.Wait()
}

// Close waits until the calls to other hosts have ended. No request may be taken any
// more.
func (p *Pool) Close() {
	_ = p.calls.Wait()
}

// Usage lists the workspaces with a limit that this host admitted or refused requests
// of, by name.
func (p *Pool) Usage() []Usage {
	now := p.config.Clock.Now()
	var out []Usage
	p.holders.Range(func(_, value any) bool {
		h := value.(*holderState)
		h.mu.Lock()
		defer h.mu.Unlock()
		u := Usage{Name: h.name, Quota: h.quota, Admitted: h.admitted, Refused: h.refused, Keeper: h.keeper}
		if h.keeper != "" {
			u.Age = now.Sub(h.heardAt)
		}
		out = append(out, u)
		return true
	})
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (p *Pool) holder(w mustardramp.WorkspaceName) *holderState {
	if h, ok := p.holders.Load(w); ok {
		return h.(*holderState)
	}
	h, _ := p.holders.LoadOrStore(w, &holderState{name: w})
	return h.(*holderState)
}

// lockKeeper returns the state of a workspace with its lock held.
func (p *Pool) lockKeeper(w mustardramp.WorkspaceName) *keeperState {
	for {
		value, ok := p.keepers.Load(w)
		if !ok {
			value, _ = p.keepers.LoadOrStore(w, &keeperState{name: w})
		}
		k := value.(*keeperState)
		k.mu.Lock()
		if !k.forgotten {
			return k
		}
		k.mu.Unlock()
	}
}
