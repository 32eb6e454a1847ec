package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

const minSecretBytes = 16

// Settings configure one node. Check reports required fields without a default that
// are not set. The doc tags are the descriptions in docs/SETTINGS.md. Changes of a field
// with the tag live take effect in a running node, those of others at its next start.
type Settings struct {
	Node                 string            `json:"node" doc:"Name of the node; unique in the deployment."`
	DataCentre           string            `json:"data_centre" doc:"Data centre of the host."`
	DataCentres          []string          `json:"data_centres" doc:"All data centres of the deployment, among which the usage caps of client accounts are divided; those of the known nodes if empty."`
	CallerAddress        string            `json:"caller_address" doc:"IP address and port on which callers are served over HTTP."`
	PeerAddress          string            `json:"peer_address" doc:"IP address and port on which other nodes connect."`
	AdvertiseAddress     string            `json:"advertise_address" doc:"IP address and port at which other nodes reach this node; peer_address if empty."`
	HostAddress          string            `json:"host_address" doc:"Loopback address and port for backend servers' announcements and for operators."`
	Platform             Platform          `json:"platform" doc:"The platform's key-value service."`
	DeploymentSecret     string            `json:"deployment_secret" doc:"Secret that all nodes of the deployment share; at least 16 characters."`
	Signers              map[string]string `json:"signers" doc:"Public keys in base64 by signer, as 'hibiscusrock keys generate' prints them."`
	RequiredSignatures   int               `json:"required_signatures" doc:"Number of different signers that a release needs."`
	Seeds                []string          `json:"seeds" doc:"Peer addresses to join through, besides those on the platform."`
	StopTimeoutSeconds   float64           `json:"stop_timeout_seconds" live:"true" doc:"Maximum duration of a graceful stop, after which the process may be killed."`
	StopNoticeMS         int               `json:"stop_notice_ms" live:"true" doc:"Time in milliseconds for which a stopping node still accepts callers' requests, so that callers can move to other nodes."`
	LogLevel             string            `json:"log_level" live:"true" doc:"One of debug, info, warning and error."`
	Source               string            `json:"source" doc:"Source of configurations: signed 'releases', or 'store' for the users' store, where a configuration counts as approved once the store acknowledged its write."`
	CallerService        string            `json:"caller_service" live:"true" doc:"Service of the backend server on this host; its requests carry this name to other backend servers. Required with source store."`
	ReadyAddress         string            `json:"ready_address" doc:"IP address and port for readiness checks from other hosts; only host_address answers them if empty."`
	MetricsAddress       string            `json:"metrics_address" doc:"IP address and port for metrics; only host_address serves them if empty."`
	MemoryLimitMB        int               `json:"memory_limit_mb" live:"true" doc:"Memory in megabytes above which the garbage collector runs more often."`
	CallerBufferMB       float64           `json:"caller_buffer_mb" doc:"Megabytes of heads and bodies of callers' requests that the node holds at most; beyond, stalled and the largest ones are refused. 0 stands for a quarter of memory_limit_mb."`
	PeerBufferMB         float64           `json:"peer_buffer_mb" doc:"Megabytes of bodies from other nodes that the node holds at most. 0 stands for an eighth of memory_limit_mb."`
	MaxCallerConnections int               `json:"max_caller_connections" doc:"Maximum number of open connections of callers; beyond, the one that has been idle for longest is closed for a new one."`
	LinkMbps             float64           `json:"link_mbps" doc:"Bandwidth of the host's link in Mbit/s; it limits the bodies that other nodes send to this one at a time, and nodes with higher bandwidth watch the store on behalf of the others. 0 if unknown."`
	RemoteCostPerKB      float64           `json:"remote_cost_per_kb" doc:"Cost of a kilobyte between data centres, as a fraction of the value of an answer in time. The higher it is, the longer the wait for which a request stays in its data centre."`
	Retries              Retries           `json:"retries" doc:"Limits of retries over the whole deployment, with source store."`
	Usage                Usage             `json:"usage" doc:"Precision of the usage caps of client accounts."`
	Hedging              Hedging           `json:"hedging" doc:"Second attempts for slow answers."`
	Exposure             Exposure          `json:"exposure" doc:"Limits of the traffic of a version that is not yet evaluated, with source store."`
}

