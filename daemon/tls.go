package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/samber/oops"
)

// errTLSPair means that only one of certificate and key was given.
var errTLSPair = errors.New("certificate and key have to be given together")

// TLSFiles names the PEM files of a listener. The zero value means no TLS.
type TLSFiles struct {
	Cert string
	Key  string
	// CA has to have signed the certificate that the other side presents. If it is
	// empty, a listener requires no certificate.
	CA string
}

// Enabled reports whether TLS is configured.
func (f TLSFiles) Enabled() bool { return f.Cert != "" || f.Key != "" || f.CA != "" }

// ServerConfig returns the settings of a listener, or nil without TLS.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	cfg, pool, err := f.load()
	if cfg == nil || err != nil {
		return nil, err
	}
	if pool != nil {
		cfg.ClientCAs = pool
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// ClientConfig returns the settings for calling a listener that has the same files,
// or nil without TLS.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	cfg, pool, err := f.load()
	if cfg == nil || err != nil {
		return nil, err
	}
	cfg.RootCAs = pool
	return cfg, nil
}

func (f TLSFiles) load() (*tls.Config, *x509.CertPool, error) {
	if !f.Enabled() {
		return nil, nil, nil
	}
	fail := oops.In("daemon").With("step", "load TLS files")
	if f.Cert == "" || f.Key == "" {
		return nil, nil, fail.Wrap(errTLSPair)
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, fail.Wrap(err)
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
	if f.CA == "" {
		return cfg, nil, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, nil, fail.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, fail.Errorf("%s holds no certificate", f.CA)
	}
	return cfg, pool, nil
}
