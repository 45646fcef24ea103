package messenger

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

// authority is a certificate authority for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := &authority{key: key, dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	require.NoError(t, err)
	writePEM(t, filepath.Join(a.dir, "ca.pem"), "CERTIFICATE", raw)
	return a
}

func writePEM(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}

// settings issues a certificate for a VM and returns fleet settings with its files.
func (a *authority) settings(t *testing.T) loader.FleetSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	rawKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	writePEM(t, filepath.Join(a.dir, "vm.pem"), "CERTIFICATE", raw)
	writePEM(t, filepath.Join(a.dir, "vm.key"), "EC PRIVATE KEY", rawKey)
	return loader.FleetSettings{
		CertificateFile: filepath.Join(a.dir, "vm.pem"), PrivateKeyFile: filepath.Join(a.dir, "vm.key"),
		AuthorityFile: filepath.Join(a.dir, "ca.pem"),
	}
}

// TestMutualTLS accepts a VM of the same authority, and refuses one of another authority and one without a certificate.
func TestMutualTLS(t *testing.T) {
	own := newAuthority(t).settings(t)
	foreign := newAuthority(t).settings(t)
	creds, err := Credentials(own)
	require.NoError(t, err)
	addr := netip.MustParseAddrPort("127.0.0.1:19873")
	auth := NewAuthenticator([]byte("key"))
	s, err := NewServer(addr, auth, creds, statusOnly{})
	require.NoError(t, err)
	s.Start()
	defer s.Stop()
	for name, c := range map[string]struct {
		fleet      loader.FleetSettings
		isAccepted bool
	}{"own": {own, true}, "foreign": {foreign, false}, "none": {loader.FleetSettings{}, false}} {
		creds, err := Credentials(c.fleet)
		require.NoError(t, err)
		caller := NewCaller(auth, creds)
		client, err := caller.VM(addr)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err = client.Status(ctx, &wire.StatusRequest{})
		cancel()
		assert.Equal(t, c.isAccepted, err == nil, "%s: %v", name, err)
		caller.Close()
	}
}
