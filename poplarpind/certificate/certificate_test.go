package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpind/certificate"
	"poplarpin.dev/poplarpind/settings"
)

// authority signs certificates for one test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func sign(t *testing.T, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	assert.NilError(t, err)
	return der
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour)}
	parsed, err := x509.ParseCertificate(sign(t, template, template, key, key))
	assert.NilError(t, err)
	return authority{parsed, key}
}

// issue writes a key, a certificate and the authority to a folder; files written later are newer.
func (authority authority) issue(t *testing.T, folder, name string, until time.Time, written time.Time) *settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der := sign(t, template, authority.certificate, key, authority.key)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := &settings.TLS{Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "ca.pem")}
	for path, block := range map[string]*pem.Block{files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER}, files.Authority: {Type: "CERTIFICATE", Bytes: authority.certificate.Raw}} {
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
		assert.NilError(t, os.Chtimes(path, written, written))
	}
	return files
}

// handshake connects two stores and returns what either end objected to, and the name that the client saw.
func handshake(t *testing.T, server, client *certificate.Store) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		serverSide, err := listener.Accept()
		if err == nil {
			defer serverSide.Close()
			err = tls.Server(serverSide, server.Mutual()).Handshake()
		}
		served <- err
	}()
	clientSide, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer clientSide.Close()
	secured := tls.Client(clientSide, client.Client())
	if err := secured.Handshake(); err != nil {
		return "", err
	}
	_, _ = secured.Read(make([]byte, 1)) // takes the server's verdict on the client's certificate
	assert.Equal(t, secured.ConnectionState().Version, uint16(tls.VersionTLS13))
	return secured.ConnectionState().PeerCertificates[0].DNSNames[0], <-served
}

func open(t *testing.T, files *settings.TLS) *certificate.Store {
	t.Helper()
	store, err := certificate.New(files)
	assert.NilError(t, err)
	return store
}

func TestHandshake(t *testing.T) {
	members, strangers := newAuthority(t), newAuthority(t)
	hour, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	good := func(name string) *certificate.Store {
		return open(t, members.issue(t, t.TempDir(), name, hour, time.Now()))
	}
	t.Run("members accept each other", func(t *testing.T) {
		name, err := handshake(t, good("vm1"), good("vm2"))
		assert.NilError(t, err)
		assert.Equal(t, name, "vm1")
	})
	t.Run("a stranger is refused as client", func(t *testing.T) {
		_, err := handshake(t, good("vm1"), open(t, strangers.issue(t, t.TempDir(), "vm2", hour, time.Now())))
		assert.Assert(t, err != nil)
	})
	t.Run("a stranger is refused as server", func(t *testing.T) {
		_, err := handshake(t, open(t, strangers.issue(t, t.TempDir(), "vm1", hour, time.Now())), good("vm2"))
		assert.Assert(t, err != nil)
	})
	t.Run("an expired certificate is refused", func(t *testing.T) {
		_, err := handshake(t, good("vm1"), open(t, members.issue(t, t.TempDir(), "vm2", past, time.Now())))
		assert.Assert(t, err != nil)
	})
}

func TestReplacement(t *testing.T) {
	members, hour := newAuthority(t), time.Now().Add(time.Hour)
	folder := t.TempDir()
	server := open(t, members.issue(t, folder, "old", hour, time.Now().Add(-time.Minute)))
	client := open(t, members.issue(t, t.TempDir(), "vm2", hour, time.Now()))
	members.issue(t, folder, "new", hour, time.Now())
	for {
		name, err := handshake(t, server, client)
		assert.NilError(t, err)
		if name == "new" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestFiles(t *testing.T) {
	t.Run("absent settings mean no TLS", func(t *testing.T) {
		store, err := certificate.New(nil)
		assert.NilError(t, err)
		assert.Assert(t, store.Mutual() == nil && store.Client() == nil && store.Callers() == nil)
	})
	t.Run("absent files are refused", func(t *testing.T) {
		_, err := certificate.New(&settings.TLS{Certificate: "none", Key: "none", Authority: "none"})
		assert.ErrorContains(t, err, "unreadable")
	})
}
