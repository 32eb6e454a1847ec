// Package deployment starts a whole deployment as processes on loopback
// addresses: a fake platform, nodes and fake backend servers. Each host has an
// IP address of its own, and each node is reached by others through a fault proxy.
package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
	"github.com/hibiscusrock/hibiscusrock/pkg/node"
	"github.com/hibiscusrock/hibiscusrock/pkg/operator"
)

const (
	callerPort       = 8080
	peerPort         = 7946
	proxyPort        = 7947
	hostPort         = 7980
	backendPort      = 9000
	platformPort     = 2379
	pollInterval     = 50 * time.Millisecond
	stopTimeout      = 15 * time.Second
	deploymentSecret = "the secret of the laboratory"
)

// Binaries holds the paths of the programs hibiscusrockd, hibiscusrock and lab.
type Binaries struct {
	Node, Operator, Lab string
}

// FindBinaries returns the paths of the programs in dir. It does not check that they exist.
func FindBinaries(dir string) Binaries {
	return Binaries{Node: filepath.Join(dir, "hibiscusrockd"), Operator: filepath.Join(dir, "hibiscusrock"), Lab: filepath.Join(dir, "lab")}
}

// Host is one host with a node and backend servers. Proxy is nil with WithoutProxies.
type Host struct {
	Name              string
	DataCentre        string
	IP                string
	Proxy             *faultproxy.Proxy
	Node              *Process
	Backends          []*Backend
	settingsFile      string
	seeds             []string
	advertisedAddress string
}

// CallerAddress returns the IP address and port where the host's node serves callers.
func (h *Host) CallerAddress() string { return fmt.Sprintf("%s:%d", h.IP, callerPort) }

// SettingsFile returns the path of the settings of the host's node.
func (h *Host) SettingsFile() string { return h.settingsFile }

// HostAddress returns the IP address and port where the host's node accepts the
// announcements of backend servers.
func (h *Host) HostAddress() string { return fmt.Sprintf("%s:%d", h.IP, hostPort) }

// PeerAddress returns the IP address and port where the host's node listens for other
// nodes. Other nodes connect to the address of Proxy, unless WithoutProxies is given.
func (h *Host) PeerAddress() string { return fmt.Sprintf("%s:%d", h.IP, peerPort) }

// State fetches the node's state.
func (h *Host) State(ctx context.Context) (node.State, error) {
	return operator.FetchState(ctx, h.HostAddress())
}

// Deployment is a running deployment.
type Deployment struct {
	dir      string
	binaries Binaries
	// secondOctet, and thirdOctet plus the number of a group, are octets of the addresses
	// of this deployment (see ip).
	secondOctet, thirdOctet int
	keyFile                 string
	publicKey               string
	withoutProxies          bool
	changeSettings          func(*config.Settings)

	mu              sync.Mutex
	Platform        *Process
	hosts           []*Host
	dataCentres     []string
	platformProxies map[string]*faultproxy.Proxy
	cleanUps        []func()
	backendCount    atomic.Int32
}

var deploymentCount atomic.Int32

// Option changes a Deployment under construction.
type Option func(*Deployment)

// WithoutProxies lets nodes connect to each other directly. In large fleets this process
// would otherwise have to forward the connections of all nodes.
func WithoutProxies() Option {
	return func(d *Deployment) { d.withoutProxies = true }
}

// WithSettings changes the settings of each node before they are written.
func WithSettings(change func(*config.Settings)) Option {
	return func(d *Deployment) { d.changeSettings = change }
}

// New starts a platform and returns a deployment without hosts that keeps its files
// in dir, and a clean-up function that ends all processes. The process ID and the number of
// earlier deployments choose the IP addresses, so that deployments that run at the same time
// rarely share them. There is room for 12 groups: the platform and 11 data centres.
func New(dir string, binaries Binaries, dataCentres []string, opts ...Option) (*Deployment, func(), error) {
	number := int(deploymentCount.Add(1)) + os.Getpid()*8
	d := &Deployment{
		dir:             dir,
		binaries:        binaries,
		secondOctet:     10 + number/20%200,
		thirdOctet:      10 + number%20*12,
		dataCentres:     dataCentres,
		platformProxies: make(map[string]*faultproxy.Proxy),
		keyFile:         filepath.Join(dir, "operator.key"),
	}
	for _, opt := range opts {
		opt(d)
	}
	if err := d.createKey(); err != nil {
		return nil, nil, err
	}
	if err := d.startPlatform(); err != nil {
		d.stopAll()
		return nil, nil, err
	}
	return d, d.stopAll, nil
}

