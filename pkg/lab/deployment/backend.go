package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

// Backend is one backend server process.
type Backend struct {
	Process  *Process
	Service  string
	Version  string
	Instance string
	Address  string
	Host     *Host
	options  BackendOptions
}

// BackendOptions describe a backend server process. WorkTime is the time that it takes
// for each request.
type BackendOptions struct {
	Service, Version string
	Slots            int
	WorkTime         time.Duration
	Faults           standin.BackendFaults
}

// AddBackend starts a backend server on a host.
func (d *Deployment) AddBackend(h *Host, o BackendOptions) (*Backend, error) {
	number := int(d.backendCount.Add(1))
	b := &Backend{
		Service:  o.Service,
		Version:  o.Version,
		Instance: fmt.Sprintf("%s-%s-%d", o.Service, o.Version, number),
		Address:  fmt.Sprintf("%s:%d", h.IP, backendPort+number),
		Host:     h,
		options:  o,
	}
	h.Backends = append(h.Backends, b)
	return b, d.StartBackend(b, b.Instance)
}

// StartBackend starts the process of a backend server that has ended again, at the same
// address, under an instance name. Its log goes on.
func (d *Deployment) StartBackend(b *Backend, instance string) error {
	o := b.options
	faults, err := json.Marshal(o.Faults)
	if err != nil {
		return err
	}
	b.Process, err = startProcess(d.dir, b.Instance, d.binaries.Lab, "backend",
		"--service", o.Service, "--version", o.Version, "--instance", instance,
		"--listen", b.Address, "--host-address", b.Host.HostAddress(),
		"--slots", strconv.Itoa(o.Slots), "--work", o.WorkTime.String(), "--faults", string(faults))
	return err
}

// SetFaults replaces the faults that the backend server injects.
func (b *Backend) SetFaults(f standin.BackendFaults) error {
	return postJSON("http://"+b.Address+"/_lab/faults", f)
}

// Runs returns the requests that the backend server ran, also after the process has ended.
// An incomplete last line is ignored.
func (b *Backend) Runs() ([]standin.Run, error) {
	var runs []standin.Run
	dec := json.NewDecoder(strings.NewReader(b.Process.Log()))
	for {
		var run standin.Run
		err := dec.Decode(&run)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return runs, nil
		}
		if err != nil {
			return runs, err
		}
		runs = append(runs, run)
	}
}

// Runs returns the requests that the backend servers of a service ran.
func (d *Deployment) Runs(service string) ([]standin.Run, error) {
	var all []standin.Run
	for _, h := range d.Hosts("") {
		for _, b := range h.Backends {
			if b.Service != service {
				continue
			}
			runs, err := b.Runs()
			if err != nil {
				return nil, err
			}
			all = append(all, runs...)
		}
	}
	return all, nil
}
