// Package keys has the TLS settings for calls between instances: both ends show
// a certificate of the fleet's authority, TLS 1.3 only. The files are read again
// when they change, so certificates are replaced without a restart.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files name an instance's certificate, its key, and the fleet's authority, all
// in PEM. The zero value means no TLS.
type Files struct {
	Certificate string
	Key         string
	Authority   string

	mu     sync.Mutex
	newest time.Time
	pair   *tls.Certificate
	pool   *x509.CertPool
}

// Set tells whether TLS is wanted.
func (f *Files) Set() bool { return f.Certificate != "" }

// Check loads the files once, so that faults show at the start.
func (f *Files) Check() error {
	if !f.Set() {
		return nil
	}
	_, _, err := f.load()
	return err
}

// load returns the certificate and the authority, read anew if a file is newer.
// While the files are faulty, as in the middle of a replacement, the last good
// ones are used.
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
		return nil, nil, fmt.Errorf("load certificate: %w", err)
	}
	content, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, nil, fmt.Errorf("load authority: no certificate in %s", f.Authority)
	}
	return &pair, pool, nil
}

// Server returns the settings of a listener for other instances.
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

// Client returns the settings for calls to other instances.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _, err := f.load()
			return pair, err
		},
		// The standard check knows only an authority fixed at the start;
		// verify makes the same check against the present one.
		InsecureSkipVerify: true, //nolint:gosec // replaced by VerifyConnection
		VerifyConnection:   f.verify,
	}
}

func (f *Files) verify(s tls.ConnectionState) error {
	_, pool, err := f.load()
	if err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("the other instance shows no certificate")
	}
	options := x509.VerifyOptions{Roots: pool, DNSName: s.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(options)
	return err
}
