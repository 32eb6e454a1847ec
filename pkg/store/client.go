// Package store is the client of the platform's key-value service, which
// speaks the JSON gateway of etcd v3 over HTTP.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

const (
	defaultTimeout    = 2 * time.Second
	idleConnections   = 4
	largestAnswer     = 4 << 20
	unavailableRemedy = "wait for the platform to answer again; nodes keep serving the bundle they enforce"
)

// KeyValue is one key of the store with its revisions.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          int64
}

// Client talks to the platform.
type Client struct {
	*common.Common
	endpoints []string
	next      atomic.Uint32
	http      *http.Client
	timeout   time.Duration
}

// Option changes a Client under construction.
type Option func(*Client)

// WithTimeout bounds each call but watches.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// NewClient returns a client of the given base addresses, and its clean-up function.
func NewClient(cm *common.Common, endpoints []string, opts ...Option) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: defaultTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
	c := &Client{Common: cm, endpoints: endpoints, http: &http.Client{Transport: transport}, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	return c, transport.CloseIdleConnections
}

type wireKeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision string `json:"create_revision"`
	ModRevision    string `json:"mod_revision"`
	Lease          string `json:"lease"`
}

func (kv wireKeyValue) decode() KeyValue {
	return KeyValue{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: parseInt(kv.CreateRevision),
		ModRevision:    parseInt(kv.ModRevision),
		Lease:          parseInt(kv.Lease),
	}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    string `json:"limit,omitempty"`
}

type rangeResponse struct {
	Kvs []wireKeyValue `json:"kvs"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease string `json:"lease,omitempty"`
}

type compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision string `json:"mod_revision,omitempty"`
}

type requestOp struct {
	RequestPut         *putRequest   `json:"request_put,omitempty"`
	RequestRange       *rangeRequest `json:"request_range,omitempty"`
	RequestDeleteRange *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure,omitempty"`
}

type responseOp struct {
	ResponseRange *rangeResponse `json:"response_range"`
}

