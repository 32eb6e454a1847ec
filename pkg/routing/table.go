// Package routing matches requests with routes, chooses the version that serves
// a request and picks a backend server of that version.
package routing

import (
	"slices"
	"strings"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Table holds the routes, services and moves of one release or snapshot. It is
// immutable. A node enforces one table at a time. The methods of a nil Table
// return zero values.
type Table struct {
	document *bundle.Document
	sequence uint64
	// exactSlash reports whether a prefix that ends with a slash does not match
	// the same path without the slash.
	exactSlash bool
	services   map[string]*bundle.Service
	moves      map[string]*wire.Move
	hosts      map[string]routesByPrefix
	// accounts holds the client accounts by name, accountsByKey by the digest of each key.
	accounts, accountsByKey map[string]*bundle.Account
}

// routesByPrefix holds the routes of one host by path prefix without the final slash.
type routesByPrefix map[string][]*bundle.Route

// NewTable builds a table from all parts of a release. It returns an error when
// a route names a service that is not in the release.
func NewTable(document *bundle.Document, parts []bundle.Part) (*Table, error) {
	t := &Table{
		document: document,
		sequence: document.Sequence(),
		services: make(map[string]*bundle.Service, len(parts)),
		moves:    make(map[string]*wire.Move),
		hosts:    make(map[string]routesByPrefix),
	}
	if err := t.addParts(parts); err != nil {
		return nil, err
	}
	for _, move := range document.Release().GetMoves() {
		t.moves[move.GetService()] = move
	}
	return t, nil
}

// NewSnapshotTable builds a table from all parts of a snapshot. Unlike those of
// a release, its path prefixes that end with a slash do not match the path
// without the slash. It returns an error when a route names a service that is
// not in the snapshot, or when its accounts are invalid.
func NewSnapshotTable(snapshot bundle.Snapshot) (*Table, error) {
	t := &Table{
		sequence:   snapshot.Sequence,
		exactSlash: true,
		services:   make(map[string]*bundle.Service, len(snapshot.Parts)),
		hosts:      make(map[string]routesByPrefix),
	}
	if err := t.addAccounts(snapshot.Accounts); err != nil {
		return nil, err
	}
	return t, t.addParts(snapshot.Parts)
}

func (t *Table) addAccounts(accounts []bundle.Account) error {
	t.accounts = make(map[string]*bundle.Account, len(accounts))
	t.accountsByKey = make(map[string]*bundle.Account, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		switch {
		case a.Name == "":
			return fault.New(fault.KindInvalid, "an account has no name", "name it")
		case t.accounts[a.Name] != nil:
			return fault.New(fault.KindInvalid, "the account "+a.Name+" is there twice", "write it once")
		case !(a.RatePerSecond >= 0) || !(a.Burst >= 0):
			return fault.New(fault.KindInvalid, "the usage cap of the account "+a.Name+" is below 0", "correct it")
		}
		t.accounts[a.Name] = a
		if err := t.addKeys(a); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) addKeys(a *bundle.Account) error {
	for _, digest := range a.KeyDigests {
		if digest == bundle.KeyDigest("") {
			return fault.New(fault.KindInvalid, "the account "+a.Name+" has an empty key", "remove the key")
		}
		if other := t.accountsByKey[digest]; other != nil && other != a {
			return fault.New(fault.KindInvalid, "the accounts "+other.Name+" and "+a.Name+" hold the same key", "give each account keys of its own")
		}
		t.accountsByKey[digest] = a
	}
	return nil
}

// HasAccounts reports whether callers have to name their accounts.
func (t *Table) HasAccounts() bool { return t != nil && len(t.accounts) > 0 }

// Account returns the account with the given name, or nil.
func (t *Table) Account(name string) *bundle.Account {
	if t == nil {
		return nil
	}
	return t.accounts[name]
}

// AccountOf returns the account that holds a key, or nil.
func (t *Table) AccountOf(key string) *bundle.Account {
	if t == nil || key == "" {
		return nil
	}
	return t.accountsByKey[bundle.KeyDigest(key)]
}

func (t *Table) addParts(parts []bundle.Part) error {
	for i := range parts {
		t.services[parts[i].Name] = &parts[i].Service
	}
	for i := range parts {
		for j := range parts[i].Routes {
			if err := t.addRoute(&parts[i].Routes[j]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Table) addRoute(r *bundle.Route) error {
	for _, service := range r.Services() {
		if _, ok := t.services[service]; !ok {
			return fault.New(fault.KindInvalid, "route "+r.Name+" names the unknown service "+service, "add the service to the bundle or remove the route")
		}
	}
	host := canonicalHost(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(routesByPrefix)
	}
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	t.hosts[host][prefix] = append(t.hosts[host][prefix], r)
	return nil
}

// Document returns the release of the table, or nil for a table of a snapshot.
func (t *Table) Document() *bundle.Document {
	if t == nil {
		return nil
	}
	return t.document
}

// Sequence returns the sequence number of the table's release or snapshot, or 0
// for a nil table.
func (t *Table) Sequence() uint64 {
	if t == nil {
		return 0
	}
	return t.sequence
}

// Service returns the service with the given name, or nil when the table does
// not hold it.
func (t *Table) Service(name string) *bundle.Service {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// Services returns the names of all services in alphabetical order.
func (t *Table) Services() []string {
	if t == nil {
		return nil
	}
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Move returns the move of a service, or nil when the release holds none.
func (t *Table) Move(service string) *wire.Move {
	if t == nil {
		return nil
	}
	return t.moves[service]
}

// Moves returns all moves of the release.
func (t *Table) Moves() []*wire.Move { return t.Document().Release().GetMoves() }

// Match returns the route of a request, or nil when no route matches. Routes of
// the request's host take precedence over routes for any host, then longer path
// prefixes over shorter ones, then routes that name the method over routes for
// any method. The port, the case and a trailing dot of host are ignored.
func (t *Table) Match(host, method, path string) *bundle.Route {
	if t == nil {
		return nil
	}
	if host = canonicalHost(host); host != "" {
		if r := t.hosts[host].match(method, path, t.exactSlash); r != nil {
			return r
		}
	}
	return t.hosts[""].match(method, path, t.exactSlash)
}

// canonicalHost returns a host without its port and its trailing dot, in lower case. An
// IPv6 address keeps its brackets.
func canonicalHost(host string) string {
	host = strings.ToLower(host)
	if end := strings.IndexByte(host, ']'); end > 0 && host[0] == '[' {
		return host[:end+1]
	}
	host, _, _ = strings.Cut(host, ":")
	return strings.TrimSuffix(host, ".")
}

func (p routesByPrefix) match(method, path string, exactSlash bool) *bundle.Route {
	prefix := strings.TrimSuffix(path, "/")
	if exactSlash && prefix == path {
		prefix = path[:strings.LastIndexByte(path, '/')+1]
		prefix = strings.TrimSuffix(prefix, "/")
	}
	for {
		if r := matchMethod(p[prefix], method); r != nil {
			return r
		}
		i := strings.LastIndexByte(prefix, '/')
		if i < 0 {
			return nil
		}
		prefix = prefix[:i]
	}
}

func matchMethod(routes []*bundle.Route, method string) *bundle.Route {
	var anyMethod *bundle.Route
	for _, r := range routes {
		if slices.Contains(r.Methods, method) {
			return r
		}
		if len(r.Methods) == 0 {
			anyMethod = r
		}
	}
	return anyMethod
}
