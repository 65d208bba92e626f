package runner

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/imitator"
	"hemlocktally/loader"
	"hemlocktally/logger"
)

const testKey = "a-key-for-tests-only"

// writeCertificate writes a certificate for loopback that is its own authority.
func writeCertificate(c *qt.C, dir string, serial int64) loader.KeySettings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	settings := loader.KeySettings{
		Peer: testKey, Operator: testKey,
		CertificateFile: filepath.Join(dir, "crt.pem"), PrivateKeyFile: filepath.Join(dir, "key.pem"), AuthorityFile: filepath.Join(dir, "crt.pem"),
	}
	c.Assert(os.WriteFile(settings.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(settings.PrivateKeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600), qt.IsNil)
	return settings
}

func TestCertificateIsReadAnewAndABadOneIsNotTaken(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	var log bytes.Buffer
	out, err := logger.New(&log, "JSON", "info")
	c.Assert(err, qt.IsNil)
	pair := &certificate{keys: writeCertificate(c, dir, 1), log: out}
	serial := func() int64 {
		pair.checked = time.Time{} // The interval between looks has passed.
		got, err := pair.get(nil)
		c.Assert(err, qt.IsNil)
		return got.Leaf.SerialNumber.Int64()
	}
	c.Check(serial(), qt.Equals, int64(1))
	writeCertificate(c, dir, 2)
	c.Assert(os.Chtimes(pair.keys.CertificateFile, time.Time{}, time.Now().Add(time.Minute)), qt.IsNil)
	c.Check(serial(), qt.Equals, int64(2))
	c.Assert(os.WriteFile(pair.keys.CertificateFile, []byte("torn"), 0o600), qt.IsNil)
	c.Check(serial(), qt.Equals, int64(2))
	c.Check(log.String(), qt.Contains, logger.EventCertificateFailed.Name)
}

// startSecure runs an instance with TLS on its peers' and operators' ports.
func startSecure(c *qt.C, id, store string, keys loader.KeySettings) *Daemon {
	const free = "127.0.0.1:0"
	listeners, err := Listen(loader.ListenSettings{Callers: free, Peers: free, Operators: free})
	c.Assert(err, qt.IsNil)
	daemon := New(loader.Settings{
		Instance: loader.InstanceSettings{ID: id, Zone: "zone"}, Platform: loader.PlatformSettings{Store: store}, Keys: keys,
		Limits: loader.LimitSettings{SettleTime: time.Millisecond},
	}, logger.Logger{}, listeners)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	c.Cleanup(func() {
		stop()
		c.Check(<-ended, qt.IsNil)
	})
	return daemon
}

func TestPeersAndOperatorsSpeakTLS(t *testing.T) {
	c := qt.New(t)
	keys := writeCertificate(c, t.TempDir(), 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	platform, stop := context.WithCancel(context.Background())
	c.Cleanup(stop)
	go func() { _ = (&imitator.Platform{}).Serve(platform, listener) }()
	first := startSecure(c, "entry-1", "http://"+listener.Addr().String(), keys)
	startSecure(c, "entry-2", "http://"+listener.Addr().String(), keys)

	plain, err := http.Post("http://"+first.Self().OperatorAddress+"/ask", "text/plain", strings.NewReader("show Store"))
	if err == nil {
		c.Check(plain.StatusCode, qt.Equals, http.StatusBadRequest)
		c.Check(plain.Body.Close(), qt.IsNil)
	}
	pool := x509.NewCertPool()
	authority, err := os.ReadFile(keys.AuthorityFile)
	c.Assert(err, qt.IsNil)
	c.Assert(pool.AppendCertsFromPEM(authority), qt.IsTrue)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	c.Cleanup(client.CloseIdleConnections)
	ask := func() string {
		request, err := http.NewRequest(http.MethodPost, "https://"+first.Self().OperatorAddress+"/ask", strings.NewReader("show Store"))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+testKey)
		response, err := client.Do(request)
		c.Assert(err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		var body bytes.Buffer
		_, err = body.ReadFrom(response.Body)
		c.Assert(err, qt.IsNil)
		return body.String()
	}
	for range 500 {
		if strings.Contains(ask(), `"Instance":"entry-2","Reached":true`) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the peer was not reached by TLS: %s", ask())
}

func TestBothPeerKeysAreLetInDuringARotation(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		keys  []string
		shown string
		want  int
	}{
		{[]string{"new-key", "old-key"}, "new-key", http.StatusOK},
		{[]string{"new-key", "old-key"}, "old-key", http.StatusOK},
		{[]string{"new-key", ""}, "old-key", http.StatusUnauthorized},
		{[]string{"new-key", ""}, "", http.StatusUnauthorized},
	} {
		answer := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
		request.Header.Set("Authorization", "Bearer "+test.shown)
		requireKey(test.keys, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).ServeHTTP(answer, request)
		c.Check(answer.Code, qt.Equals, test.want, qt.Commentf("%v, shown %q", test.keys, test.shown))
	}
}
