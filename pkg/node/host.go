package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const maxAnnouncementBytes = 4 << 10

// Announcement is the body with which a backend server announces itself to the
// node on its host in release mode. It is repeated as a heartbeat.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Address is the IP address and port at which the backend server accepts
	// HTTP requests.
	Address string `json:"address"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots"`
	// Leaving is true when the backend server accepts no new requests.
	Leaving bool `json:"leaving"`
	// StartedUnixMS is the Unix time in milliseconds at which the backend server started, or
	// 0 if it does not say. It shows a crash after which it is back at once.
	StartedUnixMS int64 `json:"started_unix_ms"`
}

// State is the body of /debug/state.
type State struct {
	Node       string         `json:"node"`
	DataCentre string         `json:"data_centre"`
	Held       uint64         `json:"held"`
	Enforced   uint64         `json:"enforced"`
	Members    []MemberState  `json:"members"`
	Backends   []BackendState `json:"backend_servers"`
	Moves      []MoveState    `json:"moves"`
	Services   []string       `json:"services"`
	Relay      bool           `json:"relay"`
	Leader     bool           `json:"steward"`
	Endpoints  map[string]int `json:"endpoints"`
	Traffic    TrafficState   `json:"control_traffic"`
	Records    int            `json:"records"`
	Bundle     string         `json:"bundle"`
}

// MemberState is a member of the fleet as this node knows it.
type MemberState struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
	Held       uint64 `json:"held,omitempty"`
}

// BackendState is one backend server on the node's host.
type BackendState struct {
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Version  string  `json:"version"`
	Address  string  `json:"address"`
	Slots    int     `json:"slots"`
	Limit    float64 `json:"limit"`
	// RateLimit is the number of requests a second that the backend server takes,
	// or 0 if it names none.
	RateLimit float64 `json:"rate_limit"`
	Running   int     `json:"running"`
	Draining  bool    `json:"draining"`
	Down      bool    `json:"down"`
}

// MoveState is a move as this node knows it, in release mode.
type MoveState struct {
	Service  string `json:"service"`
	To       string `json:"to"`
	Permille int    `json:"permille"`
	State    string `json:"state"`
	Note     string `json:"note"`
	Halt     string `json:"halt,omitempty"`
}

// TrafficState counts bytes on the control connections that the node opened.
type TrafficState struct {
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
}

func (n *Node) hostHandler() http.Handler {
	mux := http.NewServeMux()
	if n.adapter != nil {
		n.adapter.Register(mux, n.hostCalls())
	} else {
		mux.HandleFunc("PUT /v1/backend-servers/{instance}", n.serveAnnouncement)
		mux.HandleFunc("GET /debug/moves/{service}", n.serveTrace)
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.Metrics().WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /debug/state", n.serveState)
	mux.HandleFunc("GET /debug/route", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, n.entry.ExplainQuery(r)) })
	return mux
}

func (n *Node) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	record, err := n.readAnnouncement(w, r)
	if err != nil {
		n.Count(`hibiscusrock_announcements_refused_total`)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.owner.HandleAnnouncement(n.withOrigin(record))
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) readAnnouncement(w http.ResponseWriter, r *http.Request) (*wire.Endpoint, error) {
	const maxNameLength, maxSlots = 63, 100000
	var a Announcement
	const remedy = "send service, version, address, slots and leaving as JSON"
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "the announcement cannot be read", remedy)
	}
	instance := r.PathValue("instance")
	if !utf8.ValidString(instance) || !utf8.Valid(body) {
		return nil, fault.New(fault.KindInvalid, "the announcement or the name of its instance is not UTF-8", remedy)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "the announcement cannot be read", remedy)
	}
	for _, name := range []string{instance, a.Service, a.Version} {
		if name == "" || len(name) > maxNameLength {
			return nil, fault.New(fault.KindInvalid, fmt.Sprintf("instance, service and version need 1 to %d characters, got %d", maxNameLength, len(name)), "correct the announcement")
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, fmt.Sprintf("address %q is not an IP address and port", a.Address), "correct the announcement")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return nil, fault.New(fault.KindInvalid, fmt.Sprintf("slots is %d, outside 1 to %d", a.Slots, maxSlots), "correct the announcement")
	}
	if a.StartedUnixMS < 0 {
		return nil, fault.New(fault.KindInvalid, fmt.Sprintf("started_unix_ms is %d, below 0", a.StartedUnixMS), "correct the announcement")
	}
	return &wire.Endpoint{
		Node:       n.settings.Node,
		Instance:   instance,
		Service:    a.Service,
		Version:    a.Version,
		DataCentre: n.settings.DataCentre,
		Address:    a.Address,
		Slots:      uint32(a.Slots),
		Draining:   a.Leaving,
		BornUnixMs: a.StartedUnixMS,
	}, nil
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.table() == nil {
		http.Error(w, "no bundle in force", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.State())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(value)
}

