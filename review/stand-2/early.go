package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	earlyUploads = 10
	// earlyBytes is the length of an upload, which its client sends in earlyPieces over
	// earlyPieces times piecePause.
	earlyBytes  = 2_000_000
	earlyPieces = 20
	piecePause  = 50 * time.Millisecond
)

// playEarly lets the servers answer before they have read a long body, keep the connection
// and read on later.
func playEarly(f *fleet, trouble bool) (verdict, error) {
	config := render("config.tmpl", configuration{Version: 1, Services: []string{uploadService}, Routes: []configRoute{
		{Name: "upload", Host: uploadHost, Kind: "upload", Timeout: "10000ms", Service: uploadService},
	}})
	if err := f.startAll(config); err != nil {
		return verdict{}, err
	}
	s, err := f.startServer(uploadService, "kol-a", f.address(), 6)
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	front := f.fronts[0]
	if err := f.awaitServed(front, uploadHost+"/upload/"); err != nil {
		return verdict{}, err
	}
	seen := newArrivals()
	s.handle = func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(names["id"])
		if trouble {
			_ = http.NewResponseController(w).EnableFullDuplex()
			s.answer(w, r, "accepted")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(300 * time.Millisecond)
		}
		n, err := io.Copy(io.Discard, r.Body)
		seen.noteBody(id, int(n))
		f.record.note("server %s: request %s had a body of %d bytes, error %v", s.ID, id, n, err)
		if !trouble {
			s.answer(w, r, "accepted")
		}
	}
	cut, accepted := 0, 0
	for range earlyUploads {
		q, err := f.open(front, http.MethodPost, uploadHost, "/upload/hearing", earlyBytes, 12*time.Second)
		if err != nil {
			return verdict{}, err
		}
		sent := make(chan error, 1)
		go func() {
			piece := []byte(strings.Repeat("x", earlyBytes/earlyPieces))
			for range earlyPieces {
				if _, err := q.conn.Write(piece); err != nil {
					sent <- err
					return
				}
				time.Sleep(piecePause)
			}
			sent <- nil
		}()
		status, header, text, err := q.response(12 * time.Second)
		f.record.note("client: %s gets %d, stamp %q, %q, error %v", q.id, status, header.Get(names["stamp"]), text, err)
		sendErr := <-sent
		f.record.note("client: %s has sent its body, error %v", q.id, sendErr)
		time.Sleep(500 * time.Millisecond)
		seen.mu.Lock()
		n := seen.bytes[q.id]
		seen.mu.Unlock()
		if status == http.StatusOK {
			accepted++
			if n != earlyBytes {
				cut++
			}
		}
		q.leave()
	}
	return verdict{broken: cut > 0, reason: fmt.Sprintf("%d of %d uploads that the server had accepted with 200 reached it cut off", cut, accepted)}, nil
}
