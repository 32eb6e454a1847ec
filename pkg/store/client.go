// Package store is the client of the platform's key-value store. It defines the
// store operations that the project needs (KV), a follower of a key prefix, the
// project's keys, and a client of the etcd v3 JSON gateway.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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
	defaultTimeout      = 2 * time.Second
	maxIdleConnsPerHost = 4
	maxResponseBytes    = 4 << 20
	unavailableRemedy   = "wait for the platform to answer again; nodes keep serving the bundle they enforce"
)

// KeyValue is one key of the store with its value, revisions and lease. A lease of 0 means none.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          int64
}

// Client is a client of the etcd v3 JSON gateway over HTTP. It is safe for concurrent use.
type Client struct {
	*common.Common
	endpoints    []string
	nextEndpoint atomic.Uint32
	http         *http.Client
	timeout      time.Duration
}

// Option configures a Client in NewClient.
type Option func(*Client)

// WithTimeout sets the timeout of each call except watches. The default is 2 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// NewClient returns a client of the gateway at the given base URLs, and a function
// that closes its idle connections. The client uses one base URL until a call
// fails, and then the next one.
func NewClient(cm *common.Common, endpoints []string, opts ...Option) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         dialDuplex(&net.Dialer{Timeout: defaultTimeout}),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeadBytes,
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

// Get returns the value of a key. It returns false if the key does not exist.
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

// GetMany returns the values of keys, in the same order, read in one transaction. A
// key that does not exist has a nil value.
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
		return nil, c.unavailable(fault.New(fault.KindUnavailable, fmt.Sprintf("the transaction returned %d results for %d keys", len(out.Responses), len(keys)), ""), "kv/txn")
	}
	values := make([][]byte, len(keys))
	for i, response := range out.Responses {
		if response.ResponseRange != nil && len(response.ResponseRange.Kvs) > 0 {
			values[i] = response.ResponseRange.Kvs[0].Value
		}
	}
	return values, nil
}

// List returns at most limit keys that start with prefix, ordered by key.
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

// Put writes a key. The key is removed when lease ends, unless lease is 0.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease int64) error {
	return c.call(ctx, "kv/put", newPut(key, value, lease), &struct{}{})
}

// Write is one key to write in a transaction. A Lease of 0 means none.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Swap writes all of writes in one transaction if the first key's revision is
// modRevision, where 0 means that the key does not exist. It then returns true
// and the first key with its new revision. Otherwise it writes nothing and
// returns false and the first key's current value, which is empty if the key does
// not exist.
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

// DeleteIf removes a key if its revision is modRevision, and reports whether it did.
func (c *Client) DeleteIf(ctx context.Context, key string, modRevision int64) (bool, error) {
	request := txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: strconv.FormatInt(modRevision, 10)}},
		Success: []requestOp{{RequestDeleteRange: &rangeRequest{Key: []byte(key)}}},
	}
	var out txnResponse
	err := c.call(ctx, "kv/txn", request, &out)
	return out.Succeeded, err
}

// Grant creates a lease, with ttl rounded down to seconds, and returns its identifier.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out leaseResponse
	if err := c.call(ctx, "lease/grant", leaseRequest{TTL: strconv.Itoa(int(ttl.Seconds()))}, &out); err != nil {
		return 0, err
	}
	return parseInt(out.ID), nil
}

// KeepAlive renews a lease. It returns false if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	var out leaseResponse
	if err := c.call(ctx, "lease/keepalive", leaseRequest{ID: strconv.FormatInt(lease, 10)}, &out); err != nil {
		return false, err
	}
	return out.Result != nil && parseInt(out.Result.TTL) > 0, nil
}

// Revoke ends a lease, which removes the keys bound to it.
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

// Watch calls changed with each new value of key until ctx ends or the connection
// breaks. Changes before the watch has started are not reported: read the key
// when changed is called with an empty KeyValue, which means that the watch has
// started.
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

// call posts in to a gateway method and decodes the answer into out.
func (c *Client) call(ctx context.Context, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.post(ctx, method, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readBody(resp, resp.Body, maxResponseBytes)
	if err != nil {
		return c.unavailable(err, method)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return c.unavailable(err, method)
	}
	return nil
}

// post sends a request to a gateway method and returns the response if its status
// is 200. The caller closes the body.
func (c *Client) post(ctx context.Context, method string, in any) (*http.Response, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "cannot encode the platform call "+method, "")
	}
	base := c.endpoints[int(c.nextEndpoint.Load())%len(c.endpoints)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(base, "/")+"/v3/"+method, bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "the platform address "+base+" is not valid", "correct platform.endpoints in the settings")
	}
	req.Header.Set("Content-Type", "application/json")
	c.Count(`hibiscusrock_platform_calls_total{method="` + method + `"}`)
	resp, err := send(c.http, req)
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

// unavailable counts a failed call, selects the next base URL for the calls that
// follow, and returns the error.
func (c *Client) unavailable(err error, method string) error {
	c.nextEndpoint.Add(1)
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

// prefixEnd returns the key that follows all keys with the given prefix, whose last byte must not be 255.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

// parseInt parses a decimal number of the gateway, which encodes 64-bit integers as strings; an empty string is 0.
func parseInt(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}