func (d *Deployment) createKey() error {
	key, err := keys.Generate("operator", nil)
	if err != nil {
		return err
	}
	d.publicKey = key.Public()
	return key.Save(d.keyFile)
}

// KeyFile returns the path of the key with which operators sign bundles.
func (d *Deployment) KeyFile() string { return d.keyFile }

// ip returns an address of the deployment. Group 0 is the platform, and group i,
// from 1, is the i-th data centre. Host 250 of a data centre is its proxy to the platform.
func (d *Deployment) ip(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.secondOctet, d.thirdOctet+group, host)
}

// AddressPrefix returns the prefix that all IP addresses of a data centre share, with the last dot.
func (d *Deployment) AddressPrefix(dataCentre string) string {
	ip := d.ip(slices.Index(d.dataCentres, dataCentre)+1, 0)
	return ip[:len(ip)-1]
}

// PlatformAddress returns the base URL of the platform itself, not of a proxy.
func (d *Deployment) PlatformAddress() string {
	return fmt.Sprintf("http://%s:%d", d.ip(0, 1), platformPort)
}

func (d *Deployment) startPlatform() error {
	address := fmt.Sprintf("%s:%d", d.ip(0, 1), platformPort)
	p, err := startProcess(d.dir, "platform", d.binaries.Lab, "platform", "--listen", address)
	if err != nil {
		return err
	}
	d.Platform = p
	for i, dataCentre := range d.dataCentres {
		proxy, cleanUp, err := faultproxy.New(fmt.Sprintf("%s:%d", d.ip(i+1, 250), platformPort), address)
		if err != nil {
			return err
		}
		d.platformProxies[dataCentre] = proxy
		d.cleanUps = append(d.cleanUps, cleanUp)
	}
	return WaitFor(5*time.Second, func() error {
		resp, err := http.Get(d.PlatformAddress() + "/counts")
		if err != nil {
			return err
		}
		return resp.Body.Close()
	})
}

// PlatformProxy returns the proxy through which a data centre reaches the platform.
func (d *Deployment) PlatformProxy(dataCentre string) *faultproxy.Proxy {
	return d.platformProxies[dataCentre]
}

// SetPlatformFaults replaces the faults that the platform injects.
func (d *Deployment) SetPlatformFaults(f standin.PlatformFaults) error {
	return postJSON(d.PlatformAddress()+"/faults", f)
}

// PlatformCounts returns the number of calls to the platform so far by method.
func (d *Deployment) PlatformCounts() (map[string]int, error) {
	counts := make(map[string]int)
	return counts, getJSON(d.PlatformAddress()+"/counts", &counts)
}

// AddHost adds a host to a data centre and starts its node.
func (d *Deployment) AddHost(dataCentre string) (*Host, error) {
	d.mu.Lock()
	number := 1
	for _, h := range d.hosts {
		if h.DataCentre == dataCentre {
			number++
		}
	}
	h := &Host{
		Name:       fmt.Sprintf("%s-%d", dataCentre, number),
		DataCentre: dataCentre,
		IP:         d.ip(slices.Index(d.dataCentres, dataCentre)+1, number),
	}
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	if err := d.addProxy(h); err != nil {
		return nil, err
	}
	if err := d.writeSettings(h); err != nil {
		return nil, err
	}
	return h, d.StartNode(h)
}

func (d *Deployment) addProxy(h *Host) error {
	h.advertisedAddress = h.PeerAddress()
	if d.withoutProxies {
		return nil
	}
	proxy, cleanUp, err := faultproxy.New(fmt.Sprintf("%s:%d", h.IP, proxyPort), h.PeerAddress())
	if err != nil {
		return err
	}
	h.Proxy = proxy
	h.advertisedAddress = proxy.Address()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cleanUps = append(d.cleanUps, cleanUp)
	return nil
}

// AddSeeds appends the peer addresses of others, in order, to the seeds in the settings
// file of a host. A running node is not restarted.
func (d *Deployment) AddSeeds(h *Host, others ...*Host) error {
	for _, other := range others {
		h.seeds = append(h.seeds, other.advertisedAddress)
	}
	return d.writeSettings(h)
}

