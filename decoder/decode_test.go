package decoder_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cyclamenward/cyclamenward/decoder"
	"gotest.tools/v3/assert"
)

const valid = `
service: reconcile
kind: modelPool
model: {name: meet-assistant, weightsVersion: v1}
backendServers:
  - {name: r1, sidecar: "10.0.0.1:7443", availabilityZone: austin-a, region: central-tx}
  - {name: r2, sidecar: "10.0.0.2:7443", availabilityZone: waco-b, region: central-tx}
workspaces:
  - {name: meets, keyHashes: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]}
deadline: {default: 30s, max: 2m}
`

func TestDecodeFillsDefaults(t *testing.T) {
	document, err := decoder.Decode([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, document.Workspaces[0].Share, 1)
	assert.Equal(t, document.Rollout.MaxLoading, 2)
	encoded, err := json.Marshal(document)
	assert.NilError(t, err)
	redecoded, err := decoder.Decode(encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, redecoded, document)
}

func TestDecodeNamesFaultyField(t *testing.T) {
	for name, c := range map[string]struct{ old, new, path string }{
		"unknown field":  {"kind: modelPool", "kind: modelPool\nowner: me", "$"},
		"wrong unit":     {"default: 30s", "default: 30", "$"},
		"unknown kind":   {"kind: modelPool", "kind: pool", "kind"},
		"contradiction":  {"max: 2m", "max: 2s", "deadline.max"},
		"host name":      {`"10.0.0.1:7443"`, `"host:7443"`, "backendServers[0].sidecar"},
		"repeated name":  {"name: r2", "name: r1", "backendServers[1].name"},
		"key not hashed": {"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", "secret", "workspaces[0].keyHashes[0]"},
		"unused section": {"deadline:", "claims: {keep: 1h, ranges: 4}\ndeadline:", "claims"},
		"capital letter": {"service: reconcile", "service: Reconcile", "service"},
		"too many loads": {"deadline:", "rollout: {maxLoading: 9, minServing: 0}\ndeadline:", "rollout.maxLoading"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decoder.Decode([]byte(strings.Replace(valid, c.old, c.new, 1)))
			assert.ErrorIs(t, err, decoder.ErrInvalid)
			faults := decoder.AsFaults(err)
			assert.Equal(t, faults[0].Path, c.path, "%v", faults)
		})
	}
}

func TestDecodeReportsAllFaultsAtOnce(t *testing.T) {
	_, err := decoder.Decode([]byte("service: X\nkind: pool\n"))
	assert.Assert(t, len(decoder.AsFaults(err)) >= 5, "%v", err)
}

// FuzzDecode checks that every error lists faults, and that a document that was
// accepted is accepted again after encoding.
func FuzzDecode(f *testing.F) {
	f.Add(valid)
	f.Add(strings.Replace(valid, "modelPool", "plainService", 1))
	f.Add("{}")
	f.Add("service: &a [*a]\n")
	f.Fuzz(func(t *testing.T, text string) {
		document, err := decoder.Decode([]byte(text))
		if err != nil {
			assert.Assert(t, len(decoder.AsFaults(err)) > 0)
			return
		}
		encoded, err := json.Marshal(document)
		assert.NilError(t, err)
		_, err = decoder.Decode(encoded)
		assert.NilError(t, err)
	})
}
