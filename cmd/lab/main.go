// Command lab runs stand-ins for the systems around the nodes, the demo,
// experiments, and the replay of traces.
package main

import (
	"os"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab"
)

func main() { os.Exit(lab.Main(os.Args)) }
