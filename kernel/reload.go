package kernel

import (
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/pkg/errors"
)

// Reloader is implemented by plug-ins whose settings may change while the node
// runs.
type Reloader interface {
	// Reload decodes and checks new settings. What it returns puts them in force
	// once the settings of all plug-ins are found right.
	Reload(decode func(dst any) *jsonc.Document, findings *finding.List) (apply func())
}

// Reload puts new settings in force, those of all plug-ins or of none. Mistakes
// are returned together as a *finding.Errors. Settings of plug-ins that are no
// Reloader stay as they were.
func (k *Kernel) Reload(settings *Settings) error {
	if settings.Host != k.settings.Host || settings.profile() != k.settings.profile() {
		return errors.New("the host or the profile has changed, which needs a restart")
	}
	var findings finding.List
	settings.refuseUnknownPlugins(RegisteredFor(settings.profile()), &findings)
	var changes []func()
	for _, l := range k.plugins {
		r, ok := l.plugin.(Reloader)
		if !ok {
			continue
		}
		decode := func(dst any) *jsonc.Document {
			return settings.decodePlugin(l.name, dst, &findings)
		}
		changes = append(changes, r.Reload(decode, &findings))
	}
	if err := findings.Err(); err != nil {
		return err
	}
	for _, change := range changes {
		change()
	}
	return nil
}

// decodePlugin decodes the section of a plug-in over the defaults in dst.
func (s *Settings) decodePlugin(name string, dst any, findings *finding.List) *jsonc.Document {
	section := s.Plugins[name]
	if section == nil {
		return jsonc.Absent(s.File, "plugins."+name)
	}
	return section.decode(dst, findings)
}
