// Command 2 stops a node while it works on bookings, and tells it during the stop that
// its settings file has changed.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscusrock/hibiscusrock/review/rig"
)

const (
	host     = "grit.example"
	bookings = 6
	// reloadDelay is the time from SIGTERM to SIGHUP.
	reloadDelay = 500 * time.Millisecond
)

func main() {
	r, err := rig.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.NotRun)
	}
	broken, err := play(r)
	status := r.Finish(broken)
	if err != nil {
		fmt.Println("could not run:", err)
		status = rig.NotRun
	}
	os.Exit(status)
}

func play(r *rig.Rig) (string, error) {
	var nodes []*rig.Node
	var instances []*rig.Instance
	for _, zone := range []string{"mombasa", "kilifi", "malindi"} {
		n, err := r.StartNode(zone, "ordering")
		if err != nil {
			return "", err
		}
		i, err := r.StartInstance(n, "i-"+zone, "ordering", "v1", rig.WithWork(1200*time.Millisecond))
		if err != nil {
			return "", err
		}
		nodes, instances = append(nodes, n), append(instances, i)
	}
	r.Configure(7, []string{"ordering"}, rig.Route{Host: host, Prefix: "/book/", Kind: "unsafe", Service: "ordering", TimeoutS: 3})
	ready := func() bool { return nodes[0].IsReady() && nodes[0].Endpoints("ordering") == len(nodes) }
	if !rig.Await(10*time.Second, ready) {
		return "", fmt.Errorf("the deployment is not ready")
	}
	time.Sleep(4 * time.Second)
	return stopAndReload(r, nodes[0], instances), nil
}

// stopAndReload sends bookings to a node, then SIGTERM and SIGHUP while they run.
func stopAndReload(r *rig.Rig, n *rig.Node, instances []*rig.Instance) string {
	answers := make([]rig.Answer, bookings)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := r.NewCaller(n)
			defer c.Close()
			answers[i] = c.Do(rig.Request{ID: rig.NewID(), Method: http.MethodPost, Host: host, Target: "/book/order", Body: "one order", Deadline: 3 * time.Second})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	n.Signal(syscall.SIGTERM)
	time.Sleep(reloadDelay)
	if rig.HasTrouble() {
		n.Signal(syscall.SIGHUP)
	}
	wg.Wait()
	lost, runs := 0, rig.CountRuns(instances)
	for _, a := range answers {
		inTime := a.EndedAt.Before(a.SentAt.Add(a.Request.Deadline))
		if a.Err != nil && inTime && runs[a.Request.ID] > 0 {
			lost++
		}
	}
	n.AwaitEnd(7 * time.Second)
	_, how := n.HasEnded()
	r.Note("node", "%s ended %.2f s after SIGTERM: %s", n.Name, time.Since(stopped).Seconds(), how)
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d bookings that were passed on got no complete answer; the node ended by: %s", lost, bookings, how)
	}
	return ""
}
