package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"wigeondale/bounded"
)

const (
	// proxyOutage is DialConfig.Outage of the connections to a proxy.
	proxyOutage = 2 * time.Second
	// maxProxyHeadBytes bounds the head of a proxy's answer.
	maxProxyHeadBytes = 8 << 10
	// connectionRefused is the error type by which a proxy says that the target refused the connection (RFC 9209).
	connectionRefused = "error=connection_refused"
)

// ProxyDial returns a DialFunc that opens connections through the HTTP CONNECT proxy at a
// host:port. It returns nil, which stands for a net.Dialer, if proxy is empty.
func ProxyDial(proxy string) DialFunc {
	if proxy == "" {
		return nil
	}
	dialer := DialConfig{Timeout: dialTimeout, Outage: proxyOutage}.dialer()
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, proxy)
		if err != nil {
			return nil, proxyError(ctx, proxy, err)
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // fails only if it is closed
		if err := connect(conn, addr); err != nil || !stop() {
			stop()
			conn.Close()
			return nil, proxyError(ctx, proxy, err)
		}
		return conn, nil
	}
}

// proxyError hides the cause, unless the target refused the connection: that the proxy does says nothing
// about the target.
func proxyError(ctx context.Context, proxy string, err error) error {
	switch {
	case ctx.Err() != nil:
		return Error.New("proxy %s: %w", proxy, ctx.Err())
	case err == errTargetRefused:
		return err
	}
	return Error.New("proxy %s: %v", proxy, err)
}

var errTargetRefused = Error.New("the target refused the connection: %w", syscall.ECONNREFUSED)

// connect asks the proxy for a connection to addr.
func connect(conn net.Conn, addr string) error {
	if _, err := io.WriteString(conn, "CONNECT "+addr+" HTTP/1.1\r\nHost: "+addr+"\r\n\r\n"); err != nil {
		return Error.Wrap(err)
	}
	checked := bounded.NewAnswerReader(singleBytes{io.LimitReader(conn, maxProxyHeadBytes)})
	checked.Expect(http.MethodConnect)
	resp, err := http.ReadResponse(bufio.NewReader(checked), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return Error.Wrap(err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case strings.Contains(resp.Header.Get("Proxy-Status"), connectionRefused):
		return errTargetRefused
	}
	return Error.New("no connection to %s: %s", addr, resp.Status)
}

// singleBytes reads one byte at a time, so that a buffer above it holds nothing that follows what was
// asked of it.
type singleBytes struct{ io.Reader }

func (r singleBytes) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(1, len(p))]) }