// Retries limits the requests that are sent to a second backend server.
type Retries struct {
	Ratio float64 `json:"ratio" doc:"Maximum number of retries as a fraction of a service's requests, including retries of the calls that repeated requests make."`
	Burst float64 `json:"burst" doc:"Number of retries of a service that may exceed that fraction in a burst, over all nodes."`
}

// Usage says how exactly the usage caps of client accounts hold.
type Usage struct {
	WindowSeconds float64 `json:"window_seconds" doc:"Length in seconds of the windows in each of which a cap holds."`
	Overage       float64 `json:"overage" doc:"Fraction of a cap that may be exceeded in a window."`
}

// Hedging limits the second attempts of requests that may be repeated and whose answers are
// slow.
type Hedging struct {
	Share    float64 `json:"share" doc:"Maximum fraction of a service's requests that get a second attempt on another backend server because the first one is slow; they also count as retries. 0 allows none."`
	Quantile float64 `json:"quantile" doc:"A second attempt is made after the time in which this fraction of the answers of the same route have arrived."`
}

// Exposure limits the requests that reach a version before it is evaluated.
type Exposure struct {
	Share float64 `json:"share" doc:"Maximum fraction of a service's requests that a bad version may receive during a move."`
	Slack float64 `json:"slack" doc:"Maximum number of requests that a bad version may receive beyond that fraction."`
}

// Sources of configurations.
const (
	SourceReleases = "releases"
	SourceStore    = "store"
)

// Platform holds the addresses of the platform's key-value service and the timeout
// of its calls.
type Platform struct {
	Endpoints []string `json:"endpoints" doc:"Base addresses of the JSON gateway, such as http://10.0.0.1:2379."`
	TimeoutMS int      `json:"timeout_ms" doc:"Timeout of one call, in milliseconds."`
}

// Defaults returns the default settings. Fields without a default are left empty.
func Defaults() Settings {
	return Settings{
		CallerAddress:        "127.0.0.1:8080",
		PeerAddress:          "127.0.0.1:7946",
		HostAddress:          "127.0.0.1:7980",
		Platform:             Platform{TimeoutMS: 2000},
		RequiredSignatures:   1,
		StopTimeoutSeconds:   30,
		StopNoticeMS:         500,
		LogLevel:             "info",
		Source:               SourceReleases,
		MemoryLimitMB:        26,
		MaxCallerConnections: 2048,
		RemoteCostPerKB:      0.015,
		Retries:              Retries{Ratio: 0.1, Burst: 32},
		Usage:                Usage{WindowSeconds: 5, Overage: 0.1},
		Hedging:              Hedging{Quantile: 0.95},
		Exposure:             Exposure{Share: 0.1, Slack: 50},
	}
}

// Load reads the settings in a file and checks them. Its errors are of the kind
// fault.KindMissing or fault.KindInvalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(err, fault.KindMissing, "cannot read the settings", "name the file with --config")
	}
	s := Defaults()
	if err := Decode(path, data, &s); err != nil {
		return s, err
	}
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.PeerAddress
	}
	return s, s.Check()
}

var settingsName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// problems collects the invalid values of settings, one text each.
type problems []string

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Sprintf(format, args...)) }

func (p *problems) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		p.add("%s: %d is outside %d to %d", field, value, low, high)
	}
}

func (p *problems) checkFraction(field string, value float64) {
	if value < 0 || value > 1 {
		p.add("%s: %v is outside 0 to 1", field, value)
	}
}

func (p *problems) checkName(field, name string) {
	if !settingsName.MatchString(name) {
		p.add("%s: %q is not a name of lower-case letters, digits, dots, dashes or underscores", field, name)
	}
}

