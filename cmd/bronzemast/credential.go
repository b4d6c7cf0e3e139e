package main

import (
	"crypto/rand"
	"fmt"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/pkg/errors"
)

func init() {
	commands.Register(cli.Command{
		Name:  "credential",
		Short: "Generate a credential for a caller",
		Long:  "Generates a random credential and prints it, together with the caller's entry for the team file. The entry holds a digest; the credential itself is not stored.",
		Run:   &credentialCommand{},
	})
}

type credentialCommand struct {
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the caller"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *credentialCommand) Execute([]string) error {
	if !config.ValidName(c.Args.Name) {
		return errors.Errorf("%q is not a valid caller name", c.Args.Name)
	}
	credential := rand.Text()
	fmt.Printf("credential: %s\n", credential)
	fmt.Printf("team file:  {\"name\": %q, \"credentials\": [%q]}\n", c.Args.Name, config.CredentialDigest(credential))
	return nil
}
