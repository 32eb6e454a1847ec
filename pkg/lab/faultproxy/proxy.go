// Package faultproxy is a TCP proxy between the processes of an experiment. It can refuse,
// delay and close connections, and drop their data in one or both directions.
package faultproxy

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// Faults are the faults that a proxy injects into its connections.
type Faults struct {
	// Delay is added before each write of forwarded data, in both directions.
	Delay time.Duration
	// Refuse closes new connections as soon as they are accepted.
	Refuse bool
	// SilenceOpen drops all data of the connections that are open when the faults are set,
	// also after the faults have been replaced. Connections opened later work.
	SilenceOpen bool
	// SilenceAll drops all data of open and new connections while it is set.
	SilenceAll bool
	// SilenceAnswers drops, while it is set, only the data that the target sends.
	SilenceAnswers bool
}

// Proxy forwards connections from its own address to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults Faults
	// faultsByPrefix holds the faults for connections from addresses that start with the key.
	// They take the place of the field faults for these connections.
	faultsByPrefix map[string]Faults
	conns          map[*forwardedConn]bool
	opened         int
}

// forwardedConn is one forwarded connection; source is the IP address of its client.
type forwardedConn struct {
	client, server net.Conn
	source         string
	silenced       bool
}

// New starts a proxy to target that listens on address, and returns the proxy and a clean-up
// function that stops listening and closes all connections.
func New(address, target string) (*Proxy, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{listener: listener, target: target, faultsByPrefix: make(map[string]Faults), conns: make(map[*forwardedConn]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.acceptLoop(ctx)
	}()
	return p, func() {
		cancel()
		_ = listener.Close()
		p.CloseConnections()
		<-done
	}, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// OpenedConnections returns the number of connections forwarded so far.
func (p *Proxy) OpenedConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// SetFaults replaces the faults of all connections but those from prefixes given to
// SetFaultsFrom. SilenceOpen applies to these as well.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.silenceOpen(f, "")
}

// SetFaultsFrom replaces the faults of connections from IP addresses that start with prefix. These
// connections ignore later calls of SetFaults, except for SilenceOpen.
func (p *Proxy) SetFaultsFrom(prefix string, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultsByPrefix[prefix] = f
	p.silenceOpen(f, prefix)
}

// silenceOpen applies SilenceOpen to the open connections from addresses that start with prefix.
func (p *Proxy) silenceOpen(f Faults, prefix string) {
	for c := range p.conns {
		if f.SilenceOpen && strings.HasPrefix(c.source, prefix) {
			c.silenced = true
		}
	}
}

func (p *Proxy) faultsFor(source string) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	for prefix, f := range p.faultsByPrefix {
		if strings.HasPrefix(source, prefix) {
			return f
		}
	}
	return p.faults
}

// CloseConnections closes all open connections, in both directions.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

func (p *Proxy) acceptLoop(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil || ctx.Err() != nil {
			return
		}
		source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
		if p.faultsFor(source).Refuse {
			_ = client.Close()
			continue
		}
		go p.forward(client, source)
	}
}

func (p *Proxy) forward(client net.Conn, source string) {
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &forwardedConn{client: client, server: server, source: source}
	p.mu.Lock()
	p.conns[c] = true
	p.opened++
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.copyData(c, server, client, false)
	}()
	go func() {
		defer wg.Done()
		p.copyData(c, client, server, true)
	}()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copyData copies data one way until either end closes, and then closes the other end. A
// silenced connection stays open at the other end, because the close is dropped as well.
func (p *Proxy) copyData(c *forwardedConn, dst, src net.Conn, fromTarget bool) {
	defer func() {
		if !p.isSilenced(c, fromTarget) {
			_ = dst.Close()
			_ = src.Close()
		}
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			time.Sleep(p.faultsFor(c.source).Delay)
			if !p.isSilenced(c, fromTarget) {
				if _, err := dst.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) isSilenced(c *forwardedConn, fromTarget bool) bool {
	f := p.faultsFor(c.source)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silenced || f.SilenceAll || (fromTarget && f.SilenceAnswers)
}
