package rig2

import (
	"io"
	"net"
	"sync"
)

// Links are proxies before the nodes, over which nodes reach each other. A machine that is cut
// off exchanges nothing with the others; its clients, its instance and the store still reach it.
type Links struct {
	mu sync.Mutex
	// cut holds the IP addresses of machines that are cut off.
	cut map[string]bool
	// open holds the connections and the machines at their ends.
	open map[net.Conn][2]string
}

// NewLinks returns links without a cut.
func NewLinks() *Links {
	return &Links{cut: map[string]bool{}, open: map[net.Conn][2]string{}}
}

// Add starts the proxy before a node and returns its address.
func (l *Links) Add(peerAddress string) (string, error) {
	ip, _, err := net.SplitHostPort(peerAddress)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c, ip, peerAddress)
		}
	}()
	return listener.Addr().String(), nil
}

// pass passes the bytes of one connection on in both directions.
func (l *Links) pass(c net.Conn, ip, peerAddress string) {
	defer func() { _ = c.Close() }()
	from := c.RemoteAddr().(*net.TCPAddr).IP
	node, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: from}}).Dial("tcp", peerAddress)
	if err != nil {
		return
	}
	defer func() { _ = node.Close() }()
	if !l.add(c, node, from.String(), ip) {
		reset(c)
		return
	}
	defer l.remove(c, node)
	go func() {
		_, _ = io.Copy(node, c)
		_ = node.Close()
	}()
	_, _ = io.Copy(c, node)
}

func (l *Links) add(c, node net.Conn, from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut[from] || l.cut[to] {
		return false
	}
	l.open[c], l.open[node] = [2]string{from, to}, [2]string{from, to}
	return true
}

func (l *Links) remove(c, node net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	delete(l.open, node)
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Cut cuts a machine off, or ends the cut. Its connections are reset, new ones too.
func (l *Links) Cut(ip string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[ip] = cut
	for c, ends := range l.open {
		if cut && (ends[0] == ip || ends[1] == ip) {
			reset(c)
		}
	}
}
