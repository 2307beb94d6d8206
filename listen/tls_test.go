package listen_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"wigeondale/listen"
	"wigeondale/settings"
)

// selfSigned creates a self-signed certificate that is its own CA, and returns settings
// that name the files of the certificate.
func selfSigned(t *testing.T) *settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	certDER, err := x509.CreateCertificate(rand.Reader, cert, cert, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	out := &settings.TLS{CertFile: filepath.Join(dir, "c.pem"), KeyFile: filepath.Join(dir, "k.pem")}
	out.ClientCAFile = out.CertFile
	for path, block := range map[string]*pem.Block{
		out.CertFile: {Type: "CERTIFICATE", Bytes: certDER},
		out.KeyFile:  {Type: "PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// TestTLS checks that a client without a certificate gets no answer if the settings name a
// client CA.
func TestTLS(t *testing.T) {
	files := selfSigned(t)
	cfg := listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0", TLS: files}}
	s, err := listen.New(cfg, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	with, err := files.DialConfig()
	if err != nil {
		t.Fatal(err)
	}
	without := with.Clone()
	without.Certificates = nil
	for want, dial := range map[bool]*http.Transport{true: {TLSClientConfig: with}, false: {TLSClientConfig: without}} {
		defer dial.CloseIdleConnections()
		resp, err := (&http.Client{Transport: dial}).Get("https://" + s.Addr().String())
		if err == nil {
			resp.Body.Close()
		}
		if (err == nil) != want {
			t.Errorf("certificate presented %v: got %v", want, err)
		}
	}
}
