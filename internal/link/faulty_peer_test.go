package link

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// startFaultyPeer starts a peer that writes what respond returns after each call on a
// connection. It ends the connection if respond says so.
func startFaultyPeer(t *testing.T, respond func(calls []call) (response []byte, end bool)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				serveFaulty(conn, respond)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// call is a call as a peer receives it.
type call struct {
	ID     json.RawMessage `json:"id"`
	Params json.RawMessage `json:"params"`
}

// frame returns the frame of the answer that returns the call's argument.
func (c call) frame() []byte {
	var out bytes.Buffer
	_ = codec{DefaultMaxMessage}.WriteObject(&out, map[string]any{"jsonrpc": "2.0", "id": c.ID, "result": c.Params})
	return out.Bytes()
}

func serveFaulty(conn net.Conn, respond func([]call) ([]byte, bool)) {
	reader := bufio.NewReader(conn)
	var calls []call
	for {
		var c call
		if err := (codec{DefaultMaxMessage}).ReadObject(reader, &c); err != nil {
			return
		}
		calls = append(calls, c)
		response, end := respond(calls)
		if _, err := conn.Write(response); err != nil || end {
			return
		}
	}
}

// TestPeerRepeatsAnEarlierAnswer calls a peer that writes the answer of an earlier call
// once more, before its own answer or in place of it. A call must get its own answer or
// an error.
func TestPeerRepeatsAnEarlierAnswer(t *testing.T) {
	for name, respond := range map[string]func([]call) ([]byte, bool){
		"before the own answer": func(calls []call) ([]byte, bool) {
			return append(calls[0].frame(), calls[len(calls)-1].frame()...), false
		},
		"after the own answer": func(calls []call) ([]byte, bool) {
			return append(calls[len(calls)-1].frame(), calls[0].frame()...), false
		},
		"in place of the own answer": func(calls []call) ([]byte, bool) { return calls[0].frame(), false },
	} {
		t.Run(name, func(t *testing.T) {
			c := closeOnCleanup(t, &Client{Address: startFaultyPeer(t, respond), Timeout: 200 * time.Millisecond})
			for _, want := range []string{"first", "second", "third"} {
				got, err := Call[echo](t.Context(), c, "echo", echo{want})
				if err == nil && got.Text != want {
					t.Errorf("got the answer %q, want %q or an error", got.Text, want)
				}
				if err != nil && (want == "first" || name != "in place of the own answer") {
					t.Errorf("call %q: got %v, want its answer", want, err)
				}
			}
		})
	}
}

// TestPeerCutsItsAnswer calls a peer that ends the connection after each byte of its
// answer in turn. The call must fail.
func TestPeerCutsItsAnswer(t *testing.T) {
	var length atomic.Int64
	for n := int64(0); n == 0 || n < length.Load(); n++ {
		address := startFaultyPeer(t, func(calls []call) ([]byte, bool) {
			answer := calls[0].frame()
			length.Store(int64(len(answer)))
			return answer[:n], true
		})
		client := &Client{Address: address}
		got, err := Call[echo](t.Context(), client, "echo", echo{"whole"})
		_ = client.Close()
		if err == nil {
			t.Errorf("cut after %d of %d bytes: got %q, want an error", n, length.Load(), got.Text)
		}
	}
}
