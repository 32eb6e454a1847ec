package rig2

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// recovery is recovery-s of the site.
	recovery = 15 * time.Second
	// downTime is down_s of the final fault.
	downTime     = 1200 * time.Millisecond
	workTime     = 30 * time.Millisecond
	sendInterval = 20 * time.Millisecond
	joinTime     = 5 * time.Second
	// minServed is the share of RECOVER, and usuallyServed what a calm deployment serves.
	minServed     = 0.25
	usuallyServed = 0.9
)

// Recovery is a day that ends with the final fault kill_all: it measures what is served before
// the fault, and later than recovery-s after the machines are back.
type Recovery struct {
	*Rig
	Instances []*Instance
	// BeforeFault and AfterFault bring the disruption about.
	BeforeFault, AfterFault func()
}

// NewRecovery starts the node of the callers, and two instances of one service with their nodes.
func NewRecovery(folder string) (*Recovery, error) {
	rig, err := New(folder)
	if err != nil {
		return nil, err
	}
	d := &Recovery{Rig: rig, BeforeFault: func() {}, AfterFault: func() {}}
	rig.Store.Put("op/config", Configuration(7, []Route{{Name: "history", Prefix: "/history/", Kind: "safe", Service: "ledger", TimeoutS: 2, MaxAttempts: 2}}))
	if err := rig.AddCallers("mombasa"); err != nil {
		return d, err
	}
	for i := range 2 {
		n, err := rig.AddNode("ledger", "mombasa")
		if err != nil {
			return d, err
		}
		instance := &Instance{ID: fmt.Sprintf("i-%d", i+1), Service: "ledger", Version: "v1", Slots: 9, Node: n, Serve: serveHistory}
		if err := instance.Start(); err != nil {
			return d, err
		}
		d.Instances = append(d.Instances, instance)
	}
	return d, nil
}

func serveHistory(x *Exchange) bool {
	_, _ = io.Copy(io.Discard, x.Request.Body)
	time.Sleep(workTime)
	return x.Answer(http.StatusOK, []byte("history "+x.ID)) == nil
}

// Play plays the day and returns the exit status of the case.
func (d *Recovery) Play() int {
	if !d.AwaitReady() {
		return CannotRun
	}
	time.Sleep(joinTime)
	before := d.measure("before the final fault", joinTime)
	if before < usuallyServed {
		return CannotRun
	}
	if Trouble() {
		d.BeforeFault()
		d.measure("beside the disruption", joinTime)
	}
	if !d.loseAll() {
		return CannotRun
	}
	back := time.Now()
	if Trouble() {
		d.AfterFault()
	}
	time.Sleep(time.Until(back.Add(recovery)))
	after := d.measure("later than recovery-s after the machines are back", 2*joinTime)
	if after < minServed {
		d.Printf("RECOVER: %.3f of the requests is served, %.3f was before the final fault", after, before)
		return Broken
	}
	return Held
}

// loseAll kills all nodes and starts them again.
func (d *Recovery) loseAll() bool {
	for _, n := range d.Nodes {
		d.Signal(n, syscall.SIGKILL)
	}
	for _, n := range d.Nodes {
		if !n.AwaitEnd(time.Second) {
			return false
		}
	}
	time.Sleep(downTime)
	for _, n := range d.Nodes {
		if d.StartNode(n) != nil {
			return false
		}
	}
	return d.AwaitReady()
}

// measure sends requests for some time and returns the share that is served.
func (d *Recovery) measure(when string, span time.Duration) float64 {
	var sent int
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(sendInterval) {
		id := fmt.Sprintf("q-%d", time.Now().UnixNano())
		sent++
		wg.Go(func() {
			status := Get(d.Nodes[0].Outbound, "/history/", id)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	wg.Wait()
	share := float64(statuses[http.StatusOK]) / float64(sent)
	d.Printf("%s: %d requests sent, %d served (%.3f); answers by status, 0 for none: %v", when, sent, statuses[http.StatusOK], share, statuses)
	for _, i := range d.Instances {
		d.Printf("the last status report of %s got %d", i.ID, i.reported.Load())
	}
	return share
}

// Get sends a request on a new connection and returns the status of the answer, or 0.
func Get(address, prefix, id string) int {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+prefix+id, nil)
	if err != nil {
		return 0
	}
	req.Host = Host
	req.Header.Set("X-Hibiscusrock-Attempt-Id", id)
	req.Header.Set("X-Hibiscusrock-Deadline-Ms", "2500")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Report sends a status report of another writer to a node and returns the status of the answer.
func (n *Node) Report(id, service, address string, born int64, seqNo int) int {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":9},"status":{"state":"ready","seq-no":%d,"cold-left-s":0}}`, address, born, service, n.Zone, seqNo)
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+n.Control+"/v1/rpc?call=instances.heartbeat&of="+id, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
