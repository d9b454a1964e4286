package quorum

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

const (
	// queueLimit bounds the messages that wait for one host; more are lost.
	queueLimit = 1024
	// parcelBytes is the size from which a parcel takes no more messages.
	parcelBytes = 512 << 10
	// parcelWindow bounds the parcels under way to one host.
	parcelWindow = 16
	// heldLimit bounds the parcels that wait for an earlier one, which is then
	// given up.
	heldLimit = 64
	// parcelTimeout bounds one call.
	parcelTimeout = time.Second
	// unreachablePause is the pause after a call that failed.
	unreachablePause = 50 * time.Millisecond
)

// parcel carries messages of one member to one host, in order.
type parcel struct {
	From mustardramp.HostName `cbor:"1,keyasint"`
	// Stream names a run of parcels without a known loss; Number counts in it
	// from 0.
	Stream   uint64    `cbor:"2,keyasint"`
	Number   uint64    `cbor:"3,keyasint"`
	Messages []Message `cbor:"4,keyasint"`
}

// receipt answers a parcel.
type receipt struct{}

// Links carries the messages of one group between hosts over package link. It
// implements Transport. Parcels to a host travel side by side and are put in
// order again at its end.
type Links struct {
	method string
	self   mustardramp.HostName
	// Dial returns the link to a host that was not among the peers, or nil; it
	// is set before Run, or nil.
	Dial func(mustardramp.HostName) link.Caller

	mu      sync.Mutex
	outlets map[mustardramp.HostName]*outlet
	inlets  map[mustardramp.HostName]*inlet
	// start runs an outlet; it is nil until Run.
	start func(*outlet)
}

var _ Transport = (*Links)(nil)

// NewLinks returns the transport of a group's member to its peers.
func NewLinks(group GroupName, self mustardramp.HostName, peers map[mustardramp.HostName]link.Caller) *Links {
	l := &Links{
		method:  "quorum/" + string(group),
		self:    self,
		outlets: map[mustardramp.HostName]*outlet{},
		inlets:  map[mustardramp.HostName]*inlet{},
	}
	for host, caller := range peers {
		l.outlets[host] = l.newOutlet(caller)
	}
	return l
}

func (l *Links) newOutlet(caller link.Caller) *outlet {
	return &outlet{links: l, caller: caller, wake: make(chan struct{}, 1), stream: rand.Uint64()}
}

// Send implements Transport.
func (l *Links) Send(to mustardramp.HostName, m Message) {
	if o := l.outlet(to); o != nil {
		o.put(m)
	}
}

// outlet returns the outlet to a host, or nil when it cannot be reached.
func (l *Links) outlet(to mustardramp.HostName) *outlet {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.outlets[to]; o != nil || l.Dial == nil || to == l.self {
		return o
	}
	caller := l.Dial(to)
	if caller == nil {
		return nil
	}
	o := l.newOutlet(caller)
	l.outlets[to] = o
	if l.start != nil {
		l.start(o)
	}
	return o
}

// Receiver takes in the messages of other members; a Group is one.
type Receiver interface {
	// Receive does not wait.
	Receive(from mustardramp.HostName, m Message)
}

// Serve has the group take in the messages that reach the router.
func (l *Links) Serve(router *link.Router, g Receiver) {
	link.Handle(router, l.method, func(_ context.Context, p parcel) (receipt, error) {
		l.receive(g, p)
		return receipt{}, nil
	})
}

// Run sends until the context ends.
func (l *Links) Run(ctx context.Context) error {
	work, ctx := errgroup.WithContext(ctx)
	l.mu.Lock()
	l.start = func(o *outlet) { work.Go(func() error { return o.run(ctx) }) }
	for _, o := range l.outlets {
		l.start(o)
	}
	l.mu.Unlock()
	work.Go(func() error {
		<-ctx.Done()
		// No outlet starts once the others are waited for.
		l.mu.Lock()
		defer l.mu.Unlock()
		l.start = nil
		return nil
	})
	_ = work.Wait()
	return nil
}

