package jsonc

import (
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against text whose nesting exhausts the memory of every process that decodes it.
func TestDeeplyNestedTextIsNotDecoded(t *testing.T) {
	const levels = 1 << 20
	for name, data := range map[string]string{
		"arrays":               strings.Repeat("[", levels),
		"objects":              strings.Repeat(`{"a":`, levels/5),
		"closed":               strings.Repeat("[", levels/2) + strings.Repeat("]", levels/2),
		"in an unknown field":  `{"other":` + strings.Repeat("[", levels),
		"in a field":           `{"field":` + strings.Repeat("[", levels),
		"behind closing ones":  strings.Repeat("]", levels/2) + strings.Repeat("[", levels/2),
		"behind an odd string": `{"a":"\\\"[","b":` + strings.Repeat("[", levels),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var body struct {
				Field string `json:"field"`
			}
			g.Expect(Unmarshal([]byte(data), &body)).NotTo(Succeed())
			runtime.ReadMemStats(&after)
			g.Expect(after.StackSys).To(BeNumerically("<=", before.StackSys+(1<<20)))
		})
	}
}

func TestNestedTextWithinTheLimitIsDecoded(t *testing.T) {
	g := NewWithT(t)
	var body struct {
		Field string `json:"field"`
	}
	text := `{"other":` + strings.Repeat("[", MaxDepth-1) + `"[[["` + strings.Repeat("]", MaxDepth-1) + `,"field":"{{"}`
	g.Expect(Unmarshal([]byte(text), &body)).To(Succeed())
	g.Expect(body.Field).To(Equal("{{"))
}
