package certificatetest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"poplarpin.dev/poplarpind/settings"
)

const lifetime = time.Hour // validity period of an authority; issued certificates are valid from that long before now

// Authority is a certificate authority for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns a new self-signed authority.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(lifetime)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate, key}, err
}

// Issue writes a key, a certificate for a name and 127.0.0.1, and the authority's certificate to a directory, with the given expiry
// and file modification time.
func (authority *Authority) Issue(dir, name string, notAfter, modified time.Time) (*settings.TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotBefore: time.Now().Add(-lifetime), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	files := &settings.TLS{Certificate: filepath.Join(dir, name+"-cert.pem"), Key: filepath.Join(dir, name+"-key.pem"),
		Authority: filepath.Join(dir, name+"-ca.pem")}
	blocks := map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.Authority:   {Type: "CERTIFICATE", Bytes: authority.certificate.Raw},
	}
	for path, block := range blocks {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return nil, err
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			return nil, err
		}
	}
	return files, nil
}
