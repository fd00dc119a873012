// Package account selects the client account of a request by its key, and knows how long ago it was confirmed that the
// bundle in force is the latest.
package account

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"dandelionspoke/internal/bundle"
)

const (
	authorizationHeader = "Authorization"
	bearerScheme        = "Bearer"
	// shortKeyBytes is the length up to which a key is digested without an allocation.
	shortKeyBytes = 256
)

// Selected is the account of a request. The zero value is that of a request without an account.
type Selected struct {
	Name string // empty without an account
	// Account is part of the bundle and must not be modified; nil without an account.
	Account *bundle.Account
}

// Index finds accounts by key. It holds digests, never keys. It is immutable and safe for concurrent use; a nil Index is
// that of a bundle without accounts.
type Index struct {
	byDigest map[bundle.KeyDigest]Selected
	accounts int
}

// NewIndex returns the index of the accounts of a valid bundle, or nil if it has none.
func NewIndex(b *bundle.Bundle) *Index {
	if b == nil || len(b.Accounts) == 0 {
		return nil
	}
	x := &Index{byDigest: make(map[bundle.KeyDigest]Selected, len(b.Accounts)), accounts: len(b.Accounts)}
	for name, a := range b.Accounts {
		selected := Selected{Name: name, Account: &a}
		for _, text := range a.KeyDigests {
			// Validation has refused bundles with malformed digests. Such a digest would select no account.
			if d, err := bundle.ParseKeyDigest(text); err == nil {
				x.byDigest[d] = selected
			}
		}
	}
	return x
}

// Accounts returns the number of accounts.
func (x *Index) Accounts() int {
	if x == nil {
		return 0
	}
	return x.accounts
}

// Keys returns the number of keys of all accounts.
func (x *Index) Keys() int {
	if x == nil {
		return 0
	}
	return len(x.byDigest)
}

// Refusal says why a request may not be sent on behalf of any account, nor without one.
type Refusal uint8

const (
	// Accepted means that the request is not refused.
	Accepted Refusal = iota
	// MissingKey means that the request has no key and its route does not allow this.
	MissingKey
	// UnknownKey means that the key belongs to no account.
	UnknownKey
)

// Select returns the account of a request with the given key, which is empty if the request has none. allowAnonymous states
// whether its route allows requests without a key. Without accounts in the bundle, every request is accepted without an
// account.
func (x *Index) Select(key string, allowAnonymous bool) (Selected, Refusal) {
	switch {
	case x == nil, key == "" && allowAnonymous:
		return Selected{}, Accepted
	case key == "":
		return Selected{}, MissingKey
	}
	selected, known := x.byDigest[digest(key)]
	if !known {
		return Selected{}, UnknownKey
	}
	return selected, Accepted
}

// digest returns the digest of a key. It does not allocate for keys up to shortKeyBytes.
func digest(key string) bundle.KeyDigest {
	var short [shortKeyBytes]byte
	if len(key) > len(short) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(short[:copy(short[:], key)])
}

// Credential returns the key in the Authorization header of a request; empty if there is none. Another scheme than Bearer and
// several Authorization headers give a text that is no key, so that the request is not served as one without a key.
func Credential(h http.Header) string {
	values := h[authorizationHeader]
	switch {
	case len(values) == 0:
		return ""
	case len(values) > 1:
		return strings.Join(values, "\x00")
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return values[0]
	}
	return strings.TrimSpace(key)
}

// IsSecretHeader reports whether a header, by its canonical name, carries the key.
func IsSecretHeader(name string) bool { return name == authorizationHeader }
