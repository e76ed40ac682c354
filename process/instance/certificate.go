package instance

import (
	"crypto/x509"
	"os"

	"github.com/lesismal/llib/std/crypto/tls"

	"github.com/toucanroute/toucanroute/connection/mutualtls"
	"github.com/toucanroute/toucanroute/wire"
)

// operatorTLS returns the TLS configuration of the operator listener. It reads the certificate files at each handshake.
func operatorTLS(c *wire.SettingsMutualCertificate) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
			if err != nil {
				return nil, err
			}
			data, err := os.ReadFile(c.Ca)
			if err != nil {
				return nil, err
			}
			pool := x509.NewCertPool()
			if !pool.AppendCertsFromPEM(data) {
				return nil, mutualtls.ErrNoCACertificate{File: c.Ca}
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}
