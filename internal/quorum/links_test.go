package quorum

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
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

// TestMessagesHeldBackAfterARestart restarts the receiver of a stream while the
// sender is silent. The next message must arrive at once, although the packets
// before it went to the earlier start.
func TestMessagesHeldBackAfterARestart(t *testing.T) {
	const bound = 5 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	client := &link.Client{Address: address, RedialInterval: time.Millisecond}
	sender := NewLinks("restarted", "host-1", map[mustardramp.HostName]link.Invoker{"host-2": client})
	ctx, cancel := context.WithCancel(t.Context())
	var work errgroup.Group
	work.Go(func() error { return sender.Run(ctx) })
	defer func() {
		cancel()
		_ = work.Wait()
		_ = client.Close()
	}()
	for start := range uint64(2) {
		received := make(messageReceiver, 16)
		stop := serveLinks(t, "host-2", listener, received)
		for i := range uint64(3) {
			want := 10*start + i
			sender.Send("host-2", Message{Request: want})
			select {
			case m := <-received:
				if m.Request != want {
					t.Errorf("start %d: got message %d, want %d", start, m.Request, want)
				}
			case <-time.After(bound):
				t.Fatalf("start %d: message %d did not arrive within %v", start, want, bound)
			}
		}
		stop()
		if listener, err = net.Listen("tcp", address.String()); err != nil {
			t.Fatal(err)
		}
	}
	_ = listener.Close()
}

// serveLinks starts a host that passes messages of the group "restarted" to a
// receiver. It returns a function that stops the host.
func serveLinks(t *testing.T, host mustardramp.HostName, listener net.Listener, receiver Receiver) func() {
	t.Helper()
	server := &link.Server{}
	NewLinks("restarted", host, nil).Serve(&server.Router, receiver)
	ctx, cancel := context.WithCancel(t.Context())
	var work errgroup.Group
	work.Go(func() error { return server.Serve(ctx, listener) })
	return func() {
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