func (l *Links) receive(g Receiver, p parcel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.inlets[p.From]
	if in == nil {
		in = &inlet{}
		l.inlets[p.From] = in
	}
	for _, m := range in.order(p) {
		g.Receive(p.From, m)
	}
	if n := len(in.held); n >= heldToLog && n&(n-1) == 0 {
		klog.InfoS("parcels-held", "method", l.method, "from", p.From, "held", n, "next", in.next, "stream", in.stream)
	}
}

// streamsPerStart bounds the streams of one start of a host, which are numbered in
// a row from a random one.
const streamsPerStart = 1 << 32

// heldToLog is the number of held parcels from which they are logged, at each
// doubling: parcels that travel side by side seldom pass more than a few others.
const heldToLog = 4

// inlet puts the parcels of one host in order.
type inlet struct {
	stream uint64
	next   uint64
	held   map[uint64][]Message
}

// order returns the messages that are due now. A parcel that was given up and
// comes late is due at once, also one of an earlier stream.
func (in *inlet) order(p parcel) []Message {
	if p.Stream != in.stream {
		if in.stream-p.Stream < streamsPerStart {
			return p.Messages
		}
		*in = inlet{stream: p.Stream}
	}
	if p.Number < in.next {
		return p.Messages
	}
	if in.held == nil {
		in.held = map[uint64][]Message{}
	}
	in.held[p.Number] = p.Messages
	if len(in.held) >= heldLimit {
		in.next = slices.Min(slices.Collect(maps.Keys(in.held)))
	}
	return in.release()
}

// release takes the parcels from the next one on, as far as they have come.
func (in *inlet) release() []Message {
	var due []Message
	for {
		messages, ok := in.held[in.next]
		if !ok {
			return due
		}
		delete(in.held, in.next)
		due = append(due, messages...)
		in.next++
	}
}

// outlet sends to one host.
type outlet struct {
	links  *Links
	caller link.Caller
	wake   chan struct{}

	mu     sync.Mutex
	queue  []Message
	stream uint64
	number uint64
	failed bool
}

func (o *outlet) put(m Message) {
	o.mu.Lock()
	if len(o.queue) < queueLimit {
		o.queue = append(o.queue, m)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// pack takes messages from the queue, or returns none.
func (o *outlet) pack() parcel {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed {
		o.failed = false
		o.stream++
		o.number = 0
	}
	count := 0
	for size := 0; count < len(o.queue) && size < parcelBytes; count++ {
		size += sizeOf(o.queue[count])
	}
	p := parcel{From: o.links.self, Stream: o.stream, Number: o.number, Messages: o.queue[:count:count]}
	o.queue = o.queue[count:]
	if count > 0 {
		o.number++
	}
	return p
}

func sizeOf(m Message) int {
	size := 64
	for _, entry := range m.Entries {
		size += 32 + len(entry.Command)
	}
	if m.Piece != nil {
		size += len(m.Piece.Data)
	}
	return size
}

func (o *outlet) run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(parcelWindow)
	defer func() { _ = calls.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		}
		for p := o.pack(); len(p.Messages) > 0; p = o.pack() {
			calls.Go(func() error {
				o.call(ctx, p)
				return nil
			})
		}
	}
}

// call sends a parcel. After a failure the stream ends, and what has gathered
// is old: the members repeat what still matters.
func (o *outlet) call(ctx context.Context, p parcel) {
	bounded, cancel := context.WithTimeout(ctx, parcelTimeout)
	defer cancel()
	_, err := link.Call[receipt](bounded, o.caller, o.links.method, p)
	if err == nil || ctx.Err() != nil {
		return
	}
	klog.V(1).InfoS("parcel-lost", "method", o.links.method, "cause", err)
	o.mu.Lock()
	o.failed = true
	o.queue = nil
	o.mu.Unlock()
	pause := time.NewTimer(unreachablePause)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}
