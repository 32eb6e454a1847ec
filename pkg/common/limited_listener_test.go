package common

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

func TestLimitedListener(t *testing.T) {
	const limit = 3
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan struct{}, 10)
	l := NewLimitedListener(inner, limit, func() { refused <- struct{}{} })
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	for range limit {
		dial()
	}
	first := <-accepted
	over := dial()
	<-refused
	_ = over.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := over.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection beyond the limit: got %v, want an end", err)
	}
	_ = first.Close()
	_ = first.Close()
	dial()
	dial()
	<-refused
	if got := len(accepted); got != limit {
		t.Errorf("got %d connections accepted after one was closed, want %d", got, limit)
	}
}
