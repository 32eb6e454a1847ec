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
}

// NewEras returns an Eras that knows no era yet.
func NewEras(cm *common.Common) *Eras { return &Eras{Common: cm} }

// Newest returns the newest era that was observed, or 0.
func (e *Eras) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
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
