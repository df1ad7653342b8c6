package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/daemon"
	"github.com/shoenig/test/must"
)

// writeFiles writes a self-signed certificate with its key and returns the files.
func writeFiles(t *testing.T) daemon.TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, bytes []byte) string {
		path := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600))
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return daemon.TLSFiles{Cert: cert, Key: write("key.pem", "EC PRIVATE KEY", keyDER), CA: cert}
}

// listen starts an HTTPS server and returns its URL.
func listen(t *testing.T, f daemon.TLSFiles) string {
	t.Helper()
	cfg, err := f.ServerConfig()
	must.NoError(t, err)
	ln, err := tls.Listen("tcp", "127.0.0.1:0", cfg)
	must.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return "https://" + ln.Addr().String()
}

func get(t *testing.T, url string, cfg *tls.Config) error {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: cfg}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get(url)
	if err == nil {
		resp.Body.Close()
	}
	return err
}

func TestMutualTLSAcceptsOnlySignedPeers(t *testing.T) {
	files := writeFiles(t)
	url := listen(t, files)
	client, err := files.ClientConfig()
	must.NoError(t, err)
	must.NoError(t, get(t, url, client))

	unsigned, err := writeFiles(t).ClientConfig()
	must.NoError(t, err)
	unsigned.RootCAs = client.RootCAs
	must.Error(t, get(t, url, unsigned))
	must.Error(t, get(t, url, &tls.Config{RootCAs: client.RootCAs}))
}

func TestCertificateNeedsItsKey(t *testing.T) {
	files := writeFiles(t)
	files.Key = ""
	_, err := files.ServerConfig()
	must.Error(t, err)
}
