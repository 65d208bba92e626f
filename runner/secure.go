package runner

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"hemlocktally/loader"
	"hemlocktally/logger"
)

// certificateCheckInterval is how often the certificate's file is looked at, so
// that a renewed one is taken without a restart.
const certificateCheckInterval = 10 * time.Second

// serveSecure serves until the context ends, by TLS where a certificate is set.
func (d *Daemon) serveSecure(ctx context.Context, server *http.Server, listener net.Listener) error {
	if d.certificate.isSet() {
		server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: d.certificate.get, NextProtos: []string{"h2", "http/1.1"}}
		listener = tls.NewListener(listener, server.TLSConfig)
	}
	return serveUntil(ctx, server, listener, peerStopTimeout)
}

// certificate is the instance's TLS certificate, read anew when its file
// changes. Its zero value is no TLS.
type certificate struct {
	keys loader.KeySettings
	log  logger.Logger

	mu      sync.Mutex
	loaded  *tls.Certificate
	changed time.Time
	checked time.Time
}

func (c *certificate) isSet() bool { return c.keys.CertificateFile != "" }

// get returns the certificate for a handshake.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded != nil && time.Since(c.checked) < certificateCheckInterval {
		return c.loaded, nil
	}
	c.checked = time.Now()
	err := c.load()
	if err != nil && c.loaded == nil {
		return nil, err
	}
	return c.loaded, nil
}

func (c *certificate) load() error {
	info, err := os.Stat(c.keys.CertificateFile)
	if err == nil && c.loaded != nil && info.ModTime().Equal(c.changed) {
		return nil
	}
	var pair tls.Certificate
	if err == nil {
		pair, err = tls.LoadX509KeyPair(c.keys.CertificateFile, c.keys.PrivateKeyFile)
	}
	if err != nil {
		c.log.Log(logger.EventCertificateFailed, logger.Fields{"File": c.keys.CertificateFile, "Cause": err.Error()})
		return Error.Wrap(err)
	}
	c.loaded, c.changed = &pair, info.ModTime()
	c.log.Log(logger.EventCertificateLoaded, logger.Fields{"File": c.keys.CertificateFile, "NotAfter": pair.Leaf.NotAfter.UTC()})
	return nil
}

// clientConfig returns how peers are checked, or nil without TLS. The file of
// the authority may hold an old and a new certificate during a rotation.
func (c *certificate) clientConfig() *tls.Config {
	if !c.isSet() {
		return nil
	}
	pool := x509.NewCertPool()
	authority, err := os.ReadFile(c.keys.AuthorityFile)
	if err != nil || !pool.AppendCertsFromPEM(authority) {
		c.log.Log(logger.EventCertificateFailed, logger.Fields{"File": c.keys.AuthorityFile, "Cause": "no certificate in PEM"})
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
}
