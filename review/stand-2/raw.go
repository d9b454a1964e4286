package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// serveFunc answers a request that has a slot at a server.
type serveFunc func(u *server, r *http.Request, out io.Writer)

// startRawServer starts a server that serves one request a connection. It answers as soon
// as it has read a head, without the delays of an HTTP library.
func (f *fleet) startRawServer(service, zone, ip string, slots int, serve serveFunc) (*server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := f.newServer(service, zone, listener.Addr(), slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveRaw(conn, serve)
		}
	}()
	go func() {
		<-s.stop
		_ = listener.Close()
	}()
	go s.announce()
	return s, nil
}

func (s *server) serveRaw(conn net.Conn, serve serveFunc) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	defer linger(conn)
	id, expected := r.Header.Get(names["id"]), r.Header.Get(names["expected"])
	switch {
	case r.URL.Path == "/health":
		writeRaw(conn, s, "", http.StatusOK, "")
		return
	case expected != "" && expected != s.ID:
		writeRaw(conn, s, id, http.StatusMisdirectedRequest, "")
		return
	case id == "":
		writeRaw(conn, s, id, http.StatusBadRequest, "")
		return
	case !s.enter():
		writeRaw(conn, s, id, http.StatusServiceUnavailable, "")
		return
	}
	s.slots <- struct{}{}
	serve(s, r, conn)
	<-s.slots
	s.leave()
}

// lingerTime is how long a server reads on after an answer.
const lingerTime = 500 * time.Millisecond

// linger reads what the peer still sends, so that the end of the connection does not reset
// it before the peer has read the answer.
func linger(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, conn)
}

// writeRaw writes an answer that ends the connection. All but a success say that the
// request has not run.
func writeRaw(out io.Writer, s *server, id string, status int, body string) {
	extra := names["notRun"] + ": 1\r\n"
	if status == http.StatusOK {
		extra = names["stamp"] + ": " + s.ID + "." + id + "\r\n"
	}
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), names["id"], id, names["instance"], s.ID, extra, len(body), body)
}
