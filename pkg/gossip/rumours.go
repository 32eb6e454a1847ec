package gossip

import (
	"cmp"
	"slices"
	"sync"
)

// smallestRecord bounds how many keys a batch can hold, in bytes.
const smallestRecord = 16

// rumours counts how often each new record was sent.
type rumours struct {
	mu    sync.Mutex
	sends map[string]int
}

func (q *rumours) add(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sends[key] = 0
}

func (q *rumours) sent(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n, ok := q.sends[key]; ok {
		q.sends[key] = n + 1
	}
}

func (q *rumours) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.sends)
}

// next returns at most limit keys, least sent first, and forgets those that
// were sent often enough.
func (q *rumours) next(sendLimit, limit int) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	keys := make([]string, 0, len(q.sends))
	for key, n := range q.sends {
		if n >= sendLimit {
			delete(q.sends, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.sends[a], q.sends[b]), cmp.Compare(a, b))
	})
	return keys[:min(limit, len(keys))]
}
