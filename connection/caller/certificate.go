package caller

import (
	"os"
	"sync"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/samber/oops"
)

// certificateCheckInterval is the shortest time between two checks whether the files have changed.
const certificateCheckInterval = time.Second

// Certificate is a TLS certificate that is reloaded when its files change. Set its fields before first use.
type Certificate struct {
	// CertFile is a PEM file with the certificate and its chain.
	CertFile string
	// KeyFile is a PEM file with the private key.
	KeyFile string
	// OnReload, if not nil, is called after each reload. If err is not nil, the previous certificate stays in use.
	OnReload func(err error)

	mu sync.Mutex
	// checkedAt is the time of the last check whether the files have changed.
	checkedAt time.Time
	// modifiedAt is the later modification time of the two files when currentPair was read.
	modifiedAt  time.Time
	currentPair *tls.Certificate
}

// Load reads the files. It returns an error if they can't be read or hold no valid key pair.
func (c *Certificate) Load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load()
}

func (c *Certificate) load() error {
	modifiedAt, err := c.latestModTime()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return oops.In("caller").With("cert", c.CertFile, "key", c.KeyFile).Wrap(err)
	}
	c.currentPair, c.modifiedAt, c.checkedAt = &pair, modifiedAt, time.Now()
	return nil
}

// latestModTime returns the later modification time of the two files.
func (c *Certificate) latestModTime() (time.Time, error) {
	var latest time.Time
	for _, name := range []string{c.CertFile, c.KeyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return latest, oops.In("caller").Wrap(err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// getCertificate returns the current certificate, after a reload if the files have changed.
func (c *Certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentPair == nil {
		err := c.load()
		return c.currentPair, err
	}
	if time.Since(c.checkedAt) >= certificateCheckInterval {
		c.reloadIfChanged()
	}
	return c.currentPair, nil
}

func (c *Certificate) reloadIfChanged() {
	c.checkedAt = time.Now()
	modifiedAt, err := c.latestModTime()
	if err == nil && modifiedAt.Equal(c.modifiedAt) {
		return
	}
	if err == nil {
		err = c.load()
	}
	if c.OnReload != nil {
		c.OnReload(err)
	}
}

func (c *Certificate) config() *tls.Config {
	return &tls.Config{GetCertificate: c.getCertificate, MinVersion: tls.VersionTLS12}
}
