package quorum

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

const (
	// maxQueuedMessages limits the messages queued for one host. Any more are
	// dropped.
	maxQueuedMessages = 1024
	// targetPacketBytes is the size at which no more messages are added to a
	// packet.
	targetPacketBytes = 512 << 10
	// maxPacketsInFlight limits the concurrent calls to one host.
	maxPacketsInFlight = 16
	// maxBytesInFlight limits the approximate size of the packets of these calls. A
	// packet takes several times its size until it is answered, since its encodings
	// are buffered as well.
	maxBytesInFlight = 512 << 10
	// maxBufferedPackets is the number of packets waiting for an earlier one at
	// which the missing packet is skipped.
	maxBufferedPackets = 64
	// packetTimeout limits the time of one call.
	packetTimeout = time.Second
	// failurePause is the pause after a failed call.
	failurePause = 50 * time.Millisecond
)

// packet carries messages of one member to one host, in order.
type packet struct {
	From mustardramp.HostName `cbor:"1,keyasint"`
	// Stream identifies a sequence of packets without a known loss. Number is
	// the position in that sequence, from 0.
	Stream   uint64    `cbor:"2,keyasint"`
	Number   uint64    `cbor:"3,keyasint"`
	Messages []Message `cbor:"4,keyasint"`
	// Answered is the number below which all packets of the stream were answered
	// when this one was sent. The receiver need not wait for those: if it has not
	// seen them, an earlier start of its host has.
	Answered uint64 `cbor:"5,keyasint,omitempty"`
	// Part is set in place of Messages if these are sent in several packets.
	Part *part `cbor:"6,keyasint,omitempty"`
}

// isEmpty reports whether the packet carries nothing.
func (p *packet) isEmpty() bool {
	return len(p.Messages) == 0 && p.Part == nil
}

// size returns an estimate of the encoded size of the packet, in bytes.
func (p *packet) size() int {
	size := 0
	for _, m := range p.Messages {
		size += approximateSize(m)
	}
	if p.Part != nil {
		size += len(p.Part.Data)
	}
	return size
}

// packetReply is the empty reply to a packet.
type packetReply struct{}

// Links sends the messages of one group between hosts over package link. It
// implements Transport. Packets to a host are sent concurrently and put back in
// order by the receiver.
type Links struct {
	method string
	self   mustardramp.HostName
	// Dial returns the link to a host that is not among the peers, or nil if
	// that host cannot be reached. It may be nil and must not be changed after
	// Run is called.
	Dial func(mustardramp.HostName) link.Invoker

	mu           sync.Mutex
	senders      map[mustardramp.HostName]*hostSender
	resequencers map[mustardramp.HostName]*resequencer
	// startSender starts the goroutine of a sender. It is nil unless Run is active.
	startSender func(*hostSender)
}

var _ Transport = (*Links)(nil)

// NewLinks returns the transport of a group's member to its peers.
func NewLinks(group GroupName, self mustardramp.HostName, peers map[mustardramp.HostName]link.Invoker) *Links {
	l := &Links{
		method:       "quorum/" + string(group),
		self:         self,
		senders:      map[mustardramp.HostName]*hostSender{},
		resequencers: map[mustardramp.HostName]*resequencer{},
	}
	for host, invoker := range peers {
		l.senders[host] = l.newSender(invoker)
	}
	return l
}

func (l *Links) newSender(invoker link.Invoker) *hostSender {
	return &hostSender{links: l, invoker: invoker, wake: make(chan struct{}, 1), stream: rand.Uint64()}
}

// Send implements Transport.
func (l *Links) Send(to mustardramp.HostName, m Message) {
	if s := l.sender(to); s != nil {
		s.enqueue(m)
	}
}

// sender returns the sender to a host, or nil if the host cannot be reached.
func (l *Links) sender(to mustardramp.HostName) *hostSender {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.senders[to]; s != nil || l.Dial == nil || to == l.self {
		return s
	}
	invoker := l.Dial(to)
	if invoker == nil {
		return nil
	}
	s := l.newSender(invoker)
	l.senders[to] = s
	if l.startSender != nil {
		l.startSender(s)
	}
	return s
}

// Forget implements Transport. The links to hosts of the settings stay open.
func (l *Links) Forget(host mustardramp.HostName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.resequencers, host)
	s := l.senders[host]
	if s == nil || l.Dial == nil {
		return
	}
	delete(l.senders, host)
	if s.cancel != nil {
		s.cancel()
	}
	if closer, ok := s.invoker.(io.Closer); ok {
		_ = closer.Close()
	}
}

