package spreader

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The seed is fixed so that every run draws the same inputs.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestDeltaRestoresTheText checks that a delta restores the text from its base,
// and from any other base either fails or restores the same text.
func TestDeltaRestoresTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		letters := rapid.StringOfN(rapid.RuneFrom([]rune("ab")), 0, 12, -1)
		base, text, otherBase := []byte(letters.Draw(t, "base")), []byte(letters.Draw(t, "text")), []byte(letters.Draw(t, "other"))
		d := delta("service", 2, text, 1, base)
		got, ok := d.wholeText(base)
		assert.Assert(t, ok)
		assert.Equal(t, string(got), string(text))
		if wrong, ok := d.wholeText(otherBase); ok {
			assert.Equal(t, string(wrong), string(text))
		}
	})
}
