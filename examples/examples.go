// Package examples embeds the configuration files of the example deployments.
package examples

import "embed"

// Files holds one directory for each deployment, named after its fleet.
//
//go:embed clearplate tekstiili
var Files embed.FS

// CredentialOf returns the credential of a caller in the examples. The team files
// hold only its digest.
func CredentialOf(caller string) string {
	return "example-" + caller
}
