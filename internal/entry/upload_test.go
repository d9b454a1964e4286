package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/callerlimit"
)

// numbered returns n bytes in which each place has a text of its own.
func numbered(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%07d ", i)
	}
	return b.Bytes()[:n]
}

// TestShedUploadReachesTheNextBackendWhole guards against uploads that lose a part of
// their body, or are refused, because a backend that shed them has taken a part of it.
func TestShedUploadReachesTheNextBackendWhole(t *testing.T) {
	const uploads, callers = 400, 8
	// The answer crosses the body: it comes before, while and after parts of it are read.
	shed := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, reader)
		}
	})
	tests := map[string]struct {
		isChunked bool
		length    int
	}{
		"length":               {false, 100_000},
		"chunked":              {true, 100_000},
		"chunked, short":       {true, 3},
		"chunked, one block":   {true, uploadBlockBytes},
		"as much as held":      {false, maxUploadBytes},
		"length, partial last": {false, maxUploadBytes - 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			payload := numbered(test.length)
			store := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if got, err := io.ReadAll(r.Body); err != nil || !bytes.Equal(got, payload) {
					t.Errorf("body at the backend: got %d bytes, %v, want the %d that were sent", len(got), err, len(payload))
				}
				w.WriteHeader(http.StatusCreated)
			})
			f := newFixture(t, shed, store)
			f.budget.remaining.Store(uploads)
			var group errgroup.Group
			for range callers {
				group.Go(func() error {
					for range uploads / callers {
						r, err := http.NewRequest("PUT", f.server.URL+"/uploads/a", bytes.NewReader(payload))
						if err != nil {
							return err
						}
						r.Host = "mohor.example"
						if test.isChunked {
							r.ContentLength = -1
						}
						response, err := http.DefaultTransport.RoundTrip(r)
						if err != nil {
							return err
						}
						_ = response.Body.Close()
						if response.StatusCode != http.StatusCreated {
							return fmt.Errorf("got %d (%s), want 201", response.StatusCode, response.Header.Get(HeaderReason))
						}
					}
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// heldConn is a connection whose first Write returns only once released is closed. Its
// bytes are sent before.
type heldConn struct {
	net.Conn
	released <-chan struct{}
	once     sync.Once
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.once.Do(func() { <-c.released })
	return n, err
}

// TestTransportThatReadsOnTakesNothingOfTheBody guards against a transport that begins to
// read the body after its attempt has ended. It is held between the head and the body until
// the next attempt waits for the body.
func TestTransportThatReadsOnTakesNothingOfTheBody(t *testing.T) {
	const pieces = 50
	for name, header := range map[string]string{"chunked": "Transfer-Encoding: chunked", "length": fmt.Sprintf("Content-Length: %d", 100_000)} {
		t.Run(name, func(t *testing.T) {
			payload := numbered(100_000)
			released, ended := make(chan struct{}), make(chan struct{})
			shed := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n")
					<-ended
				}
			})
			store := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				close(released)
				if got, err := io.ReadAll(r.Body); err != nil || !bytes.Equal(got, payload) {
					t.Errorf("body at the backend: got %d bytes, %v, want the %d that were sent", len(got), err, len(payload))
				}
				w.WriteHeader(http.StatusCreated)
			})
			f := newFixture(t, shed, store)
			defer close(ended)
			dialer := &net.Dialer{}
			f.handler.transports = newTransports(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if address == shed && err == nil {
					conn = &heldConn{Conn: conn, released: released}
				}
				return conn, err
			})
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = io.WriteString(conn, "PUT /uploads/a HTTP/1.1\r\nHost: mohor.example\r\n"+header+"\r\n\r\n")
			select {
			case <-released:
			case <-time.After(10 * time.Second):
				t.Fatal("got no second attempt, want one")
			}
			for piece := range slices.Chunk(payload, len(payload)/pieces) {
				if name == "chunked" {
					_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
				} else {
					_, _ = conn.Write(piece)
				}
				time.Sleep(time.Millisecond)
			}
			if name == "chunked" {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusCreated {
				t.Errorf("got %d (%s), want 201", response.StatusCode, response.Header.Get(HeaderReason))
			}
		})
	}
}

