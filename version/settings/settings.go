// Package settings loads and validates the settings file of an instance.
package settings

import (
	"net/netip"
	"strconv"
	"sync"

	"github.com/toucanroute/toucanroute/version/document"
	"github.com/toucanroute/toucanroute/wire"
)

// Settings holds the content of an instance's settings file.
type Settings = wire.Settings

// ErrSettings describes an invalid field. All faults of a file are returned together as a document.ErrFields.
type ErrSettings = document.ErrField

// IsErrSettings reports whether err is or wraps an ErrSettings, which describes an invalid field.
func IsErrSettings(err error) bool { return document.IsErrField(err) }

var loadSchema = sync.OnceValues(func() (*document.Schema, error) {
	return document.NewSchema("settings")
})

// Load reads the settings file at path. All faults are returned in one error. In the result, Log and Tls are never nil,
// and the log level is set.
func Load(path string) (*Settings, error) {
	d, err := document.Read(path)
	if err != nil {
		return nil, err
	}
	return load(d)
}

// Parse reads settings from data; file is the name of the document in errors.
func Parse(file string, data []byte) (*Settings, error) {
	d, err := document.Parse(file, data)
	if err != nil {
		return nil, err
	}
	return load(d)
}

func load(d *document.Document) (*Settings, error) {
	schema, err := loadSchema()
	if err != nil {
		return nil, err
	}
	if err := schema.Check(d); err != nil {
		return nil, err
	}
	s := &Settings{}
	if err := d.Decode(s); err != nil {
		return nil, err
	}
	fillDefaults(s)
	return s, check(d, s)
}

func fillDefaults(s *Settings) {
	if s.Log == nil {
		s.Log = &wire.SettingsLog{}
	}
	if s.Log.Level == "" {
		s.Log.Level = wire.SettingsLogLevelInfo
	}
	if s.Tls == nil {
		s.Tls = &wire.SettingsTLS{}
	}
}

// check returns the faults of valid JSON that the schema can't express: listeners that are neither protected by TLS nor
// restricted to loopback or a private network, and duplicate addresses and peers.
func check(d *document.Document, s *Settings) error {
	var faults []ErrSettings
	if !s.Listen.PrivateNetwork && s.Tls.Peers == nil && !isLoopback(s.Listen.Peers) {
		faults = append(faults, loopbackFault(d, "peers"))
	}
	if !s.Listen.PrivateNetwork && s.Tls.Operators == nil && !isLoopback(s.Listen.Operators) {
		faults = append(faults, loopbackFault(d, "operators"))
	}
	faults = append(faults, checkListenAddresses(d, s)...)
	faults = append(faults, checkPeers(d, s)...)
	return d.JoinFaults(faults...)
}

func loopbackFault(d *document.Document, listener string) ErrSettings {
	return d.Fault([]string{"listen", listener}, "", "a loopback address, or certificates in tls."+listener)
}

func isLoopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().Unmap().IsLoopback()
}

// checkListenAddresses checks that no two listeners have the same address. Port 0 may be given more than once, since it
// stands for any free port.
func checkListenAddresses(d *document.Document, s *Settings) []ErrSettings {
	var faults []ErrSettings
	listenerByAddress := map[string]string{}
	for _, l := range []struct{ name, address string }{
		{"callers", s.Listen.Callers},
		{"peers", s.Listen.Peers},
		{"operators", s.Listen.Operators},
		{"readiness", s.Listen.Readiness},
	} {
		ap, err := netip.ParseAddrPort(l.address)
		if err != nil || ap.Port() == 0 {
			continue
		}
		other, duplicate := listenerByAddress[l.address]
		if duplicate {
			faults = append(faults, d.Fault([]string{"listen", l.name}, "", "an address other than that of listen."+other))
		}
		listenerByAddress[l.address] = l.name
	}
	return faults
}

// checkPeers checks that the instance isn't its own peer and that no peer is listed twice.
func checkPeers(d *document.Document, s *Settings) []ErrSettings {
	var faults []ErrSettings
	seen := map[string]bool{s.Instance: true}
	for i, p := range s.Peers {
		if seen[p.Instance] {
			path := []string{"peers", strconv.Itoa(i), "instance"}
			faults = append(faults, d.Fault(path, "", "each instance once, and not this one"))
		}
		seen[p.Instance] = true
	}
	return faults
}
