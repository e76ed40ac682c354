package main

import (
	"crypto/tls"
	"fmt"
	"net/http"

	"github.com/jessevdk/go-flags"
)

// accessOptions lead to operators' listeners that authenticate both ends.
type accessOptions struct {
	Cert string `long:"operator-cert" env:"TOUCAN_OPERATOR_CERT" value-name:"FILE" description:"operator's certificate (PEM); instances are then asked over TLS"`
	Key  string `long:"operator-key" env:"TOUCAN_OPERATOR_KEY" value-name:"FILE" description:"private key of the operator's certificate (PEM)"`
	CA   string `long:"operator-ca" env:"TOUCAN_OPERATOR_CA" value-name:"FILE" description:"certificates that sign the instances' (PEM)"`
}

// errAccess is the error of certificates that are given in part.
type errAccess struct{}

func (errAccess) Error() string {
	return "--operator-cert, --operator-key and --operator-ca are needed together"
}

// access is how fetch reaches operators' listeners; it is set before a command runs.
var access = struct {
	scheme string
	client *http.Client
}{"http", http.DefaultClient}

// addAccess adds the options to all commands and applies them before a command runs.
func addAccess(parser *flags.Parser) {
	opts := &accessOptions{}
	_, err := parser.AddGroup("Instances over TLS", "How to reach operators' listeners that authenticate both ends.", opts)
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

// apply sets access.
func (o accessOptions) apply() error {
	if o == (accessOptions{}) {
		return nil
	}
	if o.Cert == "" || o.Key == "" || o.CA == "" {
		return errExit{exitUsage, errAccess{}}
	}
	pair, err := tls.LoadX509KeyPair(o.Cert, o.Key)
	if err != nil {
		return fmt.Errorf("operator's certificate: %w", err)
	}
	pool, err := readCertPool(o.CA)
	if err != nil {
		return fmt.Errorf("instances' authorities: %w", err)
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, RootCAs: pool}
	access.scheme = "https"
	access.client = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
	return nil
}
