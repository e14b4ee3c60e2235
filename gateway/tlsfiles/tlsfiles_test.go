package tlsfiles_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"basilcross.example/gateway/tlsfiles"
	"gotest.tools/v3/assert"
)

type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{t: t, cert: cert, key: key, der: der}
}

// issue writes the files of an instance whose certificate expires at a time.
func (a *authority) issue(dir string, expires time.Time) *tlsfiles.Files {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: expires,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	f := &tlsfiles.Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{
		f.Certificate: {Type: "CERTIFICATE", Bytes: der},
		f.Key:         {Type: "EC PRIVATE KEY", Bytes: private},
		f.Authority:   {Type: "CERTIFICATE", Bytes: a.der},
	} {
		assert.NilError(a.t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return f
}

func serve(t *testing.T, f *tlsfiles.Files) string {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.TLS = f.Server()
	s.StartTLS()
	t.Cleanup(s.Close)
	return s.URL
}

func call(url string, config *tls.Config) error {
	c := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	res, err := c.Get(url)
	if err == nil {
		_ = res.Body.Close()
	}
	return err
}

// Calls between instances must fail if either end has no certificate, or one of another
// authority.
func TestCertificatesOfOtherAuthoritiesAreRejected(t *testing.T) {
	fleet, others := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	url := serve(t, fleet.issue(t.TempDir(), later))
	assert.NilError(t, call(url, fleet.issue(t.TempDir(), later).Client()))
	assert.Assert(t, call(url, others.issue(t.TempDir(), later).Client()) != nil, "a client of another authority was accepted")
	otherURL := serve(t, others.issue(t.TempDir(), later))
	assert.Assert(t, call(otherURL, fleet.issue(t.TempDir(), later).Client()) != nil, "a server of another authority was accepted")
	assert.Assert(t, call(url, &tls.Config{InsecureSkipVerify: true}) != nil, "a client without a certificate was accepted")
}

// Calls fail because a certificate has expired. After it was replaced in its files, calls must
// succeed without a restart of the process.
func TestExpiredCertificateIsReplacedWithoutRestart(t *testing.T) {
	fleet := newAuthority(t)
	dir := t.TempDir()
	expired := fleet.issue(dir, time.Now().Add(-time.Hour))
	url := serve(t, fleet.issue(t.TempDir(), time.Now().Add(time.Hour)))
	assert.Assert(t, call(url, expired.Client()) != nil)
	fleet.issue(dir, time.Now().Add(time.Hour))
	next := time.Now().Add(2 * time.Second)
	assert.NilError(t, os.Chtimes(expired.Certificate, next, next))
	assert.NilError(t, call(url, expired.Client()))
}

// A certificate that cannot be loaded must be reported at the start, not by the first call.
func TestCheckReportsUnreadableFiles(t *testing.T) {
	f := &tlsfiles.Files{Certificate: "missing", Key: "missing", Authority: "missing"}
	assert.ErrorContains(t, f.Check(), "load certificate")
}
