package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// restoredStoreDelay is the time for operators to write an order again that a restored
// store has lost. Until then the order counts as given.
const restoredStoreDelay = 3 * time.Second

// maxEvacuations bounds the data centres that are evacuated at the same time, against keys
// without end that are no orders.
const maxEvacuations = 64

// maxEvacuationRecords bounds the data centres for which an order or its end is kept: nodes
// that were away learn the end of an order from its record.
const maxEvacuationRecords = 1024

// Evacuations holds the data centres whose backend servers get no requests, by order of
// the operators. The nodes that read an order from the store replicate it as a gossip
// record whose epoch is the store revision, so that the newest one holds on all nodes
// whatever the order of arrival. It is safe for concurrent use.
type Evacuations struct {
	records *gossip.Store
	now     func() time.Time
	changed func(dataCentre string, active bool)

	mu sync.Mutex
	// orders holds whether an order is active, by data centre, also for orders that have ended.
	orders map[string]bool
	// missing holds the orders that a restored store lacks, by data centre.
	missing map[string]missingOrder
}

// missingOrder ends an order at a revision, unless that is written again before due.
type missingOrder struct {
	revision int64
	due      time.Time
}

// NewEvacuations returns the orders that records hold. changed is called when one is
// given or ends; it must not block.
func NewEvacuations(records *gossip.Store, now func() time.Time, changed func(dataCentre string, active bool)) *Evacuations {
	e := &Evacuations{records: records, now: now, changed: changed, orders: make(map[string]bool), missing: make(map[string]missingOrder)}
	records.OnChange(e.applyRecord)
	return e
}

// IsActive reports whether the backend servers of a data centre get no requests.
func (e *Evacuations) IsActive(dataCentre string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders[dataCentre]
}

// Active returns the data centres whose backend servers get no requests, sorted.
func (e *Evacuations) Active() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []string
	for dataCentre, active := range e.orders {
		if active {
			all = append(all, dataCentre)
		}
	}
	slices.Sort(all)
	return all
}

// Receive records an order that was read from the store, or its end, at a revision.
func (e *Evacuations) Receive(dataCentre string, revision int64, active bool) {
	e.mu.Lock()
	delete(e.missing, dataCentre)
	e.mu.Unlock()
	e.publish(dataCentre, revision, active)
}

// ReceiveAll records that the store holds orders for just the given data centres at a
// revision. An order that only a restored store lacks ends after restoredStoreDelay.
func (e *Evacuations) ReceiveAll(present []string, revision int64) {
	for _, dataCentre := range e.Active() {
		known := int64(e.records.Get(gossip.PrefixEvacuation + dataCentre).GetEpoch())
		switch {
		case slices.Contains(present, dataCentre) || known >= revision:
		case store.EraOf(known) == store.EraOf(revision):
			e.publish(dataCentre, revision, false)
		default:
			e.mu.Lock()
			e.missing[dataCentre] = missingOrder{revision: revision, due: e.now().Add(restoredStoreDelay)}
			e.mu.Unlock()
		}
	}
}

// Tick ends the orders that a restored store lacks and that were not written again.
func (e *Evacuations) Tick() {
	now := e.now()
	due := make(map[string]int64)
	e.mu.Lock()
	for dataCentre, m := range e.missing {
		if !now.Before(m.due) {
			due[dataCentre] = m.revision
			delete(e.missing, dataCentre)
		}
	}
	e.mu.Unlock()
	for dataCentre, revision := range due {
		e.publish(dataCentre, revision, false)
	}
}

func (e *Evacuations) publish(dataCentre string, revision int64, active bool) {
	if !e.hasRoom(dataCentre, active) {
		return
	}
	e.records.Set(&wire.Record{
		Key: gossip.PrefixEvacuation + dataCentre, Epoch: uint64(revision),
		Body: &wire.Record_Evacuation{Evacuation: &wire.Evacuation{DataCentre: dataCentre, Active: active}},
	})
}

// hasRoom reports whether an order, or its end, may be kept.
func (e *Evacuations) hasRoom(dataCentre string, active bool) bool {
	count := len(e.Active())
	e.mu.Lock()
	defer e.mu.Unlock()
	wasActive, known := e.orders[dataCentre]
	switch {
	case !known && (!active || len(e.orders) >= maxEvacuationRecords):
		return false
	case active && !wasActive:
		return count < maxEvacuations
	}
	return true
}

func (e *Evacuations) applyRecord(r *wire.Record) {
	order := r.GetEvacuation()
	if order == nil || !strings.HasPrefix(r.GetKey(), gossip.PrefixEvacuation) {
		return
	}
	dataCentre := order.GetDataCentre()
	e.mu.Lock()
	before := e.orders[dataCentre]
	e.orders[dataCentre] = order.GetActive()
	e.mu.Unlock()
	if before != order.GetActive() {
		e.changed(dataCentre, order.GetActive())
	}
}