func (p *problems) checkAddress(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		p.add("%s: %q is not an IP address and port", field, address)
	}
}

// Check returns an error that lists every invalid value, or nil.
func (s Settings) Check() error {
	var p problems
	p.checkName("node", s.Node)
	p.checkName("data_centre", s.DataCentre)
	p.checkAddress("caller_address", s.CallerAddress)
	p.checkAddress("peer_address", s.PeerAddress)
	p.checkAddress("advertise_address", s.AdvertiseAddress)
	p.checkAddress("host_address", s.HostAddress)
	if len(s.Platform.Endpoints) == 0 {
		p.add("platform.endpoints: none is given")
	}
	p.checkRange("platform.timeout_ms", s.Platform.TimeoutMS, 10, 60000)
	if s.StopTimeoutSeconds < 1 || s.StopTimeoutSeconds > 3600 {
		p.add("stop_timeout_seconds: %v is outside 1 to 3600", s.StopTimeoutSeconds)
	}
	p.checkRange("stop_notice_ms", s.StopNoticeMS, 0, 60000)
	p.checkRange("memory_limit_mb", s.MemoryLimitMB, 8, 1<<20)
	if !(s.RemoteCostPerKB >= 0) {
		p.add("remote_cost_per_kb: %v is below 0", s.RemoteCostPerKB)
	}
	if !(s.Usage.WindowSeconds > 0 && s.Usage.WindowSeconds <= 3600) {
		p.add("usage.window_seconds: %v is outside 0 to 3600", s.Usage.WindowSeconds)
	}
	p.checkFraction("usage.overage", s.Usage.Overage)
	p.checkFraction("hedging.share", s.Hedging.Share)
	p.checkFraction("hedging.quantile", s.Hedging.Quantile)
	p.checkRange("max_caller_connections", s.MaxCallerConnections, 1, 1<<20)
	if buffers := s.CallerBufferBytes() + s.PeerBufferBytes(); s.CallerBufferMB < 0 || s.PeerBufferMB < 0 || buffers > int64(s.MemoryLimitMB)<<20/2 {
		p.add("caller_buffer_mb and peer_buffer_mb: %v and %v are below 0 or more than half of memory_limit_mb", s.CallerBufferMB, s.PeerBufferMB)
	}
	p.checkRange("link_mbps", int(s.LinkMbps), 0, 1<<20)
	switch s.Source {
	case SourceReleases:
		p.checkReleases(s)
	case SourceStore:
		p.checkStore(s)
	default:
		p.add("source: %q is neither %q nor %q", s.Source, SourceReleases, SourceStore)
	}
	if len(p) == 0 {
		return nil
	}
	return fault.New(fault.KindInvalid, "invalid settings:\n  "+strings.Join(p, "\n  "), "correct each of them; docs/SETTINGS.md describes the fields")
}

// checkReleases checks the settings that apply only with source releases.
func (p *problems) checkReleases(s Settings) {
	if host, err := netip.ParseAddrPort(s.HostAddress); err == nil && !host.Addr().IsLoopback() {
		p.add("host_address: %q is not a loopback address", s.HostAddress)
	}
	if len(s.DeploymentSecret) < minSecretBytes {
		p.add("deployment_secret: shorter than %d characters", minSecretBytes)
	}
	p.checkRange("required_signatures", s.RequiredSignatures, 1, max(len(s.Signers), 1))
	if len(s.Signers) == 0 {
		p.add("signers: none is given")
	}
}

// checkStore checks the settings that apply only with source store.
func (p *problems) checkStore(s Settings) {
	p.checkName("caller_service", s.CallerService)
	for field, address := range map[string]string{"ready_address": s.ReadyAddress, "metrics_address": s.MetricsAddress} {
		if address != "" {
			p.checkAddress(field, address)
		}
	}
	p.checkFraction("retries.ratio", s.Retries.Ratio)
	p.checkFraction("exposure.share", s.Exposure.Share)
	for field, value := range map[string]float64{"retries.burst": s.Retries.Burst, "exposure.slack": s.Exposure.Slack} {
		if value < 0 {
			p.add("%s: %v is below 0", field, value)
		}
	}
}