func (d *Deployment) writeSettings(h *Host) error {
	settings := config.Defaults()
	settings.Node = h.Name
	settings.DataCentre = h.DataCentre
	settings.CallerAddress = h.CallerAddress()
	settings.PeerAddress = h.PeerAddress()
	settings.AdvertiseAddress = h.advertisedAddress
	settings.HostAddress = h.HostAddress()
	settings.Platform.Endpoints = []string{"http://" + d.platformProxies[h.DataCentre].Address()}
	settings.DeploymentSecret = deploymentSecret
	settings.Signers = map[string]string{"operator": d.publicKey}
	settings.StopTimeoutSeconds = 10
	settings.Seeds = h.seeds
	if d.changeSettings != nil {
		d.changeSettings(&settings)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	h.settingsFile = filepath.Join(d.dir, h.Name+".json")
	return os.WriteFile(h.settingsFile, data, 0o600)
}

// StartNode starts the node of a host, for the first time or after the node has ended.
func (d *Deployment) StartNode(h *Host) error {
	p, err := startProcess(d.dir, h.Name, d.binaries.Node, "--config", h.settingsFile)
	if err == nil {
		h.Node = p
	}
	return err
}

// Hosts returns the hosts of a data centre, or all hosts if dataCentre is empty.
func (d *Deployment) Hosts(dataCentre string) []*Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var hosts []*Host
	for _, h := range d.hosts {
		if dataCentre == "" || h.DataCentre == dataCentre {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// RunOperator runs the program hibiscusrock and returns its output and exit status. An
// exit status other than 0 is also an error.
func (d *Deployment) RunOperator(ctx context.Context, args ...string) (string, int, error) {
	cmd := exec.CommandContext(ctx, d.binaries.Operator, append([]string{"--platform", d.PlatformAddress()}, args...)...)
	var out bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &out
	err := cmd.Run()
	return out.String(), cmd.ProcessState.ExitCode(), err
}

// RollOut uploads and signs a bundle, starts its rollout, and returns its sequence.
func (d *Deployment) RollOut(ctx context.Context, text string) (uint64, error) {
	path := filepath.Join(d.dir, fmt.Sprintf("bundle-%d.jsonc", time.Now().UnixNano()))
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return 0, err
	}
	out, _, err := d.RunOperator(ctx, "--output", "json", "bundle", "put", path)
	if err != nil {
		return 0, fmt.Errorf("put bundle %s: %w: %s", path, err, out)
	}
	var draft struct {
		ID       string `json:"id"`
		Sequence uint64 `json:"sequence"`
	}
	if err := json.Unmarshal([]byte(out), &draft); err != nil {
		return 0, err
	}
	if out, _, err := d.RunOperator(ctx, "bundle", "sign", "--key", d.keyFile, draft.ID); err != nil {
		return 0, fmt.Errorf("sign draft %s: %w: %s", draft.ID, err, out)
	}
	if out, _, err := d.RunOperator(ctx, "rollout", "start", draft.ID); err != nil {
		return 0, fmt.Errorf("start rollout of draft %s: %w: %s", draft.ID, err, out)
	}
	return draft.Sequence, nil
}

// SetPartition drops the data between the nodes of the data centres a and b if cut is
// true, and ends the partition otherwise. It needs the proxies of the nodes.
func (d *Deployment) SetPartition(a, b string, cut bool) {
	f := faultproxy.Faults{SilenceAll: cut}
	for _, h := range d.Hosts(a) {
		h.Proxy.SetFaultsFrom(d.AddressPrefix(b), f)
	}
	for _, h := range d.Hosts(b) {
		h.Proxy.SetFaultsFrom(d.AddressPrefix(a), f)
	}
}

func (d *Deployment) stopAll() {
	d.mu.Lock()
	hosts := slices.Clone(d.hosts)
	cleanUps := slices.Clone(d.cleanUps)
	d.mu.Unlock()
	for _, h := range hosts {
		for _, b := range h.Backends {
			if b.Process != nil {
				b.Process.Kill()
			}
		}
		if h.Node != nil {
			h.Node.Kill()
		}
	}
	if d.Platform != nil {
		d.Platform.Kill()
	}
	for _, cleanUp := range cleanUps {
		cleanUp()
	}
}

func postJSON(url string, in any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func getJSON(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}
