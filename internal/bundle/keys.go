package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	privateKeyBlock = "PRIVATE KEY"
	nameHeader      = "Name"
	publicKeyScheme = "ed25519"
)

// SigningKey is the private key of an operator.
type SigningKey struct {
	Name string
	key  ed25519.PrivateKey
}

// GenerateKey returns a new signing key for the named operator.
func GenerateKey(name string) (SigningKey, error) {
	if !namePattern.MatchString(name) {
		return SigningKey{}, errors.Newf("bundle: key name %q; allowed: %s", name, nameAllowed)
	}
	_, private, err := ed25519.GenerateKey(rand.Reader)
	return SigningKey{Name: name, key: private}, errors.Wrap(err, "bundle: generate key")
}

// Public returns the public key in the form NAME ed25519 BASE64, which ParseTrustedKeys reads.
func (k SigningKey) Public() string {
	public := k.key.Public().(ed25519.PublicKey)
	return strings.Join([]string{k.Name, publicKeyScheme, base64.StdEncoding.EncodeToString(public)}, " ")
}

// MarshalPEM returns the private key as a PEM block in PKCS #8 form, with the operator's name in a PEM header.
func (k SigningKey) MarshalPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k.key)
	if err != nil {
		return nil, errors.Wrap(err, "bundle: encode private key")
	}
	block := &pem.Block{Type: privateKeyBlock, Headers: map[string]string{nameHeader: k.Name}, Bytes: der}
	return pem.EncodeToMemory(block), nil
}

// ParseSigningKey decodes what MarshalPEM returns.
func ParseSigningKey(data []byte) (SigningKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != privateKeyBlock {
		return SigningKey{}, errors.Newf("bundle: no PEM block %q", privateKeyBlock)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return SigningKey{}, errors.Wrap(err, "bundle: decode private key")
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return SigningKey{}, errors.Newf("bundle: private key is a %T; allowed: ed25519", parsed)
	}
	name := block.Headers[nameHeader]
	if !namePattern.MatchString(name) {
		return SigningKey{}, errors.Newf("bundle: key name %q; allowed: %s", name, nameAllowed)
	}
	return SigningKey{Name: name, key: private}, nil
}

// TrustedKeys holds the public keys of trusted operators by the operator's name.
type TrustedKeys map[string]ed25519.PublicKey

// ParseTrustedKeys decodes public keys, one per line, in the form that SigningKey.Public returns.
func ParseTrustedKeys(lines []string) (TrustedKeys, error) {
	trusted := TrustedKeys{}
	for _, line := range lines {
		fields := strings.Fields(line)
		if len(fields) != 3 || fields[1] != publicKeyScheme {
			return nil, errors.Newf("bundle: public key %q; allowed: NAME ed25519 BASE64", line)
		}
		key, err := base64.StdEncoding.DecodeString(fields[2])
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, errors.Newf("bundle: public key of %q; allowed: %d bytes in base64", fields[0], ed25519.PublicKeySize)
		}
		if _, taken := trusted[fields[0]]; taken {
			return nil, errors.Newf("bundle: two public keys have the name %q", fields[0])
		}
		trusted[fields[0]] = key
	}
	return trusted, nil
}
