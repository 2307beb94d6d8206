// Command wigeonload sends load through wigeondale and checks every answer.
package main

import (
	"os"

	"wigeondale/load"
)

func main() {
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr))
}