// TestEndedAttemptTakesNothingOfTheBody guards against an attempt that still reads the
// caller's body after it has ended, as the transport does.
func TestEndedAttemptTakesNothingOfTheBody(t *testing.T) {
	payload := numbered(3 * uploadBlockBytes)
	caller, sender := io.Pipe()
	u := newTestUpload(caller, 0, -1)
	first := u.newReader()
	read := make([]byte, 100)
	var group errgroup.Group
	group.Go(func() error {
		// Before a byte has arrived.
		_, err := first.Read(read)
		if err == nil {
			return fmt.Errorf("the ended attempt got a part of the body")
		}
		return nil
	})
	eventually(t, "wait for the caller", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.isStarted
	})
	_ = first.Close()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	second := u.newReader()
	group.Go(func() error {
		_, err := sender.Write(payload)
		_ = sender.Close()
		return err
	})
	got, err := io.ReadAll(iotest.HalfReader(second))
	if err != nil || !bytes.Equal(got, payload) {
		t.Errorf("got %d bytes, %v, want the %d of the body", len(got), err, len(payload))
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestUploadHoldsWithinTheAccount guards against bodies that are held beyond the host's
// memory for callers, and against uploads that stop for lack of it.
func TestUploadHoldsWithinTheAccount(t *testing.T) {
	tests := map[string]struct {
		limit, used mustardramp.Bytes
		length      int
		wantReplay  bool
		wantMost    mustardramp.Bytes
	}{
		"room":                  {64 << 20, 0, 300_000, true, 300_000 + uploadBlockBytes},
		"room, more than held":  {64 << 20, 0, 3 * maxUploadBytes, false, maxUploadBytes},
		"little room":           {4 << 20, 3<<20 - 40<<10, 300_000, false, 48 << 10},
		"no room":               {1 << 20, 1 << 20, 300_000, false, uploadBlockBytes},
		"no room, short":        {1 << 20, 1 << 20, 100, true, uploadBlockBytes},
		"no room, not to store": {1 << 20, 2 << 20, 3 * maxUploadBytes, false, uploadBlockBytes},
	}
	for name, test := range tests {
		for _, length := range []int64{-1, int64(test.length)} {
			t.Run(fmt.Sprintf("%s, length %d", name, length), func(t *testing.T) {
				payload := numbered(test.length)
				// net/http reports the end of a body of known length with its last byte.
				u := newTestUpload(iotest.DataErrReader(bytes.NewReader(payload)), test.limit, length)
				account := u.handler.config.Account
				account.Hold(test.used)
				reader := u.newReader()
				var got bytes.Buffer
				buf, most := make([]byte, 5000), mustardramp.Bytes(0)
				for {
					n, err := reader.Read(buf)
					got.Write(buf[:n])
					most = max(most, u.held())
					if err != nil {
						break
					}
				}
				if !bytes.Equal(got.Bytes(), payload) {
					t.Errorf("got %d bytes, want the %d of the body", got.Len(), len(payload))
				}
				if got := u.canReplay(); got != test.wantReplay {
					t.Errorf("can be sent again: got %t, want %t", got, test.wantReplay)
				}
				if most > test.wantMost {
					t.Errorf("held: got %d bytes, want at most %d", most, test.wantMost)
				}
				if got, want := u.held(), mustardramp.Bytes(uploadWindowBytes); !test.wantReplay && got > want {
					t.Errorf("held of a body that cannot be sent again: got %d bytes, want at most %d", got, want)
				}
				u.close(0)
				if got := account.Used(); got != test.used {
					t.Errorf("held after the end: got %d bytes, want %d", got-test.used, 0)
				}
				if _, err := reader.Read(buf); err == nil {
					t.Error("the reader of an upload that is over got bytes")
				}
			})
		}
	}
}

// TestAnsweredUploadIsNotHeld guards against bodies that take memory for as long as the
// caller reads the response.
func TestAnsweredUploadIsNotHeld(t *testing.T) {
	const length = 300_000
	release := make(chan struct{})
	f := newFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusCreated)
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer close(release)
	response := f.send(t, "PUT", "/uploads/a", strings.Repeat("x", length))
	if response.StatusCode != http.StatusCreated {
		t.Fatalf("got status %d, want 201", response.StatusCode)
	}
	eventually(t, "release of the body", func() bool { return f.handler.heldBodyBytes.Load() == 0 })
}

// held returns the memory that the upload holds.
func (u *upload) held() mustardramp.Bytes {
	u.mu.Lock()
	defer u.mu.Unlock()
	return mustardramp.Bytes(u.reserved)
}

// newTestUpload returns the upload of a body without a connection.
func newTestUpload(source io.Reader, limit mustardramp.Bytes, length int64) *upload {
	h := New(Config{Account: &callerlimit.Account{Limit: limit}})
	r, _ := http.NewRequest("PUT", "/", strings.NewReader(""))
	r.ContentLength = length
	body := &callerBody{
		source:       source,
		controller:   http.NewResponseController(nil),
		root:         h.root,
		stallTimeout: DefaultStallTimeout,
		onEnd:        func() {},
		cancel:       func() {},
		stopWatch:    func() bool { return true },
	}
	u := &upload{handler: h, request: r, source: body}
	u.changed.L = &u.mu
	return u
}
