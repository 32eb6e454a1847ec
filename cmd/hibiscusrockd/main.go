// Command hibiscusrockd is the daemon that runs as the node of one host.
package main

import (
	"os"

	"github.com/hibiscusrock/hibiscusrock/pkg/daemon"
	"github.com/hibiscusrock/hibiscusrock/platform"
)

func main() { os.Exit(daemon.Main(os.Args, platform.Connect)) }