// CallerBufferBytes returns the bytes of callers' requests that the node holds at most.
func (s Settings) CallerBufferBytes() int64 {
	const part = 4
	return s.bufferBytes(s.CallerBufferMB, part)
}

// PeerBufferBytes returns the bytes of other nodes' requests that the node holds at most.
func (s Settings) PeerBufferBytes() int64 {
	const part = 8
	return s.bufferBytes(s.PeerBufferMB, part)
}

// bufferBytes returns a size of buffers, by default a part of the memory limit.
func (s Settings) bufferBytes(mb float64, part int64) int64 {
	if mb == 0 {
		return int64(s.MemoryLimitMB) << 20 / part
	}
	return int64(mb * (1 << 20))
}

// StopNotice returns the time for which a stopping node still accepts requests. It
// is at most half of the stop timeout; the rest is for requests in flight.
func (s Settings) StopNotice() time.Duration {
	return min(time.Duration(s.StopNoticeMS)*time.Millisecond, s.StopTimeout()/2)
}

// StopTimeout returns the maximum duration of a graceful stop.
func (s Settings) StopTimeout() time.Duration {
	return time.Duration(s.StopTimeoutSeconds * float64(time.Second))
}

// UsageWindow returns the length of the windows in which usage caps hold.
func (s Settings) UsageWindow() time.Duration {
	return time.Duration(s.Usage.WindowSeconds * float64(time.Second))
}

// PlatformTimeout returns the timeout of one platform call.
func (s Settings) PlatformTimeout() time.Duration {
	return time.Duration(s.Platform.TimeoutMS) * time.Millisecond
}

// Print returns the settings as JSON, with the deployment secret hidden.
func (s Settings) Print() string {
	if s.DeploymentSecret != "" {
		s.DeploymentSecret = "(hidden)"
	}
	data, _ := json.MarshalIndent(s, "", "  ")
	return string(data) + "\n"
}

// Reference returns the Markdown reference of all settings, which is
// docs/SETTINGS.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of a node\n\nGenerated by `make generate`. The file is JSON with comments; unknown fields are refused.\n\n")
	b.WriteString("A changed file is read within 2 s, or at once on SIGHUP. A field takes effect now, or at the next start; the node logs\n")
	b.WriteString("`settings_reloaded` with the fields of both kinds. A file with an error changes nothing.\n\n")
	b.WriteString("| field | type | default | takes effect | meaning |\n|---|---|---|---|---|\n")
	writeFields(&b, "", reflect.ValueOf(Defaults()))
	return b.String()
}

func writeFields(b *strings.Builder, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := prefix + field.Tag.Get("json")
		if field.Type.Kind() == reflect.Struct {
			writeFields(b, name+".", v.Field(i))
			continue
		}
		value, _ := json.Marshal(v.Field(i).Interface())
		effect := "at start"
		if isLive(field) {
			effect = "now"
		}
		fmt.Fprintf(b, "| `%s` | %s | `%s` | %s | %s |\n", name, field.Type, value, effect, field.Tag.Get("doc"))
	}
}

func isLive(field reflect.StructField) bool { return field.Tag.Get("live") != "" }

// Adopt takes over from changed the fields that take effect in a running node. It
// returns the names of these that differ, and of the others that differ.
func (s *Settings) Adopt(changed Settings) (adopted, atStart []string) {
	running, read := reflect.ValueOf(s).Elem(), reflect.ValueOf(changed)
	for i := range running.NumField() {
		field := running.Type().Field(i)
		if reflect.DeepEqual(running.Field(i).Interface(), read.Field(i).Interface()) {
			continue
		}
		if !isLive(field) {
			atStart = append(atStart, field.Tag.Get("json"))
			continue
		}
		running.Field(i).Set(read.Field(i))
		adopted = append(adopted, field.Tag.Get("json"))
	}
	return adopted, atStart
}
