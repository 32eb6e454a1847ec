// Command hibiscusrock is the operators' command line.
package main

import (
	"os"

	"github.com/hibiscusrock/hibiscusrock/pkg/operator"
)

func main() { os.Exit(operator.Main(os.Args)) }
