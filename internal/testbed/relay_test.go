package testbed

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// echoServer starts a server that echoes each byte, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echoOneByte sends one byte and returns the error of reading the echo within
// limit.
func echoOneByte(t *testing.T, conn net.Conn, limit time.Duration) error {
	t.Helper()
	_, err := conn.Write([]byte{1})
	must.NoError(t, err)
	conn.SetReadDeadline(time.Now().Add(limit))
	_, err = conn.Read(make([]byte, 1))
	return err
}

const (
	silenceTimeout = 50 * time.Millisecond
	arrivalTimeout = 30 * time.Second
)

// TestRelayCutsAndHeals checks that bytes are blocked while a direction is cut, and
// arrive after Heal.
func TestRelayCutsAndHeals(t *testing.T) {
	for _, dirs := range [][]Direction{{Forward}, {Backward}, {Forward, Backward}} {
		r, err := NewRelay(echoServer(t))
		must.NoError(t, err)
		defer r.Close()
		conn := dial(t, r.Addr())
		must.NoError(t, echoOneByte(t, conn, arrivalTimeout))
		r.Cut(dirs...)
		must.ErrorContains(t, echoOneByte(t, conn, silenceTimeout), "timeout")
		r.Heal()
		conn.SetReadDeadline(time.Now().Add(arrivalTimeout))
		_, err = conn.Read(make([]byte, 1))
		must.NoError(t, err, must.Sprint("blocked bytes arrive after Heal"))
	}
}

// TestRelayLosesOldConnectionsOnly checks that BlackholeConns silences the open
// connection permanently, also after Heal, while a new connection works.
func TestRelayLosesOldConnectionsOnly(t *testing.T) {
	r, err := NewRelay(echoServer(t))
	must.NoError(t, err)
	defer r.Close()
	old := dial(t, r.Addr())
	must.NoError(t, echoOneByte(t, old, arrivalTimeout))
	r.BlackholeConns()
	must.ErrorContains(t, echoOneByte(t, old, silenceTimeout), "timeout")
	must.NoError(t, echoOneByte(t, dial(t, r.Addr()), arrivalTimeout))
	r.Heal()
	must.ErrorContains(t, echoOneByte(t, old, silenceTimeout), "timeout")
}
