package lease

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
)

// Guards against a change of the JSON form of the package's encoded types, in any of their fields.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[NodeDemand](t, "asked")
	golden.JSON[Report](t, "report")
	golden.JSON[Grant](t, "grant")
	golden.JSON[Tree](t, "tree")
	golden.JSON[View](t, "view")
	golden.JSON[image](t, "image")
	var full Tree
	golden.Fill(t, &full)
	golden.Check(t, "tree-hash", []byte(full.Hash()))
}

// Guards against a machine that restores another state from the image of an earlier build than that build did.
// Every field of the members and accounts is set; the tree is valid.
func TestLoadsTheImageOfAnEarlierBuild(t *testing.T) {
	divided := tree(3, 1, partners...)
	m := New()
	require.NoError(t, m.SetTree(1e6, divided))
	var i image
	golden.Fill(t, &i)
	i.Tree, i.Accounts, i.At = &divided, make([]account, len(m.accounts)), 1e6
	golden.Fill(t, &i.Accounts)
	for len(i.Accounts) < len(m.accounts) {
		i.Accounts = append(i.Accounts, i.Accounts...)
	}
	i.Accounts = i.Accounts[:len(m.accounts)]
	for id, e := range i.Members {
		for _, parts := range [][]NodeLoad{e.Active, e.Granted} {
			for n := range parts {
				parts[n].Node = n
			}
		}
		i.Members[id] = e
	}
	want, err := json.Marshal(i)
	require.NoError(t, err)
	golden.Check(t, "machine.json", want)
	require.NoError(t, m.Load(golden.File(t, "machine.json", nil)))
	require.Equal(t, i, image{m.tree, m.members, m.accounts, m.dividedAt, m.lastNumber})
	text, err := m.Freeze()()
	require.NoError(t, err)
	golden.Check(t, "machine.json", text)
	other := New()
	require.NoError(t, other.Load(text))
	require.Equal(t, m, other)
}
