// Command hibiscusrockd is the node on a backend server host.
package main

import (
	"os"

	"github.com/hibiscusrock/hibiscusrock/pkg/daemon"
	"github.com/hibiscusrock/hibiscusrock/platform"
)

func main() { os.Exit(daemon.Main(os.Args, platform.Connect)) }
