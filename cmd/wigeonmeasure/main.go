// Command wigeonmeasure runs measurements against processes that scripts/measure.sh has
// started.
package main

import (
	"os"

	"wigeondale/measure"
)

func main() {
	os.Exit(measure.Main(os.Args[1:], os.Stdout, os.Stderr))
}
