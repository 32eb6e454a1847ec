// Command 9 lets other writers send status reports whose ids hold bytes that can't be read, and
// ends all nodes at the same moment.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/hibiscusrock/hibiscusrock/review/rig2"
)

const (
	// writers is the number of other writers, each of which reports to each machine every
	// oddInterval, which is heartbeat-s of the examples.
	writers     = 8
	oddInterval = 1500 * time.Millisecond
)

func main() { os.Exit(play(os.Args[1])) }

func play(folder string) int {
	day, err := rig2.NewRecovery(folder)
	if day != nil {
		defer day.Close()
	}
	if err != nil {
		fmt.Println(err)
		return rig2.CannotRun
	}
	day.BeforeFault = func() { go write(day) }
	return day.Play()
}

// write sends status reports whose ids can't be read to all machines, until the process ends.
func write(day *rig2.Recovery) {
	born := time.Now().UnixMilli()
	for number := 0; ; number++ {
		id := fmt.Sprintf("%%ff-%d", number%writers)
		for _, n := range day.Nodes {
			status := n.Report(id, "ledger", "127.0.0.1:9", born, number+1)
			if number < writers {
				day.Printf("another writer sends a status report with the id %s to %s: %d", id, n.Name, status)
			}
		}
		time.Sleep(oddInterval / writers)
	}
}
