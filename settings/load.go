package settings

import (
	"bytes"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

const (
	minKeyBytes  = 32
	maxFileBytes = 1 << 20
)

// Problem is one fault at a JSON path such as operators[1].role. An empty path means
// the whole file.
type Problem struct {
	Path string
	Want string
	Got  string
}

// String returns one line for an operator.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "(whole file)"
	}
	return fmt.Sprintf("%s: want %s, got %s", path, p.Want, p.Got)
}

// Problems lists all faults found; its text has one line for each.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return Error.Wrap(p)
}

// Parse decodes settings over the defaults and checks them, without reading the files that
// they name. A caller gets the Problems from the error with errors.As.
func Parse(data []byte) (*Settings, error) {
	s, problems := parse(data)
	return s, problems.err()
}

func parse(data []byte) (*Settings, Problems) {
	s := Default()
	problems := decode(data, s)
	if s.Hosted != nil {
		s.Hosted.joinPeerPort()
	}
	// A field of the wrong type has kept its default, so the values of all fields can be
	// checked all the same. In this way one run reports all faults, and each fault once.
	reported := map[string]bool{}
	for _, p := range problems {
		reported[p.Path] = true
	}
	if reported[""] {
		return s, problems
	}
	c := &checker{}
	c.all(s)
	for _, p := range c.problems {
		if !reported[p.Path] {
			problems = append(problems, p)
		}
	}
	return s, problems
}

// Unusual returns the values that are in force although they are outside of the range that is served well.
func (s *Settings) Unusual() Problems {
	if s.Hosted == nil {
		return nil
	}
	out := s.Hosted.unusual()
	if d := s.Limits.Descriptors; d > 0 && d < minDescriptors {
		out = append(out, Problem{Path: "limits.descriptors", Want: fmt.Sprintf("%d or more", minDescriptors), Got: fmt.Sprint(d)})
	}
	return out
}

// ReadFile reads the settings file at path.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > maxFileBytes {
		return nil, Error.New("%s: larger than %d bytes", path, maxFileBytes)
	}
	return data, nil
}

// Load reads and checks the file at path; see LoadText.
func Load(path string) (*Settings, error) {
	data, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return LoadText(path, data)
}

// LoadText checks the settings in data, which were read from the file at path. Relative paths in the settings are resolved from the
// folder of the file. LoadText also reads the keys and certificates, so that a wrong path is
// found before any socket is opened.
func LoadText(path string, data []byte) (*Settings, error) {
	s, problems := parse(data)
	if len(problems) > 0 {
		return nil, problems.err()
	}
	s.path = path
	if s.Hosted != nil {
		s.setIncarnation()
		return s, nil
	}
	s.resolve(filepath.Dir(path))
	c := &checker{}
	s.readKeys(c)
	c.certificates(s)
	if err := c.problems.err(); err != nil {
		return nil, err
	}
	s.setIncarnation()
	return s, nil
}

// setIncarnation generates the incarnation of this start, unless the file sets one.
func (s *Settings) setIncarnation() {
	if s.Node.Incarnation == autoIncarnation {
		s.Node.Incarnation = newIncarnation()
	}
}

func newIncarnation() string {
	var b [8]byte
	rand.Read(b[:]) // never fails: the runtime aborts the process instead
	return hex.EncodeToString(b[:])
}

func (s *Settings) listeners() []*Listener {
	return []*Listener{&s.Listen.Caller, &s.Listen.Admin, &s.Listen.Peer}
}

func (s *Settings) resolve(dir string) {
	paths := []*string{&s.Peers.KeyFile, &s.Cursor.KeyFile, &s.Cursor.PreviousKeyFile}
	for _, l := range s.listeners() {
		if l.TLS != nil {
			paths = append(paths, &l.TLS.CertFile, &l.TLS.KeyFile, &l.TLS.ClientCAFile)
		}
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

// keys holds the peer key and the current and previous cursor key. Its fields are not
// exported, so that no dump of the settings contains a key.
type keys struct {
	peer, cursor, previous []byte
}

// PeerKey returns the shared key with which daemons authenticate each other. Load reads the
// key.
func (s *Settings) PeerKey() []byte { return s.keys.peer }

// CursorKeys returns the current and the previous cursor key (nil if there is none). Load
// reads both keys.
func (s *Settings) CursorKeys() (current, previous []byte) {
	return s.keys.cursor, s.keys.previous
}

func (s *Settings) readKeys(c *checker) {
	s.keys.peer = c.readKey("peers.key", s.Peers.KeyFile, s.Peers.KeyEnv)
	s.keys.cursor = c.readKey("cursor.key", s.Cursor.KeyFile, s.Cursor.KeyEnv)
	s.keys.previous = c.readKey("cursor.previous_key", s.Cursor.PreviousKeyFile, s.Cursor.PreviousKeyEnv)
}

func (c *checker) readKey(path, file, env string) []byte {
	var key []byte
	switch {
	case file != "":
		path += "_file"
		data, err := os.ReadFile(file)
		if err != nil {
			c.addProblem(path, "a readable file", err)
			return nil
		}
		key = bytes.TrimSpace(data)
	case env != "":
		path += "_env"
		key = []byte(os.Getenv(env))
	default:
		return nil
	}
	if len(key) < minKeyBytes {
		c.addProblem(path, fmt.Sprintf("a key of at least %d bytes", minKeyBytes), fmt.Sprintf("%d bytes", len(key)))
	}
	return key
}

func (c *checker) certificates(s *Settings) {
	names := []string{"listen.caller.tls", "listen.admin.tls", "listen.peer.tls"}
	for i, l := range s.listeners() {
		if _, err := l.TLS.Config(); err != nil {
			c.addProblem(names[i], "certificate, key and CA in PEM files", err)
		}
	}
}

// Config reads the certificate and key files and returns the TLS configuration of a
// listener. It returns nil if t is nil, which means no TLS.
func (t *TLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if t.ClientCAFile == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(t.ClientCAFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg.ClientCAs = x509.NewCertPool()
	if !cfg.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s: no certificate in it", t.ClientCAFile)
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

// DialConfig returns the client side of Config, for daemons that connect to each
// other's listeners: it presents the same certificate and accepts servers signed by the
// same CA. It returns nil without TLS.
func (t *TLS) DialConfig() (*tls.Config, error) {
	cfg, err := t.Config()
	if cfg == nil || err != nil {
		return nil, err
	}
	cfg.RootCAs, cfg.ClientCAs = cfg.ClientCAs, nil
	cfg.ClientAuth = tls.NoClientCert
	return cfg, nil
}

const masked = "(masked)"

// Printable returns the settings in force as indented JSON, with token hashes of
// operators and passwords in URLs masked.
func (s *Settings) Printable() []byte {
	shown := *s
	shown.Operators = make([]Operator, len(s.Operators))
	for i, op := range s.Operators {
		op.TokenSHA256 = masked
		shown.Operators[i] = op
	}
	p := &shown.Platform
	for _, u := range []*string{&p.KVURL, &p.VMsURL, &p.WeightsURL} {
		if parsed, err := url.Parse(*u); err == nil {
			*u = parsed.Redacted()
		}
	}
	text, err := json.MarshalIndent(&shown, "", "  ")
	if err != nil {
		return []byte(err.Error()) // a NaN, which Check rejects
	}
	return append(text, '\n')
}
