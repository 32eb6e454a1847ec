// Package rig2 starts nodes as separate processes on loopback addresses for the cases of the
// second review, with stand-ins for the platform's store, the instances and the clients.
package rig2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// Program is the program that the deploy file builds and runs.
	Program = "target/hibiscusrockd"
	// MaxBodyBytes is max-body-bytes in the examples of the users' pages.
	MaxBodyBytes = 64 << 20
	// CallersService is the service of the machine on which the callers are.
	CallersService = "stockboard"
	// Host is the host name of all routes.
	Host = "jepu9.example"

	readyTimeout  = 15 * time.Second
	readyInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
	// probeInterval and maxMisses are those of the users' platform.
	probeInterval = time.Second
	maxMisses     = 2
)

// Exit statuses of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record writes what is sent, answered and run to record.txt and to standard output.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Printf writes a line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(r.file, line)
}

// Node is one process of the system.
type Node struct {
	Name, Service           string
	Zone                    string
	Outbound, Control, Read string
	dir                     string
	settings                string
	process                 *exec.Cmd
	ended                   chan struct{}
}

// Rig is a small deployment.
type Rig struct {
	*Record
	Store *Store
	Nodes []*Node
	// Links are between the nodes if set.
	Links *Links
	dir   string
	next  int
}

// New returns a rig without nodes, which writes its record to a folder.
func New(folder string) (*Rig, error) {
	record, err := NewRecord(folder)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	r := &Rig{Record: record, Store: store, dir: dir}
	r.Printf("the case runs (pid %d, trouble %v)", os.Getpid(), Trouble())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.Close()
		os.Exit(CannotRun)
	}()
	return r, nil
}

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// freeAddresses returns loopback addresses of one IP address with ports that were free.
func freeAddresses(ip string, count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// nodeIP returns the loopback address of a node, which no other run uses at the same time.
func nodeIP(number int) string {
	const octets = 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%octets, 1+pid/octets%octets, 10+number)
}

// AddNode starts a node for an instance of a service in a zone.
func (r *Rig) AddNode(service, zone string) (*Node, error) {
	r.next++
	addresses, err := freeAddresses(nodeIP(r.next), 5)
	if err != nil {
		return nil, err
	}
	n := &Node{Name: fmt.Sprintf("sidecar-%s-%d", zone, r.next), Service: service, Zone: zone}
	n.dir = filepath.Join(r.dir, n.Name)
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return nil, err
	}
	n.Outbound, n.Control, n.Read = addresses[0], addresses[1], addresses[2]
	settings := map[string]any{
		"node": n.Name, "data_centre": zone, "data_centres": []string{"mombasa", "kilifi"}, "source": "store",
		"caller_service": service, "caller_address": n.Outbound, "peer_address": addresses[3], "host_address": n.Control,
		"ready_address": n.Read, "metrics_address": addresses[4],
		"platform":             map[string]any{"endpoints": []string{r.Store.Address}, "timeout_ms": 800},
		"stop_timeout_seconds": 6, "stop_notice_ms": 3000, "memory_limit_mb": 48, "link_mbps": 1000,
		"retries":  map[string]any{"ratio": 0.2, "burst": 64},
		"usage":    map[string]any{},
		"exposure": map[string]any{"share": 0.1, "slack": 50},
	}
	if r.Links != nil {
		if settings["advertise_address"], err = r.Links.Add(addresses[3]); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(n.dir, "node.toml")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return nil, err
	}
	r.Nodes = append(r.Nodes, n)
	return n, r.StartNode(n)
}

// AddCallers starts the node of the callers, with an instance of the service CallersService.
func (r *Rig) AddCallers(zone string) error {
	n, err := r.AddNode(CallersService, zone)
	if err != nil {
		return err
	}
	i := &Instance{ID: "i-callers", Service: CallersService, Version: "v1", Slots: 9, Node: n, Serve: func(x *Exchange) bool {
		_, _ = io.Copy(io.Discard, x.Request.Body)
		return x.Answer(http.StatusOK, nil) == nil
	}}
	return i.Start()
}

