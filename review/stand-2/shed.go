package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedServers of shedSlots slots each serve the uploads.
	shedServers = 24
	shedSlots   = 6
	// shedShare of the requests are turned away for shedTime, again after shedPause.
	shedShare = 0.55
	shedTime  = 8 * time.Second
	shedPause = 2 * time.Second
	// shedRounds is the number of such spells.
	shedRounds = 8
	// shedClients upload one body after the other, shedBytes long, in one chunk.
	shedClients = 48
	shedBytes   = 100_000
)

// shedding counts what the servers of playShed saw.
type shedding struct {
	f       *fleet
	payload []byte
	// isBusy is true while the servers turn a share of the requests away.
	isBusy                     atomic.Bool
	shed, whole, cut, changed  atomic.Int64
	okWhole, okChanged, others atomic.Int64
	// ran maps the id of a request to whether it ran with another body than it was sent
	// with.
	ran sync.Map
}

// playShed lets the servers of uploads turn a share of the requests away, as they may when
// they are full or fail in part: with the header that says that the request has not run,
// and before they have read its body.
func playShed(f *fleet, trouble bool) (verdict, error) {
	config := render("config.tmpl", configuration{Version: 1, Services: []string{uploadService}, Routes: []configRoute{
		{Name: "upload", Host: uploadHost, Kind: "upload", Timeout: "10000ms", Service: uploadService},
	}})
	if err := f.startAll(config); err != nil {
		return verdict{}, err
	}
	s := &shedding{f: f, payload: numbered(shedBytes)}
	for i := range shedServers {
		u, err := f.startRawServer(uploadService, zones[i%2], f.address(), shedSlots, s.serve)
		if err != nil {
			return verdict{}, err
		}
		defer u.close()
	}
	for _, m := range f.fronts {
		if err := f.awaitServed(m, uploadHost+"/upload/"); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(shedRounds * (shedTime + shedPause))
	var clients sync.WaitGroup
	for i := range shedClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				s.upload(f.fronts[i%len(f.fronts)])
			}
		})
	}
	for range shedRounds {
		s.isBusy.Store(trouble)
		time.Sleep(shedTime)
		s.isBusy.Store(false)
		time.Sleep(shedPause)
		f.record.note("so far: %s", s.totals())
	}
	clients.Wait()
	return verdict{broken: s.changed.Load() > 0, reason: s.totals()}, nil
}

// totals says what the servers and the clients saw so far.
func (s *shedding) totals() string {
	return fmt.Sprintf("servers ran %d uploads whole, %d with a changed body, %d broke off, %d were turned away; clients got 200 for %d whole and %d changed ones, and %d other answers",
		s.whole.Load(), s.changed.Load(), s.cut.Load(), s.shed.Load(), s.okWhole.Load(), s.okChanged.Load(), s.others.Load())
}

// numbered returns n bytes in which every place has a text of its own.
func numbered(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		_, _ = fmt.Fprintf(&b, "%07d ", i)
	}
	return b.Bytes()[:n]
}

// serve answers one request of a server that has a free slot.
func (s *shedding) serve(u *server, r *http.Request, out io.Writer) {
	id := r.Header.Get(names["id"])
	if s.isBusy.Load() && rand.Float64() < shedShare {
		s.shed.Add(1)
		writeRaw(out, u, id, http.StatusServiceUnavailable, "")
		return
	}
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		s.cut.Add(1)
		return
	case len(body) == 0 && r.ContentLength == 0:
		// The first request, which only shows that the route is served.
	case bytes.Equal(body, s.payload):
		s.whole.Add(1)
		s.ran.Store(id, false)
	default:
		s.changed.Add(1)
		s.ran.Store(id, true)
		at := 0
		for at < len(body) && at < len(s.payload) && body[at] == s.payload[at] {
			at++
		}
		s.f.record.note("server %s: request %s runs with a changed body: %d of %d bytes, it differs from byte %d on: %q in place of %q",
			u.ID, id, len(body), len(s.payload), at, body[at:min(at+16, len(body))], s.payload[at:min(at+16, len(s.payload))])
	}
	writeRaw(out, u, id, http.StatusOK, "stored")
}

// upload sends one upload in a single chunk on a connection of its own.
func (s *shedding) upload(m *machine) {
	conn, err := net.DialTimeout("tcp", m.IP+":8548", time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := newID()
	head := fmt.Sprintf("POST /upload/hearing HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\nTransfer-Encoding: chunked\r\n\r\n", uploadHost, names["id"], id, names["deadline"])
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = fmt.Fprintf(conn, "%s%x\r\n%s\r\n0\r\n\r\n", head, len(s.payload), s.payload)
	}()
	_ = conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	wasChanged, hasRun := s.ran.LoadAndDelete(id)
	switch {
	case err != nil || response.StatusCode != http.StatusOK || !hasRun:
		s.others.Add(1)
	case wasChanged.(bool):
		s.okChanged.Add(1)
		s.f.record.note("client: %s sent %d bytes to %s and gets 200, although the server stored another body", id, len(s.payload), m.Name)
	default:
		s.okWhole.Add(1)
	}
	_ = conn.Close()
	<-sent
}
