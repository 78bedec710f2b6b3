// Package keys loads and creates the certificates by which daemons authenticate each
// other. Links use mutual TLS: a peer without a certificate signed by the fleet's
// authority is refused.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	// sharedServerName is the DNS name in every daemon's certificate. Daemons are reached
	// at IP addresses that change, so a certificate is checked by the authority's signature
	// and this shared name.
	sharedServerName = "cyclamenward"
	// certificateValidity is how long created certificates are valid.
	certificateValidity = 365 * 24 * time.Hour

	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
)

// Bundle holds a daemon's certificate and private key, and the authority it trusts.
type Bundle struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads a bundle from PEM files.
func Load(authorityPath, certificatePath, keyPath string) (*Bundle, error) {
	certificate, err := tls.LoadX509KeyPair(certificatePath, keyPath)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	authorityPEM, err := os.ReadFile(authorityPath)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.New("authority file holds no certificate")
	}
	return &Bundle{certificate: certificate, authority: pool}, nil
}

// ServerConfig returns the TLS configuration for accepting links.
func (b *Bundle) ServerConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{b.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    b.authority,
		MinVersion:   tls.VersionTLS13,
	}
}

// ClientConfig returns the TLS configuration for opening links.
func (b *Bundle) ClientConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{b.certificate},
		RootCAs:      b.authority,
		ServerName:   sharedServerName,
		MinVersion:   tls.VersionTLS13,
	}
}

// MakeAuthority writes the certificate and key of a new authority into the directory.
func MakeAuthority(directory string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	template, err := newCertificateTemplate("cyclamenward authority")
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("sign authority: %w", err)
	}
	return writeKeyPair(filepath.Join(directory, authorityFile), filepath.Join(directory, authorityKeyFile), certificate, key)
}

// MakeDaemonCertificate writes NAME.pem, signed by the authority in the directory, and its
// key NAME-key.pem.
func MakeDaemonCertificate(directory, name string) error {
	authority, err := tls.LoadX509KeyPair(filepath.Join(directory, authorityFile), filepath.Join(directory, authorityKeyFile))
	if err != nil {
		return fmt.Errorf("load authority: %w", err)
	}
	parent, err := x509.ParseCertificate(authority.Certificate[0])
	if err != nil {
		return fmt.Errorf("parse authority: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	template, err := newCertificateTemplate(name)
	if err != nil {
		return err
	}
	template.DNSNames = []string{sharedServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, authority.PrivateKey)
	if err != nil {
		return fmt.Errorf("sign certificate: %w", err)
	}
	return writeKeyPair(filepath.Join(directory, name+".pem"), filepath.Join(directory, name+"-key.pem"), certificate, key)
}

// newCertificateTemplate returns an unsigned certificate with a random serial number that
// is valid from one hour ago for certificateValidity.
func newCertificateTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("make serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateValidity),
	}, nil
}

// writeKeyPair writes a certificate and its key, which only the owner can read.
func writeKeyPair(certificatePath, keyPath string, certificateDER []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(certificatePath, "CERTIFICATE", certificateDER, 0o644); err != nil {
		return err
	}
	return writePEM(keyPath, "PRIVATE KEY", keyDER, 0o600)
}

func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), mode); err != nil {
		return fmt.Errorf("write %s: %w", blockType, err)
	}
	return nil
}
