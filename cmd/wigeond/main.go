// Command wigeond is the daemon of wigeondale: one on each VM between callers
// and backend servers, all alike.
package main

import (
	"os"

	"wigeondale/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
