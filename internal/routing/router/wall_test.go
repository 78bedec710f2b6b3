package router

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// wallModel is what replicas have cached while workspaces become dedicated and shared again.
type wallModel struct {
	scope     func(weightsVersion int, request *Request) string
	dedicated map[string]bool
	catalog   *Catalog
	// inFlight are requests that were sent under an earlier configuration.
	inFlight []*Request
	// makers holds the workspaces that have cached the only part, by scope.
	makers map[string][]string
}

var wallWorkspaces = []string{"a", "b", "c"}

// configure puts a configuration in force.
func (m *wallModel) configure() {
	var names []string
	for name, dedicated := range m.dedicated {
		if dedicated {
			names = append(names, name)
		}
	}
	m.catalog = NewCatalog(1, Limits{}, nil, nil, nil).WithDedicated(names)
}

func (m *wallModel) request(name string) *Request {
	return &Request{ID: name, Catalog: m.catalog, Workspace: &Workspace{Name: name, Dedicated: m.dedicated[name]}, Prompt: &Prompt{Model: "m"}}
}

// run caches the part of a request.
func (m *wallModel) run(request *Request) {
	scope := m.scope(1, request)
	m.makers[scope] = append(m.makers[scope], request.Workspace.Name)
}

// check returns an error if a request of the configuration in force finds a part across a wall.
func (m *wallModel) check() error {
	for _, user := range wallWorkspaces {
		for _, maker := range m.makers[m.scope(1, m.request(user))] {
			if user != maker && (m.dedicated[user] || m.dedicated[maker]) {
				return fmt.Errorf("%s finds the part of %s", user, maker)
			}
		}
	}
	return nil
}

// drawWalls draws changes of the configuration between requests, some of which run only after
// the next ones, and returns the first part that is found across a wall.
func drawWalls(t *rapid.T, scope func(int, *Request) string) error {
	m := &wallModel{scope: scope, dedicated: map[string]bool{}, makers: map[string][]string{}}
	m.configure()
	for range rapid.IntRange(1, 30).Draw(t, "steps") {
		name := rapid.SampledFrom(wallWorkspaces).Draw(t, "workspace")
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			m.dedicated[name] = !m.dedicated[name]
			m.configure()
		case 1:
			m.run(m.request(name))
		case 2:
			m.inFlight = append(m.inFlight, m.request(name))
		case 3:
			if n := len(m.inFlight); n > 0 {
				i := rapid.IntRange(0, n-1).Draw(t, "request")
				m.run(m.inFlight[i])
				m.inFlight = slices.Delete(m.inFlight, i, i+1)
			}
		}
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// TestDedicatedWorkspacesAreWalledOff guards against parts that a workspace has cached under the
// scope of all others and that these find after it has become dedicated.
func TestDedicatedWorkspacesAreWalledOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { assert.NilError(t, drawWalls(t, cacheScope)) })
}

// TestWallCheckerFindsCommonScope shows that the checker catches a scope that all workspaces
// share for good.
func TestWallCheckerFindsCommonScope(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		err := drawWalls(t, func(version int, request *Request) string {
			request.Catalog = NewCatalog(1, Limits{}, nil, nil, nil)
			return cacheScope(version, request)
		})
		found = found || err != nil
	})
	assert.Assert(t, found)
}
