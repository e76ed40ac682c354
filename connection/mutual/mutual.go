// Package mutual holds the certificates of links that authenticate both ends; they are read again when files change.
package mutual

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the shortest time between two looks at the files.
const checkInterval = time.Second

// Files is a certificate, its key and the authority that signs the other end's certificate, each a PEM file. Set the
// fields before use.
type Files struct {
	// Cert is the file with the certificate and its chain.
	Cert string
	// Key is the file with the private key.
	Key string
	// CA is the file with the certificates that may sign the other end's.
	CA string

	mu sync.Mutex
	// pair and pool are what was read last; both are nil or neither is.
	pair    *tls.Certificate
	pool    *x509.CertPool
	checked time.Time
	changed time.Time
}

// ErrAuthority tells that a file holds no certificate.
type ErrAuthority struct {
	// File is the file's path.
	File string
}

func (e ErrAuthority) Error() string { return fmt.Sprintf("%s: no certificate in PEM found", e.File) }

// Load returns the certificate and the authorities, read again where a file has changed. What was read last stays in
// force while a changed file can't be read.
func (f *Files) Load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pair != nil && time.Since(f.checked) < checkInterval {
		return f.pair, f.pool, nil
	}
	f.checked = time.Now()
	changed := f.modified()
	if f.pair != nil && changed.Equal(f.changed) {
		return f.pair, f.pool, nil
	}
	pair, pool, err := f.read()
	if err == nil {
		f.pair, f.pool, f.changed = pair, pool, changed
		return pair, pool, nil
	}
	if f.pair != nil {
		return f.pair, f.pool, nil
	}
	return nil, nil, err
}

// modified returns the newest time of change of the files.
func (f *Files) modified() time.Time {
	var newest time.Time
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (f *Files) read() (*tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, err
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, ErrAuthority{File: f.CA}
	}
	return &pair, pool, nil
}

// Server returns the configuration of the accepting end.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := f.Load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Client returns the configuration of the dialling end, which accepts only a certificate for name.
func (f *Files) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _, err := f.Load()
			return pair, err
		},
		// The authorities may change while the configuration is in use, so that they are looked up at each handshake.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection does the whole check.
		VerifyConnection:   f.verify,
	}
}

// verify checks the other end's certificate against the authorities and the name.
func (f *Files) verify(state tls.ConnectionState) error {
	_, pool, err := f.Load()
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{Roots: pool, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(opts)
	return err
}
