// Package config turns templates and team parameters into releases, and
// releases into immutable snapshots.
package config
