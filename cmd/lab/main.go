// Command lab is the laboratory: stand-ins, demo, experiments and replay.
package main

import (
	"os"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab"
)

func main() { os.Exit(lab.Main(os.Args)) }
