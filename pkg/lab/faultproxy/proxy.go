// Package faultproxy is a small TCP proxy that delays, cuts, silences and
// half-delivers connections between the processes of an experiment.
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

// Faults are what a proxy does to its connections.
type Faults struct {
	// Delay is added to every piece of data, in each direction.
	Delay time.Duration
	// Refuse closes new connections at once.
	Refuse bool
	// Silence swallows all data of the connections that are open now; new ones work.
	Silence bool
	// SilenceAll swallows the data of new connections too.
	SilenceAll bool
	// SilenceAnswers swallows only what the target sends.
	SilenceAnswers bool
}

// Proxy forwards connections from its own address to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults Faults
	// from holds the faults for connections from hosts whose address has a prefix.
	from   map[string]Faults
	pairs  map[*pair]bool
	opened int
}

// pair is one forwarded connection.
type pair struct {
	client, server net.Conn
	source         string
	silent         bool
}

// New returns a proxy to target that listens on address, and its clean-up function.
func New(address, target string) (*Proxy, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{listener: listener, target: target, from: make(map[string]Faults), pairs: make(map[*pair]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.acceptLoop(ctx)
	}()
	return p, func() {
		cancel()
		_ = listener.Close()
		p.Cut()
		<-done
	}, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Opened returns the number of connections opened so far.
func (p *Proxy) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Set replaces the faults of all connections.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.silenceOpen(f, "")
}

// SetFrom replaces the faults of connections from addresses that start with prefix.
func (p *Proxy) SetFrom(prefix string, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.from[prefix] = f
	p.silenceOpen(f, prefix)
}

func (p *Proxy) silenceOpen(f Faults, prefix string) {
	for c := range p.pairs {
		if f.Silence && strings.HasPrefix(c.source, prefix) {
			c.silent = true
		}
	}
}

func (p *Proxy) faultsFor(source string) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	for prefix, f := range p.from {
		if strings.HasPrefix(source, prefix) {
			return f
		}
	}
	return p.faults
}

// Cut closes all open connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
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
	c := &pair{client: client, server: server, source: source}
	p.mu.Lock()
	p.pairs[c] = true
	p.opened++
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.copy(c, server, client, false)
	}()
	go func() {
		defer wg.Done()
		p.copy(c, client, server, true)
	}()
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// copy moves data one way until either end closes. A silent pair stays open.
func (p *Proxy) copy(c *pair, dst, src net.Conn, answers bool) {
	defer func() {
		if !p.isSilent(c, answers) {
			_ = dst.Close()
			_ = src.Close()
		}
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			time.Sleep(p.faultsFor(c.source).Delay)
			if !p.isSilent(c, answers) {
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

func (p *Proxy) isSilent(c *pair, answers bool) bool {
	f := p.faultsFor(c.source)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silent || f.SilenceAll || (answers && f.SilenceAnswers)
}