type txnResponse struct {
	Header struct {
		Revision string `json:"revision"`
	} `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type leaseRequest struct {
	ID  string `json:"ID,omitempty"`
	TTL string `json:"TTL,omitempty"`
}

type leaseResponse struct {
	ID     string `json:"ID"`
	TTL    string `json:"TTL"`
	Result *struct {
		TTL string `json:"TTL"`
	} `json:"result"`
}

// Get returns the value of a key, and false when it does not exist.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, bool, error) {
	var out rangeResponse
	if err := c.call(ctx, "kv/range", rangeRequest{Key: []byte(key)}, &out); err != nil {
		return KeyValue{}, false, err
	}
	if len(out.Kvs) == 0 {
		return KeyValue{}, false, nil
	}
	return out.Kvs[0].decode(), true, nil
}

// GetMany returns the values of keys in one read-only transaction; a key that
// does not exist has a nil value.
func (c *Client) GetMany(ctx context.Context, keys []string) ([][]byte, error) {
	var request txnRequest
	for _, key := range keys {
		request.Success = append(request.Success, requestOp{RequestRange: &rangeRequest{Key: []byte(key)}})
	}
	var out txnResponse
	if err := c.call(ctx, "kv/txn", request, &out); err != nil {
		return nil, err
	}
	if len(out.Responses) != len(keys) {
		return nil, c.unavailable(fault.New(fault.KindUnavailable, "an answer is missing", ""), "kv/txn")
	}
	values := make([][]byte, len(keys))
	for i, response := range out.Responses {
		if response.ResponseRange != nil && len(response.ResponseRange.Kvs) > 0 {
			values[i] = response.ResponseRange.Kvs[0].Value
		}
	}
	return values, nil
}

// List returns at most limit keys that start with prefix, in order.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]KeyValue, error) {
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: strconv.Itoa(limit)}
	var out rangeResponse
	if err := c.call(ctx, "kv/range", request, &out); err != nil {
		return nil, err
	}
	kvs := make([]KeyValue, len(out.Kvs))
	for i, kv := range out.Kvs {
		kvs[i] = kv.decode()
	}
	return kvs, nil
}

// Put writes a key, bound to a lease unless lease is 0.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease int64) error {
	return c.call(ctx, "kv/put", newPut(key, value, lease), &struct{}{})
}

// Write is one key to write in a transaction.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Swap writes all of writes if the first key's revision is modRevision; 0 asks
// that the key does not exist. It returns the key with its new revision; when
// the revision was another, it returns false and the present value.
func (c *Client) Swap(ctx context.Context, modRevision int64, writes ...Write) (bool, KeyValue, error) {
	key := []byte(writes[0].Key)
	request := txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: key, ModRevision: strconv.FormatInt(modRevision, 10)}},
		Failure: []requestOp{{RequestRange: &rangeRequest{Key: key}}},
	}
	for _, w := range writes {
		put := newPut(w.Key, w.Value, w.Lease)
		request.Success = append(request.Success, requestOp{RequestPut: &put})
	}
	var out txnResponse
	if err := c.call(ctx, "kv/txn", request, &out); err != nil {
		return false, KeyValue{}, err
	}
	if out.Succeeded {
		return true, KeyValue{Key: writes[0].Key, Value: writes[0].Value, ModRevision: parseInt(out.Header.Revision)}, nil
	}
	if len(out.Responses) == 0 || out.Responses[0].ResponseRange == nil || len(out.Responses[0].ResponseRange.Kvs) == 0 {
		return false, KeyValue{}, nil
	}
	return false, out.Responses[0].ResponseRange.Kvs[0].decode(), nil
}

// DeleteIf removes a key if its revision is modRevision.
func (c *Client) DeleteIf(ctx context.Context, key string, modRevision int64) (bool, error) {
	request := txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: strconv.FormatInt(modRevision, 10)}},
		Success: []requestOp{{RequestDeleteRange: &rangeRequest{Key: []byte(key)}}},
	}
	var out txnResponse
	err := c.call(ctx, "kv/txn", request, &out)
	return out.Succeeded, err
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out leaseResponse
	if err := c.call(ctx, "lease/grant", leaseRequest{TTL: strconv.Itoa(int(ttl.Seconds()))}, &out); err != nil {
		return 0, err
	}
	return parseInt(out.ID), nil
}

// KeepAlive renews a lease. It returns false when the lease has lapsed.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	var out leaseResponse
	if err := c.call(ctx, "lease/keepalive", leaseRequest{ID: strconv.FormatInt(lease, 10)}, &out); err != nil {
		return false, err
	}
	return out.Result != nil && parseInt(out.Result.TTL) > 0, nil
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	return c.call(ctx, "lease/revoke", leaseRequest{ID: strconv.FormatInt(lease, 10)}, &struct{}{})
}

type watchRequest struct {
	CreateRequest struct {
		Key []byte `json:"key"`
	} `json:"create_request"`
}

type watchResponse struct {
	Result struct {
		Events []struct {
			Type string       `json:"type"`
			Kv   wireKeyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// Watch calls changed with each new value of key until ctx ends or the
// connection breaks. A change between a read and the start of the watch is not
// reported, so read the key again once the watch stands: changed is called
// with an empty KeyValue at that moment.
func (c *Client) Watch(ctx context.Context, key string, changed func(KeyValue)) error {
	var request watchRequest
	request.CreateRequest.Key = []byte(key)
	resp, err := c.post(ctx, "watch", request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(resp.Body)
	for {
		var out watchResponse
		if err := dec.Decode(&out); err != nil {
			return fault.Wrap(err, fault.KindUnavailable, "the watch ended", unavailableRemedy)
		}
		if len(out.Result.Events) == 0 {
			changed(KeyValue{})
			continue
		}
		for _, event := range out.Result.Events {
			changed(event.Kv.decode())
		}
	}
}

func (c *Client) call(ctx context.Context, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.post(ctx, method, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, largestAnswer))
	if err != nil {
		return c.unavailable(err, method)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return c.unavailable(err, method)
	}
	return nil
}

func (c *Client) post(ctx context.Context, method string, in any) (*http.Response, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "cannot encode a platform call", "")
	}
	base := c.endpoints[int(c.next.Load())%len(c.endpoints)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(base, "/")+"/v3/"+method, bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "the platform address cannot be used", "correct platform.endpoints in the settings")
	}
	req.Header.Set("Content-Type", "application/json")
	c.Count(`hibiscusrock_platform_calls_total{method="` + method + `"}`)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.unavailable(err, method)
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		_ = resp.Body.Close()
		return nil, c.unavailable(fault.New(fault.KindUnavailable, resp.Status+": "+string(text), ""), method)
	}
	return resp, nil
}

func (c *Client) unavailable(err error, method string) error {
	c.next.Add(1)
	c.Count(`hibiscusrock_platform_errors_total{method="` + method + `"}`)
	return fault.Wrap(err, fault.KindUnavailable, "the platform did not answer "+method, unavailableRemedy)
}

func newPut(key string, value []byte, lease int64) putRequest {
	p := putRequest{Key: []byte(key), Value: value}
	if lease != 0 {
		p.Lease = strconv.FormatInt(lease, 10)
	}
	return p
}

func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

func parseInt(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}
