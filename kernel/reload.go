package kernel

import (
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/pkg/errors"
)

// Reloader is implemented by plug-ins whose settings can change without a restart.
type Reloader interface {
	// Reload decodes and validates new settings without applying them. The kernel
	// calls apply once the settings of all plug-ins are valid.
	Reload(decode func(dst any) *jsonc.Document, findings *finding.List) (apply func())
}

// Reload applies new settings to all plug-ins that implement Reloader, or to none
// if there are errors, which are returned together as a *finding.Errors. All other
// plug-ins keep their settings. A change of the host or the profile is an error.
func (k *Kernel) Reload(settings *Settings) error {
	if settings.Host != k.settings.Host || settings.profile() != k.settings.profile() {
		return errors.New("a change of the host or the profile requires a restart")
	}
	var findings finding.List
	settings.checkPluginNames(RegisteredFor(settings.profile()), &findings)
	var applies []func()
	for _, l := range k.plugins {
		r, ok := l.plugin.(Reloader)
		if !ok {
			continue
		}
		decode := func(dst any) *jsonc.Document {
			return settings.decodePlugin(l.name, dst, &findings)
		}
		applies = append(applies, r.Reload(decode, &findings))
	}
	if err := findings.Err(); err != nil {
		return err
	}
	for _, apply := range applies {
		apply()
	}
	return nil
}

// decodePlugin decodes the section of a plug-in into dst, which contains the
// defaults. A missing section leaves dst unchanged.
func (s *Settings) decodePlugin(name string, dst any, findings *finding.List) *jsonc.Document {
	section := s.Plugins[name]
	if section == nil {
		return jsonc.Absent(s.File, "plugins."+name)
	}
	return section.decode(dst, findings)
}
