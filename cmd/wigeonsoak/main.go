// Command wigeonsoak runs seeds of the fault soak: real wigeond processes, faults
// injected from outside them, and checks of what clients and replicas see. See package
// soak.
package main

import (
	"os"

	"wigeondale/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
