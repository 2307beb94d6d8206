// Command wigeond is the daemon of wigeondale. One runs on each VM between callers and
// backend servers; all are alike.
package main

import (
	"os"

	"wigeondale/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