// StartNode starts the process of a node.
func (r *Rig) StartNode(n *Node) error {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(Program, "--config", n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HIBISCUSROCK_SETTINGS=" + n.settings}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	r.Printf("node %s starts (pid %d, service %s, outbound %s)", n.Name, cmd.Process.Pid, n.Service, n.Outbound)
	return nil
}

// Signal sends a signal to the process of a node.
func (r *Rig) Signal(n *Node, s syscall.Signal) {
	r.Printf("node %s gets %v", n.Name, s)
	_ = n.process.Process.Signal(s)
}

// HasEnded reports whether the process of a node has ended.
func (n *Node) HasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// AwaitEnd waits for the end of a node's process for some time and reports whether it came.
func (n *Node) AwaitEnd(wait time.Duration) bool {
	select {
	case <-n.ended:
		return true
	case <-time.After(wait):
		return false
	}
}

// Log returns what a node has logged so far.
func (n *Node) Log() string {
	data, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	return string(data)
}

// isReady asks a node whether it is ready, as the platform does.
func (n *Node) isReady() bool {
	client := &http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + n.Read + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Platform asks each node once a second whether it is ready. After two misses in a row the clients
// of the machine get no new work until the node is ready again, unless fewer than half of the
// zone's nodes are in.
type Platform struct {
	mu     sync.Mutex
	misses map[*Node]int
	nodes  []*Node
}

// NewPlatform begins to ask the nodes.
func (r *Rig) NewPlatform() *Platform {
	p := &Platform{misses: map[*Node]int{}, nodes: r.Nodes}
	for _, n := range r.Nodes {
		go func() {
			for {
				p.note(r, n, n.isReady())
				time.Sleep(probeInterval)
			}
		}()
	}
	return p
}

func (p *Platform) note(r *Rig, n *Node, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ready {
		p.misses[n] = 0
		return
	}
	p.misses[n]++
	r.Printf("platform: node %s isn't ready (%d in a row)", n.Name, p.misses[n])
}

// MayWork reports whether the clients of a machine get new work.
func (p *Platform) MayWork(n *Node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	in, all := 0, 0
	for _, other := range p.nodes {
		if other.Zone == n.Zone {
			all++
			if p.misses[other] < maxMisses {
				in++
			}
		}
	}
	return p.misses[n] < maxMisses || 2*in < all
}

// AwaitReady waits until all nodes are ready.
func (r *Rig) AwaitReady() bool {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range r.Nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				r.Printf("node %s isn't ready: %s", n.Name, n.Log())
				return false
			}
			time.Sleep(readyInterval)
		}
	}
	r.Printf("all nodes are ready")
	return true
}

// Close ends all processes that the rig started.
func (r *Rig) Close() {
	for _, n := range r.Nodes {
		if n.process != nil && !n.HasEnded() {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
			<-n.ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range r.Nodes {
			_ = os.WriteFile(filepath.Join(keep, n.Name+".log"), []byte(n.Log()), 0o600)
		}
	}
	_ = os.RemoveAll(r.dir)
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	TimeoutS                    float64
	MaxAttempts                 int
}

// Tenant is a tenant of the configuration with a usage cap.
type Tenant struct {
	Name, Key       string
	RatePerS, Burst float64
}

// Configuration returns a configuration in the form of the users' pages.
func Configuration(version int, routes []Route, tenants ...Tenant) []byte {
	type entry = map[string]any
	var resources []entry
	services := map[string]bool{CallersService: true}
	for _, route := range routes {
		services[route.Service] = true
		resources = append(resources, entry{"entry-type": "routes", "metadata": entry{"name": route.Name}, "spec": entry{
			"host": Host, "prefix": route.Prefix, "kind": route.Kind, "timeout-s": route.TimeoutS, "target-latency-s": 0.5,
			"priority": 1, "service": route.Service, "max-attempts": route.MaxAttempts,
		}})
	}
	for _, tenant := range tenants {
		resources = append(resources, entry{"entry-type": "tenants", "metadata": entry{"name": tenant.Name}, "spec": entry{
			"api-keys": []string{tenant.Key}, "rate-per-s": tenant.RatePerS, "burst": tenant.Burst,
		}})
	}
	for service := range services {
		resources = append(resources, entry{"entry-type": "services", "metadata": entry{"name": service}, "spec": entry{"health-path": "/health", "max-connections": 130, "protocol": "h1", "tls": false}})
	}
	resources = append(resources, entry{"entry-type": "limits", "metadata": entry{}, "spec": entry{
		"max-header-bytes": 16384, "max-body-bytes": MaxBodyBytes, "header-timeout-s": 3, "idle-timeout-s": 15,
	}})
	data, _ := json.Marshal(entry{"version": version, "resources": resources})
	return data
}
