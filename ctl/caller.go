package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"wigeondale/adminapi"
	"wigeondale/bounded"
	"wigeondale/clock"
)

const (
	maxAnswerBytes  = 64 << 20 // bytes
	maxRefusalBytes = 256 << 10
	confirmRounds   = 3 // over all addresses
	roundPause      = 500 * time.Millisecond
	dialTimeout     = 2 * time.Second
)

// adminClient calls the administration API of one node after another, until a node answers.
// See the method call for the responses after which it tries the next node.
type adminClient struct {
	addrs  []string
	token  string
	http   *http.Client
	scheme string
}

// refusal is the error that a node returned in response to a call of the administration
// API.
type refusal struct {
	problem adminapi.Problem
}

// Error returns the node's code and message.
func (r *refusal) Error() string { return r.problem.Code + ": " + r.problem.Message }

// Unwrap maps the refusal to the error that decides the exit code.
func (r *refusal) Unwrap() error {
	switch r.problem.Code {
	case adminapi.CodeUnsettled:
		return ErrUnsettled
	case adminapi.CodeUnavailable, adminapi.CodeNotReady, adminapi.CodeInternal:
		return ErrUnreachable
	case adminapi.CodeUnauthorized, adminapi.CodeBadRequest, adminapi.CodeNotFound:
		return ErrUsage
	}
	return ErrRefused
}

func newAdminClient(a args, getenv func(string) string) (*adminClient, error) {
	c := &adminClient{token: getenv("WIGEON_TOKEN"), scheme: "http"}
	for _, addr := range strings.Split(a.Admin, ",") {
		if addr = strings.TrimSpace(addr); addr != "" {
			c.addrs = append(c.addrs, addr)
		}
	}
	if len(c.addrs) == 0 {
		return nil, Error.New("%w: no administration address: give -admin or WIGEON_ADMIN", ErrUsage)
	}
	if a.TokenFile != "" {
		b, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return nil, Error.New("%w: %w", ErrUsage, err)
		}
		c.token = strings.TrimSpace(string(b))
	}
	tr := bounded.NewTransport(&http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext})
	if a.CAFile != "" {
		pool, err := readPool(a.CAFile)
		if err != nil {
			return nil, err
		}
		tr.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		c.scheme = "https"
	}
	c.http = &http.Client{Transport: tr, Timeout: a.Timeout}
	return c, nil
}

func readPool(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.New("%w: %w", ErrUsage, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, Error.New("%w: %s holds no certificate", ErrUsage, file)
	}
	return pool, nil
}

// call sends one call of the administration API to the addresses in order. It tries the
// next address only if a node can't be reached or responds that it is unavailable, not
// ready or has an internal error.
func (c *adminClient) call(ctx context.Context, method, path string, in, out any) error {
	var last error
	for _, addr := range c.addrs {
		last = c.callAt(ctx, addr, method, path, in, out)
		if last == nil || !errors.Is(last, ErrUnreachable) {
			return last
		}
	}
	return last
}

// confirm sends a plan to one node after another until one knows the outcome. If a node
// dies after it has appended the plan to the log, the outcome is unknown; the next node
// then reads the log to find out whether the plan was appended.
func (c *adminClient) confirm(ctx context.Context, sp adminapi.SignedPlan) (adminapi.ConfirmResult, error) {
	var acc adminapi.ConfirmResult
	var last error
	uncertain := false
	for range confirmRounds {
		for _, addr := range c.addrs {
			last = c.callAt(ctx, addr, http.MethodPost, "/admin/v1/plans/"+sp.Plan.ID+"/confirm", sp, &acc)
			if last == nil || outcomeKnown(last) {
				return acc, last
			}
			uncertain = uncertain || mayHaveAppended(last)
		}
		if !clock.Sleep(ctx, roundPause) {
			break
		}
	}
	if uncertain {
		return acc, Error.New("%w: it isn't known whether plan %s was accepted; confirm the same plan again (%v)", ErrUnsettled, sp.Plan.ID, last)
	}
	return acc, last
}

func outcomeKnown(err error) bool {
	return !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrUnsettled)
}

// mayHaveAppended reports whether a failed call may have changed the log.
func mayHaveAppended(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	var r *refusal
	if errors.As(err, &r) {
		return r.problem.Code == adminapi.CodeUnsettled || r.problem.Code == adminapi.CodeInternal
	}
	return true
}

func (c *adminClient) callAt(ctx context.Context, addr, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return Error.New("%w: %w", ErrUsage, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr+path, body)
	if err != nil {
		return Error.New("%w: %w", ErrUsage, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return parseRefusal(addr, resp)
	}
	if err := bounded.DecodeJSON(resp, maxAnswerBytes, out); err != nil {
		return fmt.Errorf("%w: answer of %s: %w", ErrUnreachable, addr, err)
	}
	return nil
}

func parseRefusal(addr string, resp *http.Response) error {
	var body adminapi.ProblemBody
	if err := bounded.DecodeJSON(resp, maxRefusalBytes, &body); err != nil || body.Error.Code == "" {
		return fmt.Errorf("%w: %s answered with status %d", ErrUnreachable, addr, resp.StatusCode)
	}
	return &refusal{body.Error}
}
