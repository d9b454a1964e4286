package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// request is one attempt of a consumer on a connection of its own.
type request struct {
	id   string
	conn net.Conn
	in   *bufio.Reader
	// closed is when the consumer closed the connection, or zero.
	closed time.Time
}

// newID returns an id that no other request of this run has.
func newID() string {
	return fmt.Sprintf("req-%04d", lastRequest.Add(1))
}

// open connects to a front and sends a head. A length of 0 sends no body.
func (f *fleet) open(m *machine, method, host, target string, length int, deadline time.Duration) (*request, error) {
	conn, err := net.DialTimeout("tcp", m.IP+":8548", time.Second)
	if err != nil {
		return nil, err
	}
	q := &request{id: newID(), conn: conn, in: bufio.NewReader(conn)}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, names["id"], q.id, names["deadline"], deadline.Milliseconds())
	if length > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	_, err = io.WriteString(conn, head+"\r\n")
	f.record.note("client: %s %s %s%s, %d bytes, to %s", q.id, method, host, target, length, m.Name)
	return q, err
}

// response reads the whole answer.
func (q *request) response(limit time.Duration) (status int, header http.Header, body string, err error) {
	_ = q.conn.SetReadDeadline(time.Now().Add(limit))
	r, err := http.ReadResponse(q.in, nil)
	if err != nil {
		return 0, nil, "", err
	}
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header, string(text), err
}

// leave closes the connection.
func (q *request) leave() {
	_ = q.conn.Close()
	q.closed = time.Now()
}