// State returns the node's present state for /debug/state.
func (n *Node) State() State {
	table := n.table()
	s := State{
		Node:       n.settings.Node,
		DataCentre: n.settings.DataCentre,
		Held:       n.heldSequence(),
		Enforced:   table.Sequence(),
		Services:   table.Services(),
		Relay:      n.members.IsRelay(),
		Leader:     n.isLeader(),
		Endpoints:  make(map[string]int),
		Records:    n.records.Len(),
	}
	s.Traffic.Sent, s.Traffic.Received = n.control.Traffic()
	for _, service := range s.Services {
		s.Endpoints[service] = n.endpoints.Count(service, "", "")
	}
	for _, member := range n.members.All() {
		s.Members = append(s.Members, MemberState{
			Node:       member.GetNode(),
			DataCentre: member.GetDataCentre(),
			Address:    member.GetAddress(),
			State:      member.GetState().String(),
			Held:       n.heldSequenceOf(member.GetNode()),
		})
	}
	for _, b := range n.owner.Backends() {
		r := b.Record()
		s.Backends = append(s.Backends, BackendState{
			Instance: r.GetInstance(), Service: r.GetService(), Version: r.GetVersion(), Address: r.GetAddress(),
			Slots: int(r.GetSlots()), Limit: b.Gate().Limit(), RateLimit: b.RateLimit(), Running: b.Gate().Running(), Draining: r.GetDraining(), Down: r.GetDown(),
		})
	}
	if table == nil || n.adapter != nil {
		return s
	}
	s.Bundle = table.Document().Release().GetBundleName()
	for _, move := range table.Moves() {
		view := (*n.moves.views.Load())[move.GetService()]
		state := MoveState{Service: move.GetService(), To: move.GetTo(), Permille: view.permille, State: rollout.PhaseName(view.share.GetState()), Note: view.share.GetNote()}
		if view.halt != nil {
			state.Halt = haltSummary(view.halt)
		}
		s.Moves = append(s.Moves, state)
	}
	return s
}

func (n *Node) isLeader() bool {
	if n.rollouts != nil {
		return n.rollouts.leadership.isHeld()
	}
	return n.moves.leadership.isHeld()
}

func (n *Node) publishGauges() {
	set := n.Metrics()
	set.NewGauge(`hibiscusrock_release_held_sequence`, func() float64 { return float64(n.heldSequence()) })
	set.NewGauge(`hibiscusrock_release_enforced_sequence`, func() float64 { return float64(n.table().Sequence()) })
	set.NewGauge(`hibiscusrock_peers_alive`, func() float64 { return float64(n.countAlivePeers()) })
	set.NewGauge(`hibiscusrock_requests_in_flight`, func() float64 {
		inFlight := 0
		for _, b := range n.owner.Backends() {
			inFlight += b.Gate().InFlight()
		}
		return float64(inFlight)
	})
	set.NewGauge(`hibiscusrock_orders_open`, func() float64 {
		if n.rollouts == nil {
			return 0
		}
		return float64(len(n.rollouts.openOrders()))
	})
	set.NewGauge(`hibiscusrock_members`, func() float64 { return float64(n.members.Len()) })
	set.NewGauge(`hibiscusrock_records`, func() float64 { return float64(n.records.Len()) })
	if n.freshness != nil {
		set.NewGauge(`hibiscusrock_configuration_confirmed_age_seconds`, func() float64 { return n.freshness.Age().Seconds() })
	}
	set.NewGauge(`hibiscusrock_control_sent_bytes`, func() float64 {
		sent, _ := n.control.Traffic()
		return float64(sent)
	})
	set.NewGauge(`hibiscusrock_control_received_bytes`, func() float64 {
		_, received := n.control.Traffic()
		return float64(received)
	})
}
