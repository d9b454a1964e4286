// Package callerconn limits what the connections of callers make a host hold before
// and while their requests are served. Its listener counts the bytes and lines of each
// request head before net/http builds its map of headers.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/callerlimit"
)

// Defaults of Config.
const (
	DefaultHeadBytes mustardramp.Bytes = 64 << 10
	DefaultHeadTime                    = 10 * time.Second
	DefaultIdleTime                    = 2 * time.Minute
	// DefaultEmptyLines is the number of empty lines before a request. RFC 9112,
	// section 2.2, asks to accept one, and some clients send one after each body.
	DefaultEmptyLines = 8
)

// Cause is the reason for which a connection was refused or closed.
type Cause int

// The causes.
const (
	// HeadTooLarge means that a head exceeds Limits.HeadBytes.
	HeadTooLarge Cause = iota
	// NoRoom means that the account had no room for a head.
	NoRoom
	// EmptyLines means that more than the allowed empty lines preceded a head.
	EmptyLines
	// HeadTimeout means that a head was not complete after Limits.HeadTime.
	HeadTimeout
	// Replaced means that a waiting connection was closed for a new one.
	Replaced
	// NoConnection means that a new connection was closed because no other could be.
	NoConnection
	// Expensive means that an unfinished head was closed because the account was
	// nearly full.
	Expensive
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{"head-too-large", "no-room", "empty-lines", "head-timeout", "replaced", "no-connection", "expensive"}

// String returns the name of the cause in logs and counters.
func (c Cause) String() string {
	return causeNames[c]
}

// Config configures a Guard. The zero value limits nothing but the size of heads and
// the empty lines before them.
type Config struct {
	// Account may be shared with other guards and may be nil.
	Account *callerlimit.Account
	// Limits returns the limits in force; fields that are 0 have the defaults above.
	// It is called often and must not take a lock. It may be nil.
	Limits func() callerlimit.Limits
	// MaxConnections is the maximum number of connections, or 0 for no limit.
	MaxConnections int
	// EmptyLines is the maximum number of empty lines before a request; 0 stands for
	// DefaultEmptyLines.
	EmptyLines int
	// Encrypted is true if the connections carry TLS. Heads are then counted after
	// net/http has read them within the limits of the http.Server.
	Encrypted bool
}

// Guard applies the limits to the connections of one server.
type Guard struct {
	// Name identifies the server in log lines.
	Name string

	config Config
	counts [CauseCount]atomic.Int64
	// lastCaller is the address of the caller that was limited last.
	lastCaller atomic.Pointer[string]
	// reported holds the counts at the last log line. Only Report uses it.
	reported [CauseCount]int64

	// relievedAt is when relieve last closed connections, in Unix nanoseconds.
	relievedAt atomic.Int64

	mu sync.Mutex
	// conns holds the open connections. A connection that is being closed for a new
	// one is no longer in it.
	conns map[*Conn]struct{}
}

// New returns a guard with a name for log lines.
func New(name string, config Config) *Guard {
	if config.EmptyLines <= 0 {
		config.EmptyLines = DefaultEmptyLines
	}
	return &Guard{Name: name, config: config, conns: map[*Conn]struct{}{}}
}

// limits returns the limits in force with the defaults filled in.
func (g *Guard) limits() callerlimit.Limits {
	var l callerlimit.Limits
	if g.config.Limits != nil {
		l = g.config.Limits()
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = DefaultHeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = DefaultIdleTime
	}
	return l
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// Attach lets the guard follow the requests of a server whose connections come from
// Listener. The server must have its handler.
func (g *Guard) Attach(server *http.Server) {
	if !g.config.Encrypted {
		server.MaxHeaderBytes = maxHeadBytes
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := unwrap(conn); c != nil {
			c.follow(conn, state)
		}
	}
	handler := server.Handler
	if g.config.Encrypted {
		server.Handler = g.chargeParsed(handler)
		return
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil {
			c.beginBody(r.ContentLength)
		}
		handler.ServeHTTP(w, r)
	})
}

// chargeParsed returns a handler that counts heads which net/http has already read.
func (g *Guard) chargeParsed(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, lines := parsedSize(r)
		cost := callerlimit.HeadCost(size, lines)
		switch {
		case mustardramp.Bytes(size) > g.limits().HeadBytes:
			g.refuseParsed(w, r, HeadTooLarge)
		case !g.config.Account.Reserve(cost+callerlimit.RequestCost, cost):
			g.refuseParsed(w, r, NoRoom)
		default:
			defer g.config.Account.Release(cost + callerlimit.RequestCost)
			handler.ServeHTTP(w, r)
		}
	})
}

// parsedSize returns the size of the head of a request and the number of its lines.
func parsedSize(r *http.Request) (size, lines int) {
	const separators = len(": \r\n")
	size, lines = len(r.Method)+len(r.RequestURI)+len(r.Host), 1
	for name := range r.Trailer {
		// net/http has moved the names from the Trailer line.
		size += len(name) + len(",")
		lines++
	}
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
		lines += len(values)
	}
	return size, lines
}

