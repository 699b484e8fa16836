package testbed

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// echoServer answers each byte with itself.
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

func exchange(t *testing.T, conn net.Conn, limit time.Duration) error {
	t.Helper()
	_, err := conn.Write([]byte{1})
	must.NoError(t, err)
	conn.SetReadDeadline(time.Now().Add(limit))
	_, err = conn.Read(make([]byte, 1))
	return err
}

const (
	silentFor = 50 * time.Millisecond
	arrives   = 30 * time.Second
)

func TestRelayCutsAndHeals(t *testing.T) {
	for _, dirs := range [][]Direction{{Forward}, {Backward}, {Forward, Backward}} {
		r, err := NewRelay(echoServer(t))
		must.NoError(t, err)
		defer r.Close()
		conn := dial(t, r.Addr())
		must.NoError(t, exchange(t, conn, arrives))
		r.Cut(dirs...)
		must.ErrorContains(t, exchange(t, conn, silentFor), "timeout")
		r.Heal()
		conn.SetReadDeadline(time.Now().Add(arrives))
		_, err = conn.Read(make([]byte, 1))
		must.NoError(t, err, must.Sprint("held bytes arrive after the cut"))
	}
}

func TestRelayLosesOldConnectionsOnly(t *testing.T) {
	r, err := NewRelay(echoServer(t))
	must.NoError(t, err)
	defer r.Close()
	old := dial(t, r.Addr())
	must.NoError(t, exchange(t, old, arrives))
	r.Lose()
	must.ErrorContains(t, exchange(t, old, silentFor), "timeout")
	must.NoError(t, exchange(t, dial(t, r.Addr()), arrives))
	r.Heal()
	must.ErrorContains(t, exchange(t, old, silentFor), "timeout")
}
