package node

import (
	"strconv"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
)

// maxLoggedRecords bounds the records that are logged. Further ones are only counted.
const maxLoggedRecords = 256

// unencodableRecords reports the records that this node leaves out of its messages and of
// its registration because they cannot be encoded. It counts each time that one is left out,
// and logs each record once.
type unencodableRecords struct {
	*common.Common
	mu     sync.Mutex
	logged map[string]bool
}

func newUnencodableRecords(cm *common.Common) *unencodableRecords {
	return &unencodableRecords{Common: cm, logged: make(map[string]bool)}
}

// checkEncodable returns an error if a message cannot be encoded.
func checkEncodable(message proto.Message) error {
	_, err := proto.Marshal(message)
	return err
}

// report counts and logs the record with a key, which cannot be encoded.
func (u *unencodableRecords) report(key string, err error) {
	u.Count(`hibiscusrock_records_unencodable_total`)
	u.mu.Lock()
	isNew := !u.logged[key] && len(u.logged) < maxLoggedRecords
	if isNew {
		u.logged[key] = true
	}
	u.mu.Unlock()
	if isNew {
		u.Event(event.RecordUnencodable).WithField("key", strconv.Quote(key)).WithError(err).Error("a record cannot be encoded, no other node learns of it")
	}
}
