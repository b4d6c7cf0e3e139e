package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/keys"
	"github.com/pkg/errors"
)

const (
	authorityName  = "authority"
	certificateExt = ".crt"
	keyExt         = ".key"
	publicMode     = 0o644
	privateMode    = 0o600
)

func init() {
	commands.Register(cli.Command{
		Name:  "keys",
		Short: "Issue the certificates of nodes",
		Long: "Issues a certificate and key for each named host, signed by the authority in the directory. " +
			"Creates the authority first if there is none. Do not copy the authority's key to the hosts.",
		Run: &keysCommand{},
	})
}

type keysCommand struct {
	Dir      string        `long:"dir" required:"true" description:"directory of the authority and the nodes' files"`
	Fleet    string        `long:"fleet" default:"fleet" description:"name of the fleet, for a new authority"`
	Lifetime time.Duration `long:"lifetime" default:"720h" description:"validity period of the nodes' certificates"`
	Args     struct {
		Hosts []string `positional-arg-name:"HOST" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *keysCommand) Execute([]string) error {
	now := time.Now()
	authority, err := c.authority(now)
	if err != nil {
		return err
	}
	for _, host := range c.Args.Hosts {
		pair, err := keys.IssueNode(authority, host, c.Lifetime, now)
		if err != nil {
			return errors.Wrapf(err, "host %s", host)
		}
		if err := c.write(host, pair); err != nil {
			return err
		}
		fmt.Printf("%s: valid until %s\n", filepath.Join(c.Dir, host+certificateExt), now.Add(c.Lifetime).UTC().Format(time.RFC3339))
	}
	return nil
}

// authority reads the authority from the directory, or creates it if neither of
// its files exists.
func (c *keysCommand) authority(now time.Time) (*keys.Pair, error) {
	certificate, certErr := os.ReadFile(c.path(authorityName, certificateExt))
	key, keyErr := os.ReadFile(c.path(authorityName, keyExt))
	if certErr == nil && keyErr == nil {
		return &keys.Pair{Certificate: certificate, Key: key}, nil
	}
	if !os.IsNotExist(certErr) || !os.IsNotExist(keyErr) {
		return nil, errors.Errorf("incomplete authority in %s: certificate or key is missing or unreadable", c.Dir)
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create directory of keys")
	}
	authority, err := keys.NewAuthority(c.Fleet, now)
	if err != nil {
		return nil, err
	}
	return authority, c.write(authorityName, authority)
}

func (c *keysCommand) write(name string, pair *keys.Pair) error {
	if err := os.WriteFile(c.path(name, keyExt), pair.Key, privateMode); err != nil {
		return errors.Wrap(err, "write key")
	}
	return errors.Wrap(os.WriteFile(c.path(name, certificateExt), pair.Certificate, publicMode), "write certificate")
}

func (c *keysCommand) path(name, extension string) string {
	return filepath.Join(c.Dir, name+extension)
}
