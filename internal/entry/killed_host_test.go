package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// killedHostBackend names the variable that makes TestKilledHostShowsTheCut serve as the
// host, in a process of its own, with the backend at the address.
const killedHostBackend = "KILLED_HOST_BACKEND"

// TestKilledHostShowsTheCut guards against a part of an answer that a caller without
// chunks takes for the whole, because the process of the host was killed.
func TestKilledHostShowsTheCut(t *testing.T) {
	if address := os.Getenv(killedHostBackend); address != "" {
		s := newServerFixture(t, 0, address)
		fmt.Println("address", s.address)
		_, _ = io.Copy(io.Discard, os.Stdin)
		return
	}
	backend := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 3*bufferSize))
		// The answer goes on until the host ends.
		_, _ = io.Copy(io.Discard, reader)
	})
	host := exec.Command(os.Args[0], "-test.run", "^TestKilledHostShowsTheCut$")
	host.Env = append(os.Environ(), killedHostBackend+"="+backend)
	if _, err := host.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	output, err := host.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := host.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = host.Process.Kill()
		_ = host.Wait()
	}()
	var address string
	for scanner := bufio.NewScanner(output); address == "" && scanner.Scan(); {
		if found, ok := strings.CutPrefix(scanner.Text(), "address "); ok {
			address = found
		}
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(conn, "GET /plain/1 HTTP/1.0\r\nHost: mohor.example\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.CopyN(io.Discard, response.Body, bufferSize); err != nil {
		t.Fatal(err)
	}
	if err := host.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the answer of a killed host: got error %v, want a reset", err)
	}
}
