package scenario

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wigeondale/peer"
	"wigeondale/settings"

	"github.com/rogpeppe/go-internal/testscript"
)

// This init registers the script commands for TLS.
func init() {
	commands["tls"] = wrap(0, enableTLS) // before up: all listeners get certificates; peer listeners require client certificates
	commands["knock"] = wrap(3, knock)   // knock ROUTER none|other|own TEXT: connects to the router's peer listener without a certificate, with a certificate of another CA or with the fleet's; TEXT is in the error or the status
}

// certs holds the certificate files of a fleet with TLS; a nil *certs means that the fleet
// runs without TLS.
type certs struct {
	node, other settings.TLS // other is signed by a CA that the fleet does not trust
	h2, h1      *http.Transport
}

func enableTLS(f *testFleet, _ *testscript.TestScript, _ []string) error {
	c := &certs{}
	var err1, err2 error
	c.node, err1 = issue(f.dir, "node")
	c.other, err2 = issue(f.dir, "other")
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	trust, err := c.node.DialConfig()
	if err != nil {
		return err
	}
	trust.Certificates = nil // callers have no certificate
	c.h1 = &http.Transport{TLSClientConfig: trust}
	c.h2 = &http.Transport{TLSClientConfig: trust.Clone(), ForceAttemptHTTP2: true}
	f.tls = c
	return nil
}

// issue creates a CA and one certificate for the loopback address, which all nodes share.
func issue(dir, name string) (settings.TLS, error) {
	file := func(kind string) string { return filepath.Join(dir, name+"-"+kind+".pem") }
	out := settings.TLS{CertFile: file("cert"), KeyFile: file("key"), ClientCAFile: file("ca")}
	caKey, err1 := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	key, err2 := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err := errors.Join(err1, err2); err != nil {
		return out, err
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: ca.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	caDER, err1 := x509.CreateCertificate(rand.Reader, ca, ca, caKey.Public(), caKey)
	leafDER, err2 := x509.CreateCertificate(rand.Reader, leaf, ca, key.Public(), caKey)
	keyDER, err3 := x509.MarshalPKCS8PrivateKey(key)
	return out, errors.Join(err1, err2, err3,
		writePEM(out.ClientCAFile, "CERTIFICATE", caDER),
		writePEM(out.CertFile, "CERTIFICATE", leafDER),
		writePEM(out.KeyFile, "PRIVATE KEY", keyDER))
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

// listenerSettings is a listener in the settings file. Without TLS the key tls is left out, since
// the settings do not accept null.
type listenerSettings struct {
	Address string        `json:"address"`
	TLS     *settings.TLS `json:"tls,omitempty"`
}

// listener returns the settings of a listener that requires no client certificates, for
// callers and operators.
func (c *certs) listener(addr string) listenerSettings {
	l := c.peerListener(addr)
	if l.TLS != nil {
		l.TLS.ClientCAFile = ""
	}
	return l
}

func (c *certs) peerListener(addr string) listenerSettings {
	if c == nil {
		return listenerSettings{Address: addr}
	}
	files := c.node
	return listenerSettings{Address: addr, TLS: &files}
}

func (c *certs) scheme() string {
	if c == nil {
		return "http://"
	}
	return "https://"
}

func (c *certs) caFile() string {
	if c == nil {
		return ""
	}
	return c.node.ClientCAFile
}

func (c *certs) transport(http1 bool) http.RoundTripper {
	switch {
	case c == nil:
		return http.DefaultTransport
	case http1:
		return c.h1
	}
	return c.h2
}

func knock(f *testFleet, _ *testscript.TestScript, args []string) error {
	r, err := f.mustRouter(args[0])
	if err != nil {
		return err
	}
	cfg := f.tls.h1.TLSClientConfig.Clone()
	files, has := map[string]settings.TLS{"own": f.tls.node, "other": f.tls.other}[args[1]]
	if has {
		pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
		if err != nil {
			return err
		}
		// With this function, the client sends the certificate even if the listener
		// requests a certificate of another CA.
		cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	tr := &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}
	got := ""
	resp, err := (&http.Client{Transport: tr, Timeout: hangTimeout}).Get("https://" + r.peer + peer.Path)
	if err == nil {
		resp.Body.Close()
		got = resp.Status
	} else {
		got = err.Error()
	}
	if want := strings.Join(args[2:], " "); !strings.Contains(got, want) {
		return fmt.Errorf("with the certificate %s: got %q, want %q", args[1], got, want)
	}
	return nil
}
