package gossip

import (
	"cmp"
	"slices"
	"sync"
)

// minRecordBytes is a lower bound on the encoded size of a record. It bounds how
// many keys are considered for a batch of a given size.
const minRecordBytes = 16

// broadcastQueue counts by key how often each new record was sent.
type broadcastQueue struct {
	mu    sync.Mutex
	sends map[string]int
}

// add queues a record, or starts its count again if it is queued already.
func (q *broadcastQueue) add(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sends[key] = 0
}

// markSent counts one send of a record, if the record is still queued.
func (q *broadcastQueue) markSent(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n, ok := q.sends[key]; ok {
		q.sends[key] = n + 1
	}
}

func (q *broadcastQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.sends)
}

// next removes the records that were sent maxSends times and returns at most
// maxKeys of the other keys, ordered by the number of sends.
func (q *broadcastQueue) next(maxSends, maxKeys int) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	keys := make([]string, 0, len(q.sends))
	for key, n := range q.sends {
		if n >= maxSends {
			delete(q.sends, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.sends[a], q.sends[b]), cmp.Compare(a, b))
	})
	return keys[:min(maxKeys, len(keys))]
}