// refuseParsed answers a request that is not passed on.
func (g *Guard) refuseParsed(w http.ResponseWriter, r *http.Request, cause Cause) {
	g.countCaller(cause, r.RemoteAddr)
	refusal := refusals[cause]
	for name, value := range refusal.header {
		w.Header().Set(name, value)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(refusal.status)
	_, _ = w.Write([]byte(refusal.text))
}

// unwrap returns the connection of the guard below a connection, or nil.
func unwrap(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
	return nil
}

// Listener returns a listener whose connections are limited.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admit returns the connection with its limits, or nil if there is no room for it. A
// connection that waits is closed for it if there is one.
func (g *Guard) admit(inner net.Conn) *Conn {
	now := time.Now()
	c := newConn(inner, g, now)
	account := g.config.Account
	hasRoom := account.Reserve(callerlimit.ConnectionCost, callerlimit.ConnectionCost)
	victim, ok := g.add(c, hasRoom, now)
	switch {
	case !ok:
		if hasRoom {
			account.Release(callerlimit.ConnectionCost)
		}
		g.count(NoConnection, inner)
		return nil
	case victim != nil:
		// The victim's own reservation ends when its goroutine does.
		_ = victim.Conn.Close()
		g.count(Replaced, victim.Conn)
	}
	if !hasRoom {
		account.Hold(callerlimit.ConnectionCost)
	}
	return c
}

// add adds a connection and returns the one to close for it, or nil if there is room.
// It returns false if there is none to close.
func (g *Guard) add(c *Conn, hasRoom bool, now time.Time) (victim *Conn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if hasRoom && (g.config.MaxConnections <= 0 || len(g.conns) < g.config.MaxConnections) {
		g.conns[c] = struct{}{}
		return nil, true
	}
	isAny := func(callerlimit.Waiting) bool { return true }
	if victim = g.evict(now, isAny, callerlimit.Waiting.CloseBefore); victim == nil {
		return nil, false
	}
	g.conns[c] = struct{}{}
	return victim, true
}

// evict removes the first connection in an order among the eligible ones that may be
// closed and returns it, or nil if there is none. The caller holds mu and closes the
// connection.
func (g *Guard) evict(now time.Time, isEligible func(callerlimit.Waiting) bool, isFirst func(w, other callerlimit.Waiting) bool) *Conn {
	var victim *Conn
	var first callerlimit.Waiting
	for c := range g.conns {
		w, isWaiting := c.waiting()
		if isWaiting && w.MayClose(now) && isEligible(w) && (victim == nil || isFirst(w, first)) {
			victim, first = c, w
		}
	}
	if victim == nil || !victim.evict() {
		return nil
	}
	delete(g.conns, victim)
	return victim
}

const (
	// relieveInterval bounds the time that relieve takes: it looks at all connections.
	relieveInterval = 10 * time.Millisecond
	// relieveCount is how many connections relieve closes at most.
	relieveCount = 4
)

// relieve closes the most expensive unfinished heads if the account is nearly full.
func (g *Guard) relieve() {
	if !g.config.Account.IsFull() {
		return
	}
	now := time.Now()
	last := g.relievedAt.Load()
	if now.UnixNano()-last < int64(relieveInterval) || !g.relievedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	for range relieveCount {
		g.mu.Lock()
		victim := g.evict(now, callerlimit.Waiting.HasCost, callerlimit.Waiting.CostsMore)
		g.mu.Unlock()
		if victim == nil {
			return
		}
		_ = victim.Conn.Close()
		g.count(Expensive, victim.Conn)
	}
}

// remove removes a connection that was closed.
func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// count counts a connection that was refused or closed.
func (g *Guard) count(cause Cause, conn net.Conn) {
	g.countCaller(cause, conn.RemoteAddr().String())
}

// countCaller counts a refusal for a caller with an address.
func (g *Guard) countCaller(cause Cause, address string) {
	g.counts[cause].Add(1)
	g.lastCaller.Store(&address)
}

// Counts returns how many connections were refused or closed since the start, by
// cause.
func (g *Guard) Counts() [CauseCount]int64 {
	var out [CauseCount]int64
	for cause := range g.counts {
		out[cause] = g.counts[cause].Load()
	}
	return out
}

// Report logs one line if connections were refused or closed since the last call. It
// must not be called concurrently.
func (g *Guard) Report() {
	counts := g.Counts()
	if counts == g.reported {
		return
	}
	fields := []any{"server", g.Name}
	for cause, n := range counts {
		fields = append(fields, Cause(cause).String(), n-g.reported[cause])
	}
	g.reported = counts
	g.mu.Lock()
	connections := len(g.conns)
	g.mu.Unlock()
	fields = append(fields, "connections", connections, "held", g.config.Account.Used(), "last-caller", *g.lastCaller.Load())
	klog.InfoS("callers-limited", fields...)
}
