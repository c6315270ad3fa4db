package e2e

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

	"github.com/stretchr/testify/require"
)

// testCA is a certificate authority for the loopback address.
type testCA struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t, dir: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.key = key
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	require.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *testCA) path(name string) string { return filepath.Join(a.dir, name) }

func (a *testCA) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(a.t, os.WriteFile(a.path(name), data, 0o600))
}

// issue writes a new certificate and key for the loopback address.
func (a *testCA) issue(serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	a.write("key.pem", "EC PRIVATE KEY", keyDER)
	a.write("cert.pem", "CERTIFICATE", der)
}

func (a *testCA) client(withCert bool) *http.Client {
	pool := x509.NewCertPool()
	data, err := os.ReadFile(a.path("ca.pem"))
	require.NoError(a.t, err)
	require.True(a.t, pool.AppendCertsFromPEM(data))
	cfg := &tls.Config{RootCAs: pool}
	if withCert {
		pair, err := tls.LoadX509KeyPair(a.path("cert.pem"), a.path("key.pem"))
		require.NoError(a.t, err)
		cfg.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Timeout: waitTimeout, Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}}
}

// TestTLS runs two routers with TLS at all addresses, and checks that a replaced certificate is
// used without a restart.
func TestTLS(t *testing.T) {
	t.Parallel()
	a := newTestCA(t)
	a.issue(2)
	flags := []string{
		"--caller-cert", a.path("cert.pem"), "--caller-key", a.path("key.pem"),
		"--peer-cert", a.path("cert.pem"), "--peer-key", a.path("key.pem"), "--peer-ca", a.path("ca.pem"),
	}
	s := &system{t: t, labels: nil, setup: setup{routers: 2, routerFlags: flags}}
	addrs := freeAddrs(t, 3)
	s.table = s.standin("table", addrs[0], "table")
	s.objects = s.standin("objects", addrs[1], "objects")
	s.vms = s.standin("vms", addrs[2], "vms")
	s.startProcesses()
	known := a.client(true)
	get := func(c *http.Client, url string) (*http.Response, error) {
		resp, err := c.Get(url)
		if err == nil {
			resp.Body.Close()
		}
		return resp, err
	}
	operators := "https://" + s.routers[0].operatorAddr.String() + "/v1/status"
	s.eventually(func() bool { _, err := get(known, operators); return err == nil }, "the operator address answers")
	_, err := get(a.client(false), operators)
	require.Error(t, err, "an operator without a certificate is rejected")
	s.eventually(func() bool {
		out, err := s.ctl("status", "--peer-cert", a.path("cert.pem"), "--peer-key", a.path("key.pem"), "--peer-ca", a.path("ca.pem"))
		return err == nil && containsAll(out, "r1", "r2")
	}, "peers discover each other over mutual TLS")

	resp, err := get(a.client(false), "https://"+s.routers[0].callerAddr.String()+"/healthz")
	require.NoError(t, err)
	require.EqualValues(t, 2, resp.TLS.PeerCertificates[0].SerialNumber.Int64())
	time.Sleep(20 * time.Millisecond)
	a.issue(3)
	s.eventually(func() bool {
		resp, err := get(a.client(false), "https://"+s.routers[0].callerAddr.String()+"/healthz")
		return err == nil && resp.TLS.PeerCertificates[0].SerialNumber.Int64() == 3
	}, "a replaced certificate is used without a restart")
}
