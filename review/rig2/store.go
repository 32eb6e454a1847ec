package rig2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store with its value.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

type leaseState struct {
	ttl  time.Duration
	ends time.Time
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Address string

	mu      sync.Mutex
	rev     int64
	items   map[string]Item
	history []Item
	leases  map[int64]*leaseState
	changed chan struct{}
}

// NewStore starts a store on a loopback address.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), rev: 10, items: map[string]Item{}, leases: map[int64]*leaseState{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return s, nil
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, value, 0)
	s.wake()
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) write(key string, value []byte, lease int64) {
	item := Item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Rev: s.rev, Removed: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"store-revision": s.rev})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": item.Key, "value": item.Value, "rev": item.Rev, "created": item.Created, "lease": item.Lease, "store-revision": s.rev})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "store-revision": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []Item{}
		for _, item := range s.history {
			if item.Rev > after && strings.HasPrefix(item.Key, q.Get("prefix")) {
				events = append(events, item)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in txn
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range in.Expected {
		if s.items[row.Key].Rev == row.Rev {
			continue
		}
		items := []Item{}
		for _, row := range in.Expected {
			if item, ok := s.items[row.Key]; ok {
				items = append(items, item)
			}
		}
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, write := range in.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, write := range in.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLS float64 `json:"ttl-s"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(in.TTLS * float64(time.Second))
	s.leases[s.rev] = &leaseState{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl-s": in.TTLS})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-s": l.ttl.Seconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
