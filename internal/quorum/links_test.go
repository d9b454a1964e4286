package quorum

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/link"
)

func TestResequencerOrdersPackets(t *testing.T) {
	packetOf := func(stream, number uint64) packet {
		return packet{Stream: stream, Number: number, Messages: []Message{{Request: number}}}
	}
	afterAnswers := func(stream, number, answered uint64) packet {
		p := packetOf(stream, number)
		p.Answered = answered
		return p
	}
	for name, tc := range map[string]struct {
		packets []packet
		want    []uint64
	}{
		"in order":            {[]packet{packetOf(7, 0), packetOf(7, 1), packetOf(7, 2)}, []uint64{0, 1, 2}},
		"swapped":             {[]packet{packetOf(7, 1), packetOf(7, 0), packetOf(7, 2)}, []uint64{0, 1, 2}},
		"gap before the last": {[]packet{packetOf(7, 0), packetOf(7, 2)}, []uint64{0}},
		"new stream": {
			[]packet{packetOf(7, 0), packetOf(7, 2), packetOf(8, 0), packetOf(8, 1)},
			[]uint64{0, 0, 1},
		},
		"late packet of an ended stream": {
			[]packet{packetOf(8, 0), packetOf(7, 5), packetOf(8, 1)},
			[]uint64{0, 5, 1},
		},
		"restarted host": {
			[]packet{packetOf(1<<40, 0), packetOf(8, 0), packetOf(8, 1)},
			[]uint64{0, 0, 1},
		},
		"stream that began before the receiver's start": {
			[]packet{afterAnswers(7, 5, 5), afterAnswers(7, 7, 5), afterAnswers(7, 6, 5)},
			[]uint64{5, 6, 7},
		},
		"answered packets that an earlier start received": {
			[]packet{packetOf(7, 0), packetOf(7, 3), afterAnswers(7, 6, 5), packetOf(7, 5)},
			[]uint64{0, 3, 5, 6},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var r resequencer
			var got []uint64
			for _, p := range tc.packets {
				for _, m := range r.accept(p) {
					got = append(got, m.Request)
				}
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestResequencerSkipsLatePacket(t *testing.T) {
	var r resequencer
	var got []uint64
	take := func(number uint64) {
		for _, m := range r.accept(packet{Number: number, Messages: []Message{{Request: number}}}) {
			got = append(got, m.Request)
		}
	}
	for number := uint64(1); number <= maxBufferedPackets+2; number++ {
		take(number)
	}
	if len(got) != maxBufferedPackets+2 || !slices.IsSorted(got) {
		t.Errorf("got %v, want %d in order", got, maxBufferedPackets+2)
	}
	take(0)
	if last := got[len(got)-1]; last != 0 {
		t.Errorf("got message %d last, want 0 from the late packet", last)
	}
}

// messageReceiver passes on the messages that it receives.
type messageReceiver chan Message

func (r messageReceiver) Receive(_ mustardramp.HostName, m Message) { r <- m }

// restartedHost passes calls to the present start of a host.
type restartedHost struct{ client atomic.Pointer[link.Client] }

func (h *restartedHost) Invoke(ctx context.Context, method string, params json.RawMessage) (json.RawMessage, error) {
	return h.client.Load().Invoke(ctx, method, params)
}

// TestMessagesHeldBackAfterARestart restarts the receiver of a stream while the
// sender is silent, so that no call fails. The next message must arrive at once,
// although the packets before it went to the earlier start.
func TestMessagesHeldBackAfterARestart(t *testing.T) {
	const (
		bound    = 5 * time.Second
		starts   = 2
		messages = 3
	)
	var receiver restartedHost
	sender := NewLinks("restarted", "host-1", map[mustardramp.HostName]link.Invoker{"host-2": &receiver})
	ctx, cancel := context.WithCancel(t.Context())
	var work errgroup.Group
	work.Go(func() error { return sender.Run(ctx) })
	defer func() {
		cancel()
		_ = work.Wait()
	}()
	for start := range starts {
		received := make(messageReceiver, messages)
		stop := receiver.start(t, received)
		for i := range messages {
			want := uint64(start*messages + i)
			sender.Send("host-2", Message{Request: want})
			select {
			case m := <-received:
				if m.Request != want {
					t.Errorf("start %d: got message %d, want %d", start, m.Request, want)
				}
			case <-time.After(bound):
				t.Fatalf("start %d: message %d did not arrive within %v", start, want, bound)
			}
			waitForAnswers(t, sender.senders["host-2"], want+1)
		}
		stop()
	}
}

// waitForAnswers waits until the sender has the answers to its first packets.
func waitForAnswers(t *testing.T, s *hostSender, count uint64) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		answered := s.answered()
		s.mu.Unlock()
		if answered == count {
			return
		}
	}
	t.Fatalf("got no answer to packet %d, want one", count-1)
}

// start starts the host, which passes messages to a receiver. It returns a function
// that stops the host.
func (h *restartedHost) start(t *testing.T, receiver Receiver) func() {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &link.Server{}
	NewLinks("restarted", "host-2", nil).Serve(&server.Router, receiver)
	client := &link.Client{Address: netip.MustParseAddrPort(listener.Addr().String())}
	h.client.Store(client)
	ctx, cancel := context.WithCancel(t.Context())
	var work errgroup.Group
	work.Go(func() error { return server.Serve(ctx, listener) })
	return func() {
		_ = client.Close()
		cancel()
		if err := work.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// linkedMember is a member with its own listener on loopback.
type linkedMember struct {
	group   *Group
	links   *Links
	server  *link.Server
	address netip.AddrPort
	stop    func()
}

// startLinkedMembers starts members that communicate over TCP. They use real files
// in the folder, or fake disks if the folder is empty.
func startLinkedMembers(tb testing.TB, size int, folder string, machine func() mustardramp.StateMachine) []*linkedMember {
	tb.Helper()
	var hosts []mustardramp.HostName
	listeners := map[mustardramp.HostName]net.Listener{}
	for i := range size {
		host := mustardramp.HostName(fmt.Sprintf("host-%d", i+1))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		hosts = append(hosts, host)
		listeners[host] = listener
	}
	var members []*linkedMember
	for _, host := range hosts {
		peers := map[mustardramp.HostName]link.Invoker{}
		for _, peer := range hosts {
			if peer != host {
				address := netip.MustParseAddrPort(listeners[peer].Addr().String())
				peers[peer] = &link.Client{Address: address}
			}
		}
		members = append(members, startLinkedMember(tb, host, hosts, peers, listeners[host], folder, machine()))
	}
	return members
}

func startLinkedMember(tb testing.TB, host mustardramp.HostName, hosts []mustardramp.HostName, peers map[mustardramp.HostName]link.Invoker, listener net.Listener, folder string, machine mustardramp.StateMachine) *linkedMember {
	tb.Helper()
	config := Config{
		Group:     "linked",
		Host:      host,
		Hosts:     hosts,
		Folder:    "data",
		Disk:      &disk.Fake{},
		Machine:   machine,
		Transport: NewLinks("linked", host, peers),
	}
	if folder != "" {
		config.Disk = disk.System{}
		config.Folder = folder + "/" + string(host)
	}
	g, err := Open(config)
	if err != nil {
		tb.Fatal(err)
	}
	m := &linkedMember{
		group:   g,
		links:   config.Transport.(*Links),
		server:  &link.Server{},
		address: netip.MustParseAddrPort(listener.Addr().String()),
	}
	m.links.Serve(&m.server.Router, g)
	ctx, cancel := context.WithCancel(context.Background())
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return m.server.Serve(ctx, listener) })
	work.Go(func() error { return m.links.Run(ctx) })
	work.Go(func() error { return g.Run(ctx) })
	stopped := false
	m.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := work.Wait(); err != nil {
			tb.Errorf("%s: %v", host, err)
		}
		for _, peer := range peers {
			_ = peer.(*link.Client).Close()
		}
	}
	tb.Cleanup(m.stop)
	return m
}

func TestGroupOverLinks(t *testing.T) {
	members := startLinkedMembers(t, 3, "", func() mustardramp.StateMachine { return &recordingMachine{} })
	for i, m := range members {
		command := fmt.Appendf(nil, "command %d", i)
		got, err := m.group.Propose(t.Context(), command)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(got, command) {
			t.Errorf("got %q, want %q", got, command)
		}
		if err := m.group.Confirm(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLinksForgetHosts guards against links to replaced hosts that stay open for as long
// as the process runs. A host that is forgotten by mistake can be reached again.
func TestLinksForgetHosts(t *testing.T) {
	const messages = 10
	received := make(countingReceiver, 2*messages)
	h := &restartedHost{}
	stop := h.start(t, received)
	defer stop()
	l := NewLinks("restarted", "host-1", nil)
	l.Dial = func(mustardramp.HostName) link.Invoker { return h }
	ctx, cancel := context.WithCancel(t.Context())
	var work errgroup.Group
	work.Go(func() error { return l.Run(ctx) })
	defer func() {
		cancel()
		_ = work.Wait()
	}()
	for range messages {
		l.Send("host-2", Message{Kind: MessageHello})
		<-received
		l.receive(received, packet{From: "host-2", Number: 1})
		l.Forget("host-2")
		l.mu.Lock()
		if len(l.senders) != 0 || len(l.resequencers) != 0 {
			t.Errorf("got %d senders and %d resequencers, want none", len(l.senders), len(l.resequencers))
		}
		l.mu.Unlock()
	}
}

// countingReceiver takes the messages of a test.
type countingReceiver chan Message

// Receive implements Receiver.
func (c countingReceiver) Receive(_ mustardramp.HostName, m Message) { c <- m }

// TestGroupForgetsRemovedHosts checks that a group forgets the host of a removed member,
// but not one whose other identity still is a member.
func TestGroupForgetsRemovedHosts(t *testing.T) {
	network := &memoryNetwork{}
	g := &Group{config: Config{Host: "host-1", Transport: memoryTransport{network, "host-1"}}, observedHosts: map[MemberID]mustardramp.HostName{2: "host-2", 3: "host-3"}}
	old := Membership{{ID: 1, Host: "host-1"}, {ID: 2, Host: "host-2"}, {ID: 3, Host: "host-3"}, {ID: 4, Host: "host-3"}}
	g.forgetRemoved(old, Membership{{ID: 1, Host: "host-1"}, {ID: 4, Host: "host-3"}})
	if want := []mustardramp.HostName{"host-2"}; !slices.Equal(network.forgotten, want) {
		t.Errorf("got hosts %v forgotten, want %v", network.forgotten, want)
	}
	if got := len(g.observedHosts); got != 0 {
		t.Errorf("got %d observed members, want none", got)
	}
}
