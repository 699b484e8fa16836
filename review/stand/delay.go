package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// delayed is a piece of a connection with the time at which it is due.
type delayed struct {
	data []byte
	due  time.Time
}

// serveDelayed listens on addr and connects each caller with target. What target sends
// arrives later by the delay, in order; what the caller sends is passed on at once. It
// returns the listener.
func serveDelayed(addr, target string, delay time.Duration) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go joinDelayed(conn, target, delay)
		}
	}()
	return ln, nil
}

func joinDelayed(conn net.Conn, target string, delay time.Duration) {
	defer conn.Close()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	var wg sync.WaitGroup
	wg.Go(func() {
		io.Copy(out, conn)
		out.Close()
		conn.Close()
	})
	queue := make(chan delayed, 4096)
	wg.Go(func() {
		for d := range queue {
			time.Sleep(time.Until(d.due))
			if _, err := conn.Write(d.data); err != nil {
				break
			}
		}
		conn.Close()
		for range queue {
		}
	})
	buf := make([]byte, 64<<10)
	for {
		n, err := out.Read(buf)
		if n > 0 {
			queue <- delayed{append([]byte(nil), buf[:n]...), time.Now().Add(delay)}
		}
		if err != nil {
			break
		}
	}
	// The connection is lost with its end, and with it what was still on its way.
	conn.Close()
	close(queue)
	wg.Wait()
}
