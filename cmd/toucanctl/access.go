package main

import (
	"crypto/tls"
	"fmt"
	"net/http"

	"github.com/jessevdk/go-flags"
)

// tlsOptions holds the certificates for operators' listeners that require mutual TLS.
type tlsOptions struct {
	Cert string `long:"operator-cert" env:"TOUCAN_OPERATOR_CERT" value-name:"FILE" description:"operator's certificate (PEM); instances are then queried over TLS"`
	Key  string `long:"operator-key" env:"TOUCAN_OPERATOR_KEY" value-name:"FILE" description:"private key of the operator's certificate (PEM)"`
	CA   string `long:"operator-ca" env:"TOUCAN_OPERATOR_CA" value-name:"FILE" description:"certificates of the authorities that sign the instances' certificates (PEM)"`
}

// errIncompleteTLSOptions reports that only some of the certificate options were given.
type errIncompleteTLSOptions struct{}

func (errIncompleteTLSOptions) Error() string {
	return "--operator-cert, --operator-key and --operator-ca are needed together"
}

// operatorAccess holds the URL scheme and the HTTP client with which fetch reaches operators' listeners. It is set
// before a command runs.
var operatorAccess = struct {
	scheme string
	client *http.Client
}{"http", http.DefaultClient}

// addTLSOptions adds the TLS options to all commands and applies them before a command runs.
func addTLSOptions(parser *flags.Parser) {
	opts := &tlsOptions{}
	_, err := parser.AddGroup("Instances over TLS", "How to reach operators' listeners that require mutual TLS.", opts)
	mustAdd(err)
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if err := opts.apply(); err != nil {
			return err
		}
		if command == nil {
			return nil
		}
		return command.Execute(args)
	}
}

// apply loads the certificates and sets operatorAccess. Without options it does nothing.
func (o tlsOptions) apply() error {
	if o == (tlsOptions{}) {
		return nil
	}
	if o.Cert == "" || o.Key == "" || o.CA == "" {
		return errExit{exitUsage, errIncompleteTLSOptions{}}
	}
	cert, err := tls.LoadX509KeyPair(o.Cert, o.Key)
	if err != nil {
		return fmt.Errorf("operator's certificate: %w", err)
	}
	pool, err := readCertPool(o.CA)
	if err != nil {
		return fmt.Errorf("certificates of the instances' authorities: %w", err)
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}, RootCAs: pool}
	operatorAccess.scheme = "https"
	operatorAccess.client = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
	return nil
}
