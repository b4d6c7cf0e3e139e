package docs_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tailscale/hujson"

	"github.com/bronzemast/bronzemast"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/keys"
)

// pluginPage returns the page of a plug-in.
func pluginPage(name string) string {
	if name == "clearplate" {
		return "platform/README.md"
	}
	return "plugins/" + name + "/README.md"
}

// exampleSettings names an example for each profile.
var exampleSettings = map[kernel.Profile]string{
	kernel.ProfileFleet:   "examples/clearplate/nodes/renewals-1.jsonc",
	kernel.ProfileSidecar: "examples/sidecar/node.jsonc",
}

// section returns the text of a page below one of its headings.
func section(text, heading string) string {
	_, rest, _ := strings.Cut(text, "\n## "+heading+"\n")
	found, _, _ := strings.Cut(rest, "\n## ")
	return found
}

// shownSettings returns the settings of a plug-in in the syntax block of its
// page, as JSON.
func shownSettings(g *WithT, text, name string) string {
	for _, block := range blocks(section(text, "Syntax")) {
		if !strings.Contains(block, `"plugins"`) {
			continue
		}
		var shown struct {
			Plugins map[string]json.RawMessage `json:"plugins"`
		}
		standard, err := hujson.Standardize([]byte("{" + block + "}"))
		g.Expect(err).NotTo(HaveOccurred(), "syntax of plug-in %s", name)
		g.Expect(json.Unmarshal(standard, &shown)).To(Succeed(), "syntax of plug-in %s", name)
		return string(shown.Plugins[name])
	}
	return ""
}

// settingsOf returns the settings field of a plug-in.
func settingsOf(plugin kernel.Plugin) reflect.Value {
	return reflect.ValueOf(plugin).Elem().FieldByName("settings")
}

// leaf is a setting with its default and the value that the page shows.
type leaf struct {
	path           string
	initial, shown reflect.Value
}

// leaves returns all settings below two values of one type.
func leaves(path string, initial, shown reflect.Value) []leaf {
	if initial.Kind() != reflect.Struct {
		return []leaf{{path: path, initial: initial, shown: shown}}
	}
	var found []leaf
	for i := range initial.NumField() {
		name, _, _ := strings.Cut(initial.Type().Field(i).Tag.Get("json"), ",")
		found = append(found, leaves(strings.TrimPrefix(path+"."+name, "."), initial.Field(i), shown.Field(i))...)
	}
	return found
}

// valueText returns a value as a page shows it: numbers to four digits.
func valueText(v reflect.Value) string {
	if v.CanFloat() {
		return fmt.Sprintf("%.4g", v.Float())
	}
	return fmt.Sprint(v)
}

// writeKeys makes the key files that the page of the transport names.
func writeKeys(t *testing.T, dir string) {
	t.Helper()
	authority, err := keys.NewAuthority("example", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"node", "call"} {
		pair, err := keys.IssueNode(authority, name, time.Hour, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		for file, data := range map[string][]byte{
			name + ".crt":   pair.Certificate,
			name + ".key":   pair.Key,
			"authority.crt": authority.Certificate,
		} {
			if err := os.WriteFile(filepath.Join(dir, file), data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// provision assembles a node with the shown settings of one plug-in and returns
// that plug-in.
func provision(settings kernel.Settings, r kernel.Registration, shown string) (plugin kernel.Plugin, err error) {
	sections := map[string]*kernel.Section{r.Name: kernel.NewSection(shown)}
	for name, s := range settings.Plugins {
		if name != r.Name {
			sections[name] = s
		}
	}
	settings.Plugins = sections
	_, err = bronzemast.New(&settings, nil, kernel.WithPlugin(r.Name, func() kernel.Plugin {
		plugin = r.New()
		return plugin
	}))
	return plugin, err
}

// baseOf returns the example settings of a node that has the plug-in.
func baseOf(bases map[kernel.Profile]*kernel.Settings, r kernel.Registration) *kernel.Settings {
	if base := bases[r.Profile]; base != nil {
		return base
	}
	return bases[kernel.ProfileFleet]
}

func TestPagesOfThePluginsShowTheirSettings(t *testing.T) {
	g := NewWithT(t)
	bases := map[kernel.Profile]*kernel.Settings{}
	for profile, example := range exampleSettings {
		base, err := kernel.LoadSettings(filepath.Join(root, example))
		g.Expect(err).NotTo(HaveOccurred())
		bases[profile] = base
	}
	texts := map[string]string{}
	for _, r := range kernel.Registered() {
		text, err := os.ReadFile(filepath.Join(root, pluginPage(r.Name)))
		g.Expect(err).NotTo(HaveOccurred(), "each plug-in has a page")
		texts[r.Name] = string(text)
	}
	dir := t.TempDir()
	writeKeys(t, dir)
	t.Chdir(dir)
	for _, r := range kernel.Registered() {
		text := texts[r.Name]
		for _, heading := range []string{"Name", "Description", "Syntax", "Metrics", "Examples"} {
			g.Expect(strings.TrimSpace(section(text, heading))).NotTo(BeEmpty(), "%s of %s", heading, pluginPage(r.Name))
		}
		shown := shownSettings(g, text, r.Name)
		g.Expect(shown).NotTo(BeEmpty(), "the syntax of %s must show its settings", pluginPage(r.Name))
		plugin, err := provision(*baseOf(bases, r), r, shown)
		g.Expect(err).NotTo(HaveOccurred(), "the settings that %s shows", pluginPage(r.Name))
		for _, l := range leaves("", settingsOf(r.New()), settingsOf(plugin)) {
			key := l.path[strings.LastIndexByte(l.path, '.')+1:]
			g.Expect(section(text, "Syntax")).To(ContainSubstring(key), "%s must name the setting %s", pluginPage(r.Name), l.path)
			unset := l.initial.IsZero() && (l.initial.Kind() == reflect.String || l.initial.Kind() == reflect.Slice)
			if !unset {
				g.Expect(valueText(l.shown)).To(Equal(valueText(l.initial)), "%s must show the default of %s", pluginPage(r.Name), l.path)
			}
		}
	}
}
