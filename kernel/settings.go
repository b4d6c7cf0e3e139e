package kernel

import (
	"net/netip"
	"os"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// MaxSettingsBytes is the maximum size of a settings file.
const MaxSettingsBytes = 1 << 20

// Settings are the settings of one node.
type Settings struct {
	// File is the path of the settings file, for findings.
	File string
	// Profile is the kind of node; ProfileFleet when empty.
	Profile Profile
	// Fleet names the deployment. Nodes of other fleets are rejected as peers.
	Fleet string
	// Host describes the host that the node runs on.
	Host model.Host
	// TargetAddress is the loopback address of the target, IP:port. It is empty on
	// a host without a target, which only accepts callers.
	TargetAddress string
	// Log holds the settings of the event log.
	Log LogSettings
	// Plugins contains the section of each plug-in by its name.
	Plugins map[string]*Section
}

// LogSettings select the log level and format.
type LogSettings struct {
	// Level is a logrus level name; "info" when empty.
	Level string `json:"level"`
	// Format is "json" or "text"; "json" when empty.
	Format string `json:"format"`
}

// Section is the raw text of a plug-in's settings.
type Section struct {
	file string
	line int
	path string
	text []byte
}

// NewSection returns a section from text, for a node that is configured by a
// program and not by a file.
func NewSection(text string) *Section {
	return &Section{file: "settings", line: 1, text: []byte(text)}
}

func (s *Section) decode(dst any, findings *finding.List) *jsonc.Document {
	return jsonc.DecodeAt(s.file, s.line, s.path, s.text, dst, findings)
}

// UnmarshalJSON stores the raw text, which is decoded when the plug-in requests
// it.
func (s *Section) UnmarshalJSON(data []byte) error {
	s.text = append([]byte(nil), data...)
	return nil
}

// settingsFile is the structure of a settings file.
type settingsFile struct {
	Profile Profile      `json:"profile"`
	Fleet   string       `json:"fleet"`
	Host    hostSettings `json:"host"`
	Target  struct {
		Address string `json:"address"`
	} `json:"target"`
	Log     LogSettings         `json:"log"`
	Plugins map[string]*Section `json:"plugins"`
}

type hostSettings struct {
	ID          string `json:"id"`
	Region      string `json:"region"`
	Domain      string `json:"failure_domain"`
	Service     string `json:"service"`
	CallAddress string `json:"call_address"`
	PeerAddress string `json:"peer_address"`
}

// LoadSettings reads and validates a settings file. Errors in its contents are
// returned together as a *finding.Errors.
func LoadSettings(file string) (*Settings, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if info.Size() > MaxSettingsBytes {
		return nil, errors.Errorf("settings %s: %d bytes, more than the limit of %d", file, info.Size(), MaxSettingsBytes)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(file, data)
}

// ParseSettings decodes and validates the contents of a settings file. The name in
// file is used in findings only. All errors are returned together as a
// *finding.Errors.
func ParseSettings(file string, data []byte) (*Settings, error) {
	var findings finding.List
	var raw settingsFile
	doc := jsonc.Decode(file, data, &raw, &findings)
	if doc.Has("") { // otherwise data is not valid JSON, and that finding is enough
		checkSettings(&raw, doc, &findings)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	locateSections(file, data, raw.Plugins, doc)
	return &Settings{
		File:    file,
		Profile: raw.Profile,
		Fleet:   raw.Fleet,
		Host: model.Host{
			ID:          model.HostID(raw.Host.ID),
			Region:      raw.Host.Region,
			Domain:      raw.Host.Domain,
			Service:     raw.Host.Service,
			CallAddress: raw.Host.CallAddress,
			PeerAddress: raw.Host.PeerAddress,
		},
		TargetAddress: raw.Target.Address,
		Log:           raw.Log,
		Plugins:       raw.Plugins,
	}, nil
}

// profile returns the profile of the node, ProfileFleet by default.
func (s *Settings) profile() Profile {
	if s.Profile == "" {
		return ProfileFleet
	}
	return s.Profile
}

// ValidName reports whether text is a valid name of a fleet, host, region, failure
// domain or service.
func ValidName(text string) bool {
	return config.ValidName(text)
}

func checkSettings(raw *settingsFile, doc *jsonc.Document, findings *finding.List) {
	if raw.Profile != "" && !raw.Profile.Valid() {
		findings.Errorf(doc.Place("profile"), "%q is neither %q nor %q", raw.Profile, ProfileFleet, ProfileSidecar)
	}
	names := []struct{ path, value string }{
		{"fleet", raw.Fleet},
		{"host.id", raw.Host.ID},
		{"host.region", raw.Host.Region},
		{"host.failure_domain", raw.Host.Domain},
	}
	for _, n := range names {
		if !ValidName(n.value) {
			findings.Errorf(doc.Place(n.path), "%q is not a name of 1 to 64 characters out of a-z, 0-9, '.', '_' and '-'", n.value)
		}
	}
	checkAddress(doc, "host.call_address", raw.Host.CallAddress, findings)
	checkAddress(doc, "host.peer_address", raw.Host.PeerAddress, findings)
	checkTarget(raw, doc, findings)
	checkLog(raw.Log, doc, findings)
}

func checkTarget(raw *settingsFile, doc *jsonc.Document, findings *finding.List) {
	if raw.Host.Service == "" {
		return
	}
	if !ValidName(raw.Host.Service) {
		findings.Errorf(doc.Place("host.service"), "%q is not a service name", raw.Host.Service)
	}
	checkAddress(doc, "target.address", raw.Target.Address, findings)
}

func checkAddress(doc *jsonc.Document, path, value string, findings *finding.List) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		findings.Errorf(doc.Place(path), "%q is not an IP address and port", value)
	}
}

func checkLog(log LogSettings, doc *jsonc.Document, findings *finding.List) {
	if _, err := log.level(); err != nil {
		findings.Errorf(doc.Place("log.level"), "%v", err)
	}
	if log.Format != "" && log.Format != FormatJSON && log.Format != FormatText {
		findings.Errorf(doc.Place("log.format"), "%q is neither %q nor %q", log.Format, FormatJSON, FormatText)
	}
}

// locateSections sets the position of each section and replaces its standardized
// text with the original one, so that findings refer to the right lines.
func locateSections(file string, data []byte, sections map[string]*Section, doc *jsonc.Document) {
	root, err := hujson.Parse(data)
	if err != nil {
		return
	}
	for name, section := range sections {
		path := "plugins." + name
		section.file = file
		section.path = path
		section.line = doc.Place(path).Line
		if v := root.Find("/plugins/" + name); v != nil {
			section.text = data[v.StartOffset:v.EndOffset]
		}
	}
}

// checkPluginNames reports sections whose name is not that of a known plug-in.
func (s *Settings) checkPluginNames(known []Registration, findings *finding.List) {
	names := map[string]bool{}
	for _, r := range known {
		names[r.Name] = true
	}
	for name, section := range s.Plugins {
		if !names[name] {
			place := finding.Place{File: section.file, Line: section.line, Field: "plugins." + name}
			findings.Errorf(place, "no plug-in is called %q", name)
		}
	}
}

// SetHostID replaces the host's ID. It returns an error if id is not a valid name.
func (s *Settings) SetHostID(id string) error {
	if !ValidName(id) {
		return errors.Errorf("%q is not a host ID", id)
	}
	s.Host.ID = model.HostID(id)
	return nil
}
