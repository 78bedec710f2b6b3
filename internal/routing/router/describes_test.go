package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestConfigurationKnowsItsReplicas guards against replicas that serve none of the configured models of their
// service, and so can take neither requests nor orders.
func TestConfigurationKnowsItsReplicas(t *testing.T) {
	catalog := NewCatalog(1, Limits{}, nil, []*Service{
		{Name: "plain"},
		{Name: "unnamed", Engine: &Engine{Slots: 1}},
		{Name: "engine", Engine: &Engine{Models: []string{"m", "n"}}},
	}, nil)
	for _, c := range []struct {
		service  string
		versions map[string]int
		known    bool
	}{
		{"plain", nil, true},
		{"unnamed", nil, true},
		{"other", nil, false},
		{"other", map[string]int{"m": 1}, false},
		{"engine", map[string]int{"n": 1}, true},
		{"engine", map[string]int{"x": 1, "m": 2}, true},
		{"engine", map[string]int{"x": 1}, false},
		{"engine", map[string]int{"m": 0}, false},
		{"engine", nil, false},
	} {
		assert.Equal(t, catalog.Describes(Descriptor{Service: c.service, WeightsVersions: c.versions}), c.known, "%v", c)
	}
}

// TestModelReplicasAreOneAnAddress guards against two sessions or tickets for one address, and against a replica whose
// sidecar nobody replaces since an entry of an earlier one at its address drains.
func TestModelReplicasAreOneAnAddress(t *testing.T) {
	versions := map[string]int{"m": 1}
	list := []Descriptor{
		{ID: "plain", Address: "1"},
		{ID: "drains", Address: "1", WeightsVersions: versions, Draining: true},
		{ID: "serves", Address: "1", WeightsVersions: versions},
		{ID: "second", Address: "1", WeightsVersions: versions},
		{ID: "alone", Address: "2", WeightsVersions: versions, Draining: true},
	}
	var ids []string
	for _, d := range ModelReplicas(list) {
		ids = append(ids, d.ID)
	}
	assert.DeepEqual(t, ids, []string{"serves", "alone"})
}
