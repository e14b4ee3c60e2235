// Package tlsfiles provides the TLS configuration for calls between instances. Both ends
// present a certificate signed by the fleet's authority, and only TLS 1.3 is accepted. The
// files are read again when they change, so certificates are replaced without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files holds the paths of an instance's certificate, of its key, and of the certificate of
// the fleet's authority, all in PEM. The zero value means no TLS.
type Files struct {
	Certificate string
	Key         string
	Authority   string

	mu sync.Mutex
	// newest is the latest modification time of the files that were loaded.
	newest time.Time
	pair   *tls.Certificate
	pool   *x509.CertPool
}

// Set reports whether TLS is configured.
func (f *Files) Set() bool { return f.Certificate != "" }

// Check loads the files once, so that errors in them are reported at the start.
func (f *Files) Check() error {
	if !f.Set() {
		return nil
	}
	_, _, err := f.load()
	return err
}

// load returns the certificate and the authority, read again if a file is newer. While
// the files cannot be loaded, as in the middle of a replacement, the last valid ones are
// used.
func (f *Files) load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := time.Time{}
	for _, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	if f.pair != nil && !newest.After(f.newest) {
		return f.pair, f.pool, nil
	}
	pair, pool, err := f.readFiles()
	if err != nil && f.pair != nil {
		return f.pair, f.pool, nil
	}
	if err != nil {
		return nil, nil, err
	}
	f.pair, f.pool, f.newest = pair, pool, newest
	return pair, pool, nil
}

func (f *Files) readFiles() (*tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificate %s and key %s: %w", f.Certificate, f.Key, err)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, fmt.Errorf("load authority certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, fmt.Errorf("load authority certificate: no certificate in %s", f.Authority)
	}
	return &pair, pool, nil
}

// Server returns the TLS configuration of a listener for other instances. It requires a
// client certificate.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := f.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns the TLS configuration for calls to other instances.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _, err := f.load()
			return pair, err
		},
		// The standard verification uses the authority that was set when the
		// configuration was created; verify does the same against the current one.
		InsecureSkipVerify: true, //nolint:gosec // replaced by VerifyConnection
		VerifyConnection:   f.verify,
	}
}

func (f *Files) verify(state tls.ConnectionState) error {
	_, pool, err := f.load()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other instance presented no certificate")
	}
	options := x509.VerifyOptions{Roots: pool, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return err
}
