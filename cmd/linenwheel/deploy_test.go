package main

import (
	"os"
	"os/exec"
	"path"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const module = "linenwheel.dev/linenwheel/"

// linked gives the packages of this module that a program links, by their folders.
func linked(t *testing.T, program string) (own []string) {
	for _, p := range linkedFrom(t, program) {
		if folder, ok := strings.CutPrefix(p, module); ok {
			own = append(own, folder)
		}
	}
	return own
}

// linkedFrom gives all packages that a program links, wherever they are from.
func linkedFrom(t *testing.T, program string) []string {
	out, err := exec.Command("go", "list", "-deps", module+program).Output()
	require.NoError(t, err)
	return strings.Fields(string(out))
}

// Guards against a deployment that names less of the real node than it is made of, or what is no part of it.
func TestDeployNamesTheNode(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Policy, Node []string }
	require.NoError(t, toml.Unmarshal(text, &deploy))
	var all []string
	for _, name := range deploy.Node {
		if strings.HasPrefix(name, "cmd/") {
			all = append(all, linked(t, name)...)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	require.Contains(t, all, "cmd/linenwheel")
	covers := func(name, folder string) bool { return folder == name || strings.HasPrefix(folder, name+"/") }
	for _, folder := range all {
		// The files of the decisions are named apart.
		named := slices.ContainsFunc(deploy.Policy, func(file string) bool { return path.Dir(file) == folder }) ||
			slices.ContainsFunc(deploy.Node, func(name string) bool { return covers(name, folder) })
		assert.True(t, named, "%s is linked and not named", folder)
	}
	for i, name := range deploy.Node {
		some := slices.ContainsFunc(all, func(folder string) bool { return covers(name, folder) })
		assert.True(t, some, "%s is named and not linked", name)
		for j, other := range deploy.Node {
			assert.False(t, i != j && covers(other, name), "%s is named twice, by %s too", name, other)
		}
	}
}

// Guards against a node that carries what only tests need.
func TestNodeIsFreeOfTests(t *testing.T) {
	for _, p := range linkedFrom(t, "cmd/linenwheel") {
		for _, no := range []string{module + "internal/node/scenario", module + "lab", "testing", "github.com/stretchr/testify",
			"pgregory.net/rapid"} {
			assert.False(t, p == no || strings.HasPrefix(p, no+"/"), "%s is linked", p)
		}
	}
}
