package store

import (
	"strconv"
	"sync"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
)

// Eras tracks the era of the store, which rises by one each time the store is restored
// from an earlier copy of its data. It is safe for concurrent use.
type Eras struct {
	*common.Common

	mu     sync.Mutex
	known  bool
	newest int64
	// leases holds the leases that Guard's functions granted and that have not ended, by
	// a handle that is never used again.
	leases     map[int64]grantedLease
	lastHandle int64
}

// grantedLease is the store's number of a lease and the era in which it was granted.
type grantedLease struct{ number, era int64 }

// NewEras returns an Eras that knows no era yet.
func NewEras(cm *common.Common) *Eras { return &Eras{Common: cm, leases: make(map[int64]grantedLease)} }

// Newest returns the newest era that was observed, or 0.
func (e *Eras) Newest() int64 {
	era, _ := e.current()
	return era
}

// current returns the newest era, and whether an answer has named one.
func (e *Eras) current() (era int64, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.known
}

// Of returns the era that an answer of the store names, and records it. It returns the
// newest known era if the answer names none that can be read.
func (e *Eras) Of(text string) int64 {
	era, err := strconv.ParseInt(text, 10, 64)
	if err != nil || era < 0 || era > maxEra {
		return e.Newest()
	}
	e.observe(era)
	return era
}

func (e *Eras) observe(era int64) {
	e.mu.Lock()
	before, known := e.newest, e.known
	e.newest, e.known = max(era, before), true
	e.mu.Unlock()
	if known && era > before {
		e.Count(`hibiscusrock_store_restored_total`)
		e.Event(event.StoreRestored).WithField("era", era).WithField("era_before", before).Warn("the store was restored from a copy")
	}
}

// addLease returns the handle of a lease that was granted in an era.
func (e *Eras) addLease(number, era int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHandle++
	e.leases[e.lastHandle] = grantedLease{number: number, era: era}
	return e.lastHandle
}

// leaseNumber returns the store's number of a lease, or false if it was granted in an
// earlier era or has ended. The handle 0 is that of no lease.
func (e *Eras) leaseNumber(handle int64) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lease, ok := e.leases[handle]
	return lease.number, handle == 0 || ok && lease.era == e.newest
}

func (e *Eras) forgetLease(handle int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.leases, handle)
}