// Receiver receives the messages of other members. Group implements it.
type Receiver interface {
	// Receive must not block.
	Receive(from mustardramp.HostName, m Message)
}

// Serve registers the method of the group at the router and passes the messages
// that arrive there to the receiver.
func (l *Links) Serve(router *link.Router, g Receiver) {
	link.Handle(router, l.method, func(_ context.Context, p packet) (packetReply, error) {
		l.receive(g, p)
		return packetReply{}, nil
	})
}

// Run sends queued messages until the context ends.
func (l *Links) Run(ctx context.Context) error {
	work, ctx := errgroup.WithContext(ctx)
	l.mu.Lock()
	l.startSender = func(s *hostSender) {
		senderCtx, cancel := context.WithCancel(ctx)
		s.cancel = cancel
		work.Go(func() error {
			// The end of one sender must not end the others.
			_ = s.run(senderCtx)
			return nil
		})
	}
	for _, s := range l.senders {
		l.startSender(s)
	}
	l.mu.Unlock()
	work.Go(func() error {
		<-ctx.Done()
		// No sender may start once Run waits for the senders to end.
		l.mu.Lock()
		defer l.mu.Unlock()
		l.startSender = nil
		return nil
	})
	_ = work.Wait()
	return nil
}

// receive passes the messages of a packet on in order. A growing number of
// buffered packets is logged, since it shows that an earlier one is late or lost.
func (l *Links) receive(g Receiver, p packet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.resequencers[p.From]
	if r == nil {
		r = &resequencer{}
		l.resequencers[p.From] = r
	}
	for _, m := range r.accept(p) {
		g.Receive(p.From, m)
	}
	if n := len(r.buffered); n >= minBufferedToLog && n&(n-1) == 0 {
		klog.InfoS("packets-buffered", "method", l.method, "from", p.From, "buffered", n, "next", r.next, "stream", r.stream)
	}
}

// streamsPerStart limits the number of streams between two starts of a host. A sender
// numbers its streams consecutively from a random number that it draws when it is
// created. A number less than streamsPerStart below the current one therefore belongs
// to an earlier stream of the same start, and any other number to a newer stream.
const streamsPerStart = 1 << 32

// minBufferedToLog is the number of buffered packets from which each doubling of
// that number is logged. Concurrent packets rarely overtake more than a few
// others.
const minBufferedToLog = 4

// resequencer restores the order of the packets of one host.
type resequencer struct {
	stream uint64
	// next is the number of the next packet to pass on; buffered holds later packets
	// by number.
	next     uint64
	buffered map[uint64]packet
	// parts holds the parts that were passed on and are not complete yet.
	parts assembly
}

// accept takes a packet and returns the messages to pass on now. A packet that
// arrives after it was skipped, or after its stream has ended, is passed on at
// once.
func (r *resequencer) accept(p packet) []Message {
	if p.Stream != r.stream {
		if r.stream-p.Stream < streamsPerStart {
			return p.Messages
		}
		*r = resequencer{stream: p.Stream}
	}
	if p.Number < r.next {
		return p.Messages
	}
	if r.buffered == nil {
		r.buffered = map[uint64]packet{}
	}
	r.buffered[p.Number] = p
	due := r.takeBelow(p.Answered)
	if len(r.buffered) >= maxBufferedPackets {
		r.next = slices.Min(slices.Collect(maps.Keys(r.buffered)))
	}
	return append(due, r.takeDue()...)
}

// takeBelow makes number the next one unless a later one is next. It removes the
// buffered packets before it and returns their messages.
func (r *resequencer) takeBelow(number uint64) []Message {
	if number <= r.next {
		return nil
	}
	r.next = number
	var due []Message
	for _, n := range slices.Sorted(maps.Keys(r.buffered)) {
		if n < number {
			due = append(due, r.messages(r.buffered[n])...)
			delete(r.buffered, n)
		}
	}
	return due
}

// takeDue removes the buffered packets from the next number up to the first gap
// and returns their messages.
func (r *resequencer) takeDue() []Message {
	var due []Message
	for {
		p, ok := r.buffered[r.next]
		if !ok {
			return due
		}
		delete(r.buffered, r.next)
		due = append(due, r.messages(p)...)
		r.next++
	}
}

