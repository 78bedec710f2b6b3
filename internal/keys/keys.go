// Package keys loads and makes the certificates by which daemons know each
// other. Links are mutual TLS: a peer without a certificate of the fleet's
// authority gets nothing.
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
	// serverName is in every daemon's certificate. Daemons are reached by IP
	// numbers that change, so they are known by the authority's signature.
	serverName = "cyclamenward"
	// validity is how long made certificates hold.
	validity = 365 * 24 * time.Hour

	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
)

// Bundle is a daemon's certificate with the authority it trusts.
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
	text, err := os.ReadFile(authorityPath)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("authority file holds no certificate")
	}
	return &Bundle{certificate: certificate, authority: pool}, nil
}

// ServerConfig returns the configuration for accepting links.
func (b *Bundle) ServerConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{b.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    b.authority,
		MinVersion:   tls.VersionTLS13,
	}
}

// ClientConfig returns the configuration for opening links.
func (b *Bundle) ClientConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{b.certificate},
		RootCAs:      b.authority,
		ServerName:   serverName,
		MinVersion:   tls.VersionTLS13,
	}
}

// MakeAuthority writes a new authority into the directory.
func MakeAuthority(directory string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	template, err := newTemplate("cyclamenward authority")
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
	return writePair(filepath.Join(directory, authorityFile), filepath.Join(directory, authorityKeyFile), certificate, key)
}

// MakeDaemonCertificate writes NAME.pem and NAME-key.pem, signed by the authority in the
// directory.
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
	template, err := newTemplate(name)
	if err != nil {
		return err
	}
	template.DNSNames = []string{serverName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, authority.PrivateKey)
	if err != nil {
		return fmt.Errorf("sign certificate: %w", err)
	}
	return writePair(filepath.Join(directory, name+".pem"), filepath.Join(directory, name+"-key.pem"), certificate, key)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("make serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}, nil
}

func writePair(certificatePath, keyPath string, certificate []byte, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(certificatePath, "CERTIFICATE", certificate, 0o644); err != nil {
		return err
	}
	return writePEM(keyPath, "PRIVATE KEY", raw, 0o600)
}

func writePEM(path, kind string, raw []byte, mode os.FileMode) error {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), mode); err != nil {
		return fmt.Errorf("write %s: %w", kind, err)
	}
	return nil
}
