// Command wigeonctl is the operators' tool of wigeondale.
package main

import (
	"context"
	"os"
	"os/signal"

	"wigeondale/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Main(ctx, os.Args[1:], ctl.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
		Stream: ctl.Stream,
	})
	stop()
	os.Exit(code)
}