// messages returns the messages that a packet carries or completes.
func (r *resequencer) messages(p packet) []Message {
	if p.Part != nil {
		return r.parts.add(p.Part)
	}
	return p.Messages
}

// hostSender sends messages to one host.
type hostSender struct {
	links   *Links
	invoker link.Invoker
	// wake holds a signal while messages may be queued.
	wake chan struct{}
	// cancel ends the sender. It is nil until the sender is started, and guarded by the
	// lock of the links.
	cancel context.CancelFunc

	mu    sync.Mutex
	queue []Message
	// parts holds the rest of messages that are sent in several packets. They go before
	// the queue.
	parts []*part
	// stream and number are those of the next packet.
	stream uint64
	number uint64
	// unanswered holds the numbers of the packets of the stream that have no
	// answer yet.
	unanswered map[uint64]bool
	// hasFailed is set after a failed call, until the next packet starts a new
	// stream.
	hasFailed bool
}

// enqueue queues a message, or drops it if the queue is full.
func (s *hostSender) enqueue(m Message) {
	s.mu.Lock()
	if len(s.queue) < maxQueuedMessages {
		s.queue = append(s.queue, m)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// nextPacket removes messages from the queue and returns them in a packet. The
// packet is empty if the queue is.
func (s *hostSender) nextPacket() packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasFailed {
		s.hasFailed = false
		s.stream++
		s.number = 0
		s.unanswered = nil
	}
	p := packet{From: s.links.self, Stream: s.stream, Number: s.number, Answered: s.answered()}
	p.Messages, p.Part = s.take()
	if !p.isEmpty() {
		if s.unanswered == nil {
			s.unanswered = map[uint64]bool{}
		}
		s.unanswered[s.number] = true
		s.number++
	}
	return p
}

// take removes the next part from the queue, or the messages of a packet.
func (s *hostSender) take() ([]Message, *part) {
	if len(s.parts) > 0 {
		next := s.parts[0]
		s.parts = s.parts[1:]
		return nil, next
	}
	count, size := 0, 0
	for ; count < len(s.queue) && size < targetPacketBytes; count++ {
		size += approximateSize(s.queue[count])
	}
	messages := s.queue[:count:count]
	s.queue = s.queue[count:]
	if size <= maxWholePacketBytes {
		return messages, nil
	}
	parts, err := splitMessages(messages)
	if err != nil {
		klog.ErrorS(err, "packet-not-encoded", "method", s.links.method)
		return nil, nil
	}
	s.parts = parts[1:]
	return nil, parts[0]
}

// answered returns the number below which all packets of the stream are answered.
func (s *hostSender) answered() uint64 {
	lowest := s.number
	for n := range s.unanswered {
		lowest = min(lowest, n)
	}
	return lowest
}

// markAnswered records the answer to a packet.
func (s *hostSender) markAnswered(p packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Stream == s.stream {
		delete(s.unanswered, p.Number)
	}
}

// approximateSize returns an estimate of the encoded size of a message, in bytes.
func approximateSize(m Message) int {
	size := 64
	for _, entry := range m.Entries {
		size += 32 + len(entry.Command)
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data)
	}
	return size
}

// run sends packets until the context ends.
func (s *hostSender) run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxPacketsInFlight)
	defer func() { _ = calls.Wait() }()
	bytesInFlight := semaphore.NewWeighted(maxBytesInFlight)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		for p := s.nextPacket(); !p.isEmpty(); p = s.nextPacket() {
			size := int64(min(p.size(), maxBytesInFlight))
			if err := bytesInFlight.Acquire(ctx, size); err != nil {
				return err
			}
			calls.Go(func() error {
				defer bytesInFlight.Release(size)
				s.send(ctx, p)
				return nil
			})
		}
	}
}

// send sends a packet. A failed call ends the stream and discards the queued
// messages, which are outdated by then: the members repeat what is still needed.
func (s *hostSender) send(ctx context.Context, p packet) {
	bounded, cancel := context.WithTimeout(ctx, packetTimeout)
	defer cancel()
	_, err := link.Call[packetReply](bounded, s.invoker, s.links.method, p)
	if err == nil {
		s.markAnswered(p)
		return
	}
	if ctx.Err() != nil {
		return
	}
	klog.V(1).InfoS("packet-lost", "method", s.links.method, "cause", err)
	s.mu.Lock()
	s.hasFailed = true
	s.queue, s.parts = nil, nil
	s.mu.Unlock()
	pause := time.NewTimer(failurePause)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}
