package config

import (
	"fmt"

	"github.com/bronzemast/bronzemast/finding"
)

// Compile expands the templates of a release with the team parameters. Its
// result depends only on the release, so all nodes accept or reject the same
// releases. The snapshot is nil if the findings contain an error.
func Compile(r *Release) (*Snapshot, *finding.List) {
	return new(Compiler).Compile(r)
}

// Compiler compiles successive releases and caches the parsed parts of the last
// two, so that a release that changes one part parses only that part.
// The zero value is ready for use. It is not safe for concurrent use.
type Compiler struct {
	cache partCache
}

// Compile does the same as the function Compile, but reuses cached parts.
func (c *Compiler) Compile(r *Release) (*Snapshot, *finding.List) {
	c.cache.advance()
	findings := &finding.List{}
	l := newLinker(findings)
	if !ValidName(r.Record.Fleet) {
		findings.Errorf(finding.Place{Field: "fleet"}, "%s is not %s", quote(r.Record.Fleet), nameRule)
	}
	for _, ref := range r.Record.Parts {
		c.addPart(l, r, ref)
		if !l.withinLimits() {
			return nil, findings
		}
	}
	contents := l.link()
	if findings.Failed() {
		return nil, findings
	}
	contents.Number = r.Record.Number
	contents.Digest = r.Record.ContentDigest
	contents.Fleet = r.Record.Fleet
	snapshot, err := NewSnapshot(contents)
	if err != nil {
		findings.Errorf(finding.Place{}, "%v", err)
		return nil, findings
	}
	return snapshot, findings
}

func (c *Compiler) addPart(l *linker, r *Release, ref PartRef) {
	place := finding.Place{File: ref.Name}
	data, ok := r.Parts[ref.Digest]
	if !ok {
		l.findings.Errorf(place, "part %s is missing", ref.Digest.Short())
		return
	}
	switch ref.Kind {
	case PartTemplate, PartTeam:
		l.add(c.cache.parse(ref, data))
	default:
		l.findings.Errorf(place, "part kind %d is unknown", ref.Kind)
	}
}

// part is a parsed part of a release with the findings from parsing it.
type part struct {
	template *template
	team     *team
	findings finding.List
	// size is the length of the source text in bytes.
	size int
	// lastUsed is the generation of the cache that used the part last.
	lastUsed uint64
}

// maxCachedBytes bounds the source text of all cached parts together.
const maxCachedBytes = 8 << 20

// partCache holds the parsed parts that one of the last two releases used.
type partCache struct {
	parts map[PartRef]*part
	// generation counts the compiled releases.
	generation uint64
	// bytes is the total source size of the cached parts.
	bytes int
}

// advance starts the next release and evicts the parts that the previous one did
// not use.
func (c *partCache) advance() {
	c.generation++
	for ref, p := range c.parts {
		if p.lastUsed+1 < c.generation {
			c.bytes -= p.size
			delete(c.parts, ref)
		}
	}
}

func (c *partCache) parse(ref PartRef, data []byte) *part {
	if p, ok := c.parts[ref]; ok {
		p.lastUsed = c.generation
		return p
	}
	p := parsePart(ref, data)
	p.lastUsed = c.generation
	if p.findings.Failed() || c.bytes+p.size > maxCachedBytes {
		return p
	}
	if c.parts == nil {
		c.parts = map[PartRef]*part{}
	}
	c.parts[ref] = p
	c.bytes += p.size
	return p
}

func parsePart(ref PartRef, data []byte) *part {
	p := &part{size: len(data)}
	switch ref.Kind {
	case PartTemplate:
		p.template = parseTemplate(ref.Name, data, &p.findings)
	case PartTeam:
		p.team = parseTeam(ref.Name, data, &p.findings)
	default:
		panic(fmt.Sprintf("parse part of kind %d", ref.Kind))
	}
	return p
}
