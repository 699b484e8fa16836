package link

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

func TestFrameRoundTrip(t *testing.T) {
	in := Frame{Seq: 9, Reply: true, Message: &contract.Start{Task: contract.TaskID{Job: "j", Index: 3}, Payload: []byte("{}")}}
	raw, err := AppendFrame(nil, in)
	must.NoError(t, err)
	out, err := ReadFrame(bytes.NewReader(raw))
	must.NoError(t, err)
	must.Eq(t, in, out)
}

func FuzzReadFrame(f *testing.F) {
	raw, err := AppendFrame(nil, Frame{Message: &contract.Fence{Tasks: []contract.TaskID{{Job: "j"}}}})
	must.NoError(f, err)
	f.Add(raw)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := ReadFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		again, err := AppendFrame(nil, frame)
		must.NoError(t, err)
		_, err = ReadFrame(bytes.NewReader(again))
		must.NoError(t, err)
	})
}

// echo replies to each call with a heartbeat of the same version plus one.
type echo struct {
	up, down chan *Link
}

func newEcho() *echo { return &echo{up: make(chan *Link, 8), down: make(chan *Link, 8)} }

func (e *echo) LinkUp(l *Link)            { e.up <- l }
func (e *echo) LinkDown(l *Link, _ error) { e.down <- l }
func (e *echo) Receive(l *Link, seq uint64, m contract.Message) {
	if h, ok := m.(*contract.Heartbeat); ok && seq != 0 {
		l.Reply(seq, &contract.Heartbeat{Tables: h.Tables + 1})
	}
}

func TestCallAndReconnect(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srvSide, dialSide := newEcho(), newEcho()
	srv := &Server{Local: contract.Hello{Host: "s"}, Handler: srvSide}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ctx, ln) }()
	d := &Dialer{Addr: ln.Addr().String(), Local: contract.Hello{Host: "d"}, Handler: dialSide}
	ran := make(chan error, 1)
	go func() { ran <- d.Run(ctx) }()

	l := <-dialSide.up
	must.Eq(t, contract.HostID("s"), l.Remote().Host)
	reply, err := l.Call(ctx, &contract.Heartbeat{Tables: 4})
	must.NoError(t, err)
	must.Eq(t, contract.Version(5), reply.(*contract.Heartbeat).Tables)

	(<-srvSide.up).Close()
	<-dialSide.down
	must.ErrorIs(t, l.Send(&contract.Heartbeat{}), ErrDown)
	<-dialSide.up
	cancel()
	must.NoError(t, <-served)
	must.NoError(t, <-ran)
}

func TestSilentPeerTakesTheLinkDown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		out, _ := AppendFrame(nil, Frame{Message: &contract.Hello{Host: "mute"}})
		conn.Write(out)
	}()
	h := newEcho()
	ctx, cancel := context.WithCancel(t.Context())
	d := &Dialer{Addr: ln.Addr().String(), Handler: h, Config: Config{Idle: 20 * time.Millisecond, Silence: 100 * time.Millisecond}}
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	<-h.up
	<-h.down
	cancel()
	must.NoError(t, <-done)
}
