package ctl

import (
	"context"
	"io"
	"os"
	"strings"

	"wigeondale/client"
)

// Stream runs the stream command with package client.
func Stream(ctx context.Context, cmd StreamCmd, apiKey string, stdout io.Writer) error {
	var prompt []byte
	var err error
	if cmd.PromptFile == "-" {
		prompt, err = io.ReadAll(os.Stdin)
	} else {
		prompt, err = os.ReadFile(cmd.PromptFile)
	}
	if err != nil {
		return Error.New("%w: %w", ErrUsage, err)
	}
	scheme := "http://"
	if cmd.RootCAs != nil {
		scheme = "https://"
	}
	var endpoints []string
	for _, r := range strings.Split(cmd.Routers, ",") {
		if r = strings.TrimSpace(r); r == "" {
			continue
		}
		if !strings.Contains(r, "://") {
			r = scheme + r
		}
		endpoints = append(endpoints, r)
	}
	if len(endpoints) == 0 {
		return Error.New("%w: no router: give -routers or WIGEON_ROUTERS", ErrUsage)
	}
	req := client.Request{Model: cmd.Model, Prompt: string(prompt), MaxTokens: cmd.MaxTokens, Timeout: cmd.Timeout}
	res, err := client.New(endpoints, apiKey, client.Options{RootCAs: cmd.RootCAs}).Generate(ctx, req, func(text string) {
		// An error can't be reported when standard output can't be written.
		_, _ = io.WriteString(stdout, text)
	})
	_, _ = io.WriteString(stdout, "\n")
	if err != nil {
		return Error.New("%w: outcome %s after %d reconnects: %w", ErrRefused, res.Outcome, res.Reconnects, err)
	}
	return nil
}
