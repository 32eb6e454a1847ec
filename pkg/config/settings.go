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

const shortestSecret = 16

// Settings configure one node. Fields without a default have to be set.
type Settings struct {
	Node               string            `json:"node" doc:"Name of the node; unique in the deployment."`
	DataCentre         string            `json:"data_centre" doc:"Data centre of the host."`
	CallerAddress      string            `json:"caller_address" doc:"IP address and port on which callers are served over HTTP."`
	PeerAddress        string            `json:"peer_address" doc:"IP address and port on which other nodes connect."`
	AdvertiseAddress   string            `json:"advertise_address" doc:"IP address and port that other nodes are told; peer_address if empty."`
	HostAddress        string            `json:"host_address" doc:"Loopback address and port for backend servers' announcements and for operators."`
	Platform           Platform          `json:"platform" doc:"The platform's key-value service."`
	DeploymentSecret   string            `json:"deployment_secret" doc:"Secret that all nodes of the deployment share; at least 16 characters."`
	Signers            map[string]string `json:"signers" doc:"Public keys in base64 by signer, as 'hibiscusrock keys generate' prints them."`
	RequiredSignatures int               `json:"required_signatures" doc:"Number of different signers that a release needs."`
	Seeds              []string          `json:"seeds" doc:"Peer addresses to join through, besides those on the platform."`
	StopTimeoutSeconds int               `json:"stop_timeout_seconds" doc:"Longest time that a graceful stop waits for requests in flight."`
	LogLevel           string            `json:"log_level" doc:"One of debug, info, warning and error."`
}

// Platform says where the platform's key-value service is.
type Platform struct {
	Endpoints []string `json:"endpoints" doc:"Base addresses of the JSON gateway, such as http://10.0.0.1:2379."`
	TimeoutMS int      `json:"timeout_ms" doc:"Longest time for one call, in milliseconds."`
}

// Defaults returns settings with every default filled in.
func Defaults() Settings {
	return Settings{
		CallerAddress:      "127.0.0.1:8080",
		PeerAddress:        "127.0.0.1:7946",
		HostAddress:        "127.0.0.1:7980",
		Platform:           Platform{TimeoutMS: 2000},
		RequiredSignatures: 1,
		StopTimeoutSeconds: 30,
		LogLevel:           "info",
	}
}

// Load reads and checks the settings in a file.
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

// problems collects the faults of settings.
type problems []string

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Sprintf(format, args...)) }

func (p *problems) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		p.add("%s: %d is outside %d to %d", field, value, low, high)
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

// Check returns an error that lists every impossible value, or nil.
func (s Settings) Check() error {
	var p problems
	p.checkName("node", s.Node)
	p.checkName("data_centre", s.DataCentre)
	p.checkAddress("caller_address", s.CallerAddress)
	p.checkAddress("peer_address", s.PeerAddress)
	p.checkAddress("advertise_address", s.AdvertiseAddress)
	p.checkAddress("host_address", s.HostAddress)
	if host, err := netip.ParseAddrPort(s.HostAddress); err == nil && !host.Addr().IsLoopback() {
		p.add("host_address: %q is not a loopback address", s.HostAddress)
	}
	if len(s.Platform.Endpoints) == 0 {
		p.add("platform.endpoints: none is given")
	}
	p.checkRange("platform.timeout_ms", s.Platform.TimeoutMS, 10, 60000)
	if len(s.DeploymentSecret) < shortestSecret {
		p.add("deployment_secret: shorter than %d characters", shortestSecret)
	}
	p.checkRange("required_signatures", s.RequiredSignatures, 1, max(len(s.Signers), 1))
	if len(s.Signers) == 0 {
		p.add("signers: none is given")
	}
	p.checkRange("stop_timeout_seconds", s.StopTimeoutSeconds, 1, 3600)
	if len(p) == 0 {
		return nil
	}
	return fault.New(fault.KindInvalid, "the settings have faults:\n  "+strings.Join(p, "\n  "), "correct each; docs/SETTINGS.md describes the fields")
}

// StopTimeout returns the longest time that a graceful stop waits.
func (s Settings) StopTimeout() time.Duration {
	return time.Duration(s.StopTimeoutSeconds) * time.Second
}

// PlatformTimeout returns the longest time for one platform call.
func (s Settings) PlatformTimeout() time.Duration {
	return time.Duration(s.Platform.TimeoutMS) * time.Millisecond
}

// Print returns the settings as JSON, without the deployment secret.
func (s Settings) Print() string {
	if s.DeploymentSecret != "" {
		s.DeploymentSecret = "(hidden)"
	}
	data, _ := json.MarshalIndent(s, "", "  ")
	return string(data) + "\n"
}

// Reference returns the settings reference in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of a node\n\nGenerated by `make generate`. The file is JSON with comments; unknown fields are refused.\n\n")
	b.WriteString("| field | type | default | meaning |\n|---|---|---|---|\n")
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
		fmt.Fprintf(b, "| `%s` | %s | `%s` | %s |\n", name, field.Type, value, field.Tag.Get("doc"))
	}
}
