// Package keys generates, stores and loads the Ed25519 keys that sign releases, and
// verifies their signatures.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

const privateFileMode = 0o600

// Key is a signer's private key with its name.
type Key struct {
	name    string
	private ed25519.PrivateKey
}

// keyFile is the content of a key file; Private is the seed in base64.
type keyFile struct {
	Name    string `json:"name"`
	Private string `json:"private"`
}

// Generate returns a new key of the named signer. A nil random means crypto/rand.
func Generate(name string, random io.Reader) (*Key, error) {
	if name == "" {
		return nil, fault.New(fault.KindInvalid, "a key needs a name", "name the signer")
	}
	if random == nil {
		random = rand.Reader
	}
	_, private, err := ed25519.GenerateKey(random)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "cannot generate a key for "+name, "")
	}
	return &Key{name: name, private: private}, nil
}

// Name returns the signer's name.
func (k *Key) Name() string { return k.name }

// Public returns the public key in base64, as in the setting signers.
func (k *Key) Public() string {
	return base64.StdEncoding.EncodeToString(k.private.Public().(ed25519.PublicKey))
}

// Sign returns the signature of message.
func (k *Key) Sign(message []byte) []byte { return ed25519.Sign(k.private, message) }

// Save writes the key to a new file with mode 0600. It refuses an existing path.
func (k *Key) Save(path string) error {
	data, err := json.MarshalIndent(keyFile{Name: k.name, Private: base64.StdEncoding.EncodeToString(k.private.Seed())}, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.KindInternal, "cannot encode the key", "")
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, privateFileMode)
	if err != nil {
		return fault.Wrap(err, fault.KindInvalid, "cannot create the key file", "choose a path that does not exist yet")
	}
	if _, err := f.Write(append(data, '\n')); err != nil {
		_ = f.Close()
		return fault.Wrap(err, fault.KindUnavailable, "cannot write the key file", "check the free space")
	}
	return f.Close()
}

// Load reads a key file. It refuses a file that other users than its owner can
// access.
func Load(path string) (*Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindMissing, "cannot open the key file", "make one with 'hibiscusrock keys generate'")
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fault.New(fault.KindRefused, path+" can be read by others", "run 'chmod 600' on it")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindMissing, "cannot read the key file", "check its owner")
	}
	var doc keyFile
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, path+" is not a key file", "make one with 'hibiscusrock keys generate'")
	}
	seed, err := base64.StdEncoding.DecodeString(doc.Private)
	if err != nil || len(seed) != ed25519.SeedSize || doc.Name == "" {
		return nil, fault.New(fault.KindInvalid, path+" holds no valid key with a name", "make one with 'hibiscusrock keys generate'")
	}
	return &Key{name: doc.Name, private: ed25519.NewKeyFromSeed(seed)}, nil
}

// Ring holds the public keys that a node trusts.
type Ring struct {
	public   map[string]ed25519.PublicKey
	required int
}

// NewRing returns a ring of the public keys in base64 by signer. A release needs
// signatures of the required number of them.
func NewRing(public map[string]string, required int) (*Ring, error) {
	r := &Ring{public: make(map[string]ed25519.PublicKey, len(public)), required: required}
	for name, text := range public {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, fault.New(fault.KindInvalid, "the public key of "+name+" is not 32 bytes of base64", "copy it from 'hibiscusrock keys generate'")
		}
		r.public[name] = raw
	}
	if required < 1 || required > len(public) {
		return nil, fault.New(fault.KindInvalid, fmt.Sprintf("required_signatures is %d, but %d signers are given", required, len(public)), "set it between 1 and the number of signers")
	}
	return r, nil
}

// Required returns the number of signers that must sign a release.
func (r *Ring) Required() int { return r.required }

// Verify reports whether value is a signature of message by the signer, whose key
// must be in the ring.
func (r *Ring) Verify(signer string, message, value []byte) bool {
	public, ok := r.public[signer]
	return ok && ed25519.Verify(public, message, value)
}
