// Package mutualtls provides TLS configurations for connections on which both ends authenticate themselves.
// Certificates are reloaded when their files change.
package mutualtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the shortest time between two checks whether the files have changed.
const checkInterval = time.Second

// CertificateFiles is a certificate, its key and the authority that signs the other end's certificate, each a PEM file.
// Set the fields before use.
type CertificateFiles struct {
	// Cert is the file with the certificate and its chain.
	Cert string
	// Key is the file with the private key.
	Key string
	// CA is the file with the certificates of the authorities that may sign the other end's certificate.
	CA string

	mu sync.Mutex
	// certificate and caPool hold what was read from the files last; both are nil before the first successful read.
	certificate *tls.Certificate
	caPool      *x509.CertPool
	checkedAt   time.Time
	modifiedAt  time.Time
}

// ErrNoCACertificate reports that a CA file contains no certificate.
type ErrNoCACertificate struct {
	// File is the file's path.
	File string
}

func (e ErrNoCACertificate) Error() string { return fmt.Sprintf("%s: no PEM certificate", e.File) }

// Load returns the certificate and the pool of CA certificates, reloaded if a file has changed. While the changed files
// can't be read, it returns the previous values.
func (f *CertificateFiles) Load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.certificate != nil && time.Since(f.checkedAt) < checkInterval {
		return f.certificate, f.caPool, nil
	}
	f.checkedAt = time.Now()
	modifiedAt := f.latestModTime()
	if f.certificate != nil && modifiedAt.Equal(f.modifiedAt) {
		return f.certificate, f.caPool, nil
	}
	certificate, caPool, err := f.readFiles()
	if err == nil {
		f.certificate, f.caPool, f.modifiedAt = certificate, caPool, modifiedAt
		return certificate, caPool, nil
	}
	if f.certificate != nil {
		return f.certificate, f.caPool, nil
	}
	return nil, nil, err
}

// latestModTime returns the latest modification time of the files.
func (f *CertificateFiles) latestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

func (f *CertificateFiles) readFiles() (*tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, err
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, nil, err
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(data) {
		return nil, nil, ErrNoCACertificate{File: f.CA}
	}
	return &certificate, caPool, nil
}

// Server returns the TLS configuration of the accepting end, which requires a client certificate.
func (f *CertificateFiles) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, caPool, err := f.Load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    caPool,
			}, nil
		},
	}
}

// Client returns the TLS configuration of the dialling end, which accepts only a server certificate for name.
func (f *CertificateFiles) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _, err := f.Load()
			return certificate, err
		},
		// The CA certificates may change while the configuration is in use, so verify loads them at each handshake. The
		// standard verification would use a fixed pool.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection does the whole check.
		VerifyConnection:   f.verify,
	}
}

// verify checks the other end's certificate against the CA certificates and the name.
func (f *CertificateFiles) verify(state tls.ConnectionState) error {
	_, caPool, err := f.Load()
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{Roots: caPool, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(opts)
	return err
}
